package shedding

import (
	"math"
	"time"
)

// Gate admits the requests of a service by the fractions of their classes. It is not safe
// for concurrent use.
type Gate struct {
	classes map[Class]*classState
	random  func() float64
}

// classState is the state of one class.
type classState struct {
	part    float64 // smoothed fraction
	credit  float64 // admissions due
	updated time.Time
}

// smoothing is the time constant with which the fractions in force follow those computed.
// The inputs change in steps with each load report, and daemons receive them at different
// times.
const smoothing = 500 * time.Millisecond

// NewGate returns a gate that admits all requests. random returns values in [0, 1); it sets
// the first credit of a class, so that the daemons of a large fleet do not all refuse their
// first requests.
func NewGate(random func() float64) *Gate {
	return &Gate{classes: map[Class]*classState{}, random: random}
}

// SetFractions replaces the fractions. Classes without a fraction are admitted.
func (g *Gate) SetFractions(fractions []Fraction, now time.Time) {
	parts := make(map[Class]float64, len(fractions))
	for _, f := range fractions {
		parts[f.Class] = f.Part
		g.of(f.Class, now)
	}
	for class, c := range g.classes {
		part, known := parts[class]
		if !known {
			part = 1
		}
		weight := 1 - math.Exp(-float64(now.Sub(c.updated))/float64(smoothing))
		c.part += weight * (part - c.part)
		c.updated = now
	}
}

// Fraction returns the fraction of a class in force.
func (g *Gate) Fraction(class Class) float64 {
	if c := g.classes[class]; c != nil {
		return c.part
	}
	return 1
}

// openThreshold is the fraction from which all requests of a class are admitted.
const openThreshold = 0.97

// Admit decides on a request. share is the fraction of its workspace as a multiple of the
// fraction of its class.
func (g *Gate) Admit(class Class, share float64, now time.Time) bool {
	c := g.of(class, now)
	part := min(1, c.part*share)
	if part >= openThreshold {
		return true
	}
	c.credit = min(maxCredit, c.credit+part)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// maxCredit bounds the number of consecutive requests that are admitted after a change.
const maxCredit = 2

func (g *Gate) of(class Class, now time.Time) *classState {
	c := g.classes[class]
	if c == nil {
		c = &classState{part: 1, credit: g.random(), updated: now}
		g.classes[class] = c
	}
	return c
}
