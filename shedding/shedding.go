// Package shedding decides which requests a service refuses while demand exceeds its
// capacity. All daemons know the demand by class and the usage of the fleet, with a delay
// of seconds, and each computes nearly the same fraction of each class that is admitted. It
// does no I/O and reads no clock; callers pass the current time.
package shedding

import (
	"math"
	"slices"
	"time"
)

// Class is the urgency of a request; 0 is the most urgent.
type Class uint8

// maxPriority is the least urgent priority of a workspace or a route.
const maxPriority = 9

// MaxClass is the least urgent class.
const MaxClass = Class(maxPriority*(maxPriority+1) + maxPriority)

// ClassOf returns the class of a request. The priority of the workspace decides, and the
// priority of the route among equal ones. Priorities out of range are clamped.
func ClassOf(workspace, route int) Class {
	clamp := func(p int) int { return min(maxPriority, max(0, p)) }
	return Class(clamp(workspace)*(maxPriority+1) + clamp(route))
}

// Demand is the memory that the requests of a class would fill if all were admitted. It does not
// depend on the time for which they use it, which grows with the usage.
type Demand struct {
	Class Class
	KV    float64 // in tokens x layers per second
}

// State is what a daemon knows about a service.
type State struct {
	Demands  []Demand // of all daemons, one for each class
	InUse    float64  // memory that the requests of all daemons use now, in tokens x layers
	Capacity float64  // memory that requests could use if all hops filled evenly, in tokens x layers
	Hold     Hold
}

// Limits of the admitted demand.
const (
	// plannedUsage is the planned usage of the capacity while no urgent class has a demand, as a
	// fraction. It exceeds 1, so that an inexact estimate refuses no request for which a backend
	// server still has memory.
	plannedUsage = 1.06
	// maxMargin is the largest part of the capacity by which the planned usage is lower. Backend
	// servers fill unevenly, and a request that meets a full hop is refused whatever its class.
	maxMargin = 0.15
	// minClassShare is the least fraction of a class, as a multiple of the fraction of all
	// demand that the capacity can serve. It keeps the least urgent class from starving while
	// more urgent ones ask for all capacity, and all classes from being refused while the
	// usage is above its target.
	minClassShare = 0.3
	// horizon is the time within which the difference between planned and present usage is
	// closed, about the age of the known usage. A shorter one amplifies errors of the
	// projection.
	horizon = 2500 * time.Millisecond
)

// Fraction is the part of the requests of a class that is admitted, from 0 to 1.
type Fraction struct {
	Class Class
	Part  float64
}

// Fractions returns the fraction of each class in s.Demands, ordered by class. Capacity goes to
// the most urgent class first, except for the least share of each class.
func Fractions(s State) []Fraction {
	demands := slices.Clone(s.Demands)
	slices.SortFunc(demands, func(a, b Demand) int { return int(a.Class) - int(b.Class) })
	total := 0.0
	for _, d := range demands {
		total += d.KV
	}
	admissible := s.admissible()
	least := 0.0
	if total > 0 {
		least = minClassShare * min(1, s.sustainable()/total)
	}
	remaining := admissible - least*total
	out := make([]Fraction, 0, len(demands))
	for _, d := range demands {
		if d.KV <= 0 {
			// The next request of the class is the first one.
			part := least
			if remaining > 0 {
				part = 1
			}
			out = append(out, Fraction{Class: d.Class, Part: part})
			continue
		}
		more := min(max(0, remaining), (1-least)*d.KV)
		remaining -= more
		out = append(out, Fraction{Class: d.Class, Part: min(1, least+more/d.KV)})
	}
	return out
}

// maxReserve is the largest part of the memory of a backend server that less urgent requests
// leave free. More urgent ones that arrive before the loads of the others are known find
// capacity there; without it they are refused by full hops as often as the others.
const maxReserve = 0.15

// Reserve returns the fraction of the memory of each backend server that requests of a class leave
// to more urgent ones. It is proportional to their demand, so that nothing is kept free
// that nobody asks for.
func (s State) Reserve(class Class) float64 { return maxReserve * s.urgentUsage(class) }

// urgentUsage returns the usage of the capacity by classes more urgent than class if all their
// requests were admitted, from 0 to 1.
func (s State) urgentUsage(class Class) float64 {
	if s.Capacity <= 0 {
		return 0
	}
	urgent := 0.0
	for _, d := range s.Demands {
		if d.Class < class {
			urgent += d.KV
		}
	}
	return min(1, urgent*s.Hold.At(1).Seconds()/s.Capacity)
}

// target returns the planned usage of the capacity. Memory is left free for requests that are
// more urgent than the least urgent ones, in proportion to their demand.
func (s State) target() float64 {
	least := Class(0)
	for _, d := range s.Demands {
		least = max(least, d.Class)
	}
	return plannedUsage - maxMargin*s.urgentUsage(least)
}

// sustainable returns the demand that can be admitted while the usage is at its target.
func (s State) sustainable() float64 {
	if s.Hold.Full <= 0 {
		return math.Inf(1)
	}
	target := s.target()
	return target * s.Capacity / s.Hold.At(target).Seconds()
}

// admissible returns the demand that can be admitted now: what is sustainable, and what closes
// the difference between the planned and the present usage within the horizon.
func (s State) admissible() float64 {
	if s.Hold.Full <= 0 {
		return math.Inf(1)
	}
	return max(0, s.sustainable()+(s.target()*s.Capacity-s.InUse)/horizon.Seconds())
}
