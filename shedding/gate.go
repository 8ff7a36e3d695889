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
	part    float64                  // smoothed fraction
	credits [creditsPerClass]float64 // admissions due
	updated time.Time
}

// creditsPerClass is the number of credits of a class, of which each request uses a random one. With a
// single credit, callers that send in turn at regular intervals could be admitted always or
// never: at a fraction of 0.5 it admits every second request.
const creditsPerClass = 4

// smoothing is the time constant with which the fractions in force follow those computed.
// The inputs change in steps with each load report, and daemons receive them at different
// times.
const smoothing = 500 * time.Millisecond

// NewGate returns a gate that admits all requests. random returns values in [0, 1). It sets
// the first credits of a class, so that the daemons of a large fleet do not all refuse their
// first requests, and selects the credit that a request uses.
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
		weight := 1 - math.Exp(-float64(max(0, now.Sub(c.updated)))/float64(smoothing))
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
	credit := &c.credits[int(g.random()*creditsPerClass)]
	*credit += part
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

func (g *Gate) of(class Class, now time.Time) *classState {
	c := g.classes[class]
	if c == nil {
		c = &classState{part: 1, updated: now}
		for i := range c.credits {
			c.credits[i] = g.random()
		}
		g.classes[class] = c
	}
	return c
}

// Contended reports whether some class is not admitted entirely.
func (g *Gate) Contended() bool {
	for _, c := range g.classes {
		if c.part < openThreshold {
			return true
		}
	}
	return false
}
