package shedding

import (
	"math"
	"time"
)

// maxStages bounds the number of stages of a projection.
const maxStages = 6

// projection is a model of the usage of a service whose hold times have an Erlang distribution: a
// request passes through stages with the same mean time, and then releases its memory. With a single
// stage, new requests would release memory as soon as old ones do, and the usage of a burst would be
// underestimated.
type projection struct {
	capacity float64
	hold     Hold
	share    float64   // fraction of the demand that contributes
	stages   []float64 // memory in use by the requests in each stage
}

func newProjection(capacity float64, hold Hold, share float64) *projection {
	return &projection{capacity: capacity, hold: hold, share: share, stages: make([]float64, min(maxStages, max(1, hold.Stages)))}
}

func (p *projection) used() (sum float64) {
	for _, u := range p.stages {
		sum += u
	}
	return sum
}

// set sets the usage and keeps its distribution over the stages, which is even if nothing was in use.
func (p *projection) set(used float64) {
	used, before := max(0, used), p.used()
	for i := range p.stages {
		if before > 0 {
			p.stages[i] *= used / before
		} else {
			p.stages[i] = used / float64(len(p.stages))
		}
	}
}

// maxProjectionStep bounds the time for which the hold time is taken from the usage at its begin.
const maxProjectionStep = 200 * time.Millisecond

// advance moves the model on while requests fill memory at a rate per second.
func (p *projection) advance(d time.Duration, rate float64) {
	for d > 0 {
		step := min(d, maxProjectionStep)
		d -= step
		mean := p.hold.At(p.used()/p.capacity).Seconds() / float64(len(p.stages))
		passed := 1 - math.Exp(-step.Seconds()/mean)
		moving := rate * step.Seconds()
		for i, u := range p.stages {
			next := u * passed
			p.stages[i] += moving - next
			moving = next
		}
	}
}
