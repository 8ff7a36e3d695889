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

// Demand is the memory that the requests of a class would use if all were admitted.
type Demand struct {
	Class Class
	KV    float64 // in tokens x layers
}

// State is what a daemon knows about a service.
type State struct {
	Demands  []Demand // of all daemons, one for each class
	InUse    float64  // memory of the admitted requests of all daemons, in tokens x layers
	Capacity float64  // memory that requests could use if all hops filled evenly, in tokens x layers
	// Hold is the mean time for which a request uses its memory.
	Hold time.Duration
	// Horizon is the time until a change of the fractions shows in InUse.
	Horizon time.Duration
}

// Limits of the admitted demand.
const (
	// targetUsage is the planned usage of the capacity, as a fraction. Backend servers fill
	// unevenly, and above it single hops run out of memory and preempt begun requests, which
	// then process their prompts again.
	targetUsage = 0.9
	// minClassShare is the least fraction of a class, as a multiple of the fraction of all
	// demand that the capacity can serve. It keeps the least urgent class from starving while
	// more urgent ones ask for all capacity, and all classes from being refused while the
	// usage is above its target.
	minClassShare = 0.3
	// minHorizon bounds the horizon. At 0 the admitted demand has no effect on the usage, and
	// the admissible demand is not defined.
	minHorizon = time.Millisecond
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
		least = minClassShare * min(1, targetUsage*s.Capacity/total)
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
func (s State) Reserve(class Class) float64 {
	if s.Capacity <= 0 {
		return 0
	}
	urgent := 0.0
	for _, d := range s.Demands {
		if d.Class < class {
			urgent += d.KV
		}
	}
	return maxReserve * min(1, urgent/s.Capacity)
}

// admissible returns the demand that can be admitted so that the usage is at most targetUsage
// of the capacity after the horizon. Usage approaches the admitted demand exponentially with
// the time constant Hold, so more than the capacity is admitted for a while if there is
// free memory, and less if the usage is above its target.
func (s State) admissible() float64 {
	if s.Hold <= 0 {
		return math.Inf(1)
	}
	kept := math.Exp(-float64(max(minHorizon, s.Horizon)) / float64(s.Hold))
	return max(0, (targetUsage*s.Capacity-kept*s.InUse)/(1-kept))
}
