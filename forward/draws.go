package forward

import (
	"math/rand/v2"
	"sync/atomic"
)

// draws is a sequence of sources of random numbers, one for each decision. Unlike a shared
// source, it tells what the next decision will draw without changing it, which Explain needs. It is
// safe for concurrent use.
type draws struct {
	seed uint64
	used atomic.Uint64 // number of sources that next has returned
}

func newDraws() *draws { return &draws{seed: rand.Uint64()} }

// next returns the source of the next decision.
func (d *draws) next() *rand.Rand { return d.source(d.used.Add(1)) }

// peek returns a source with the numbers of the one that next will return.
func (d *draws) peek() *rand.Rand { return d.source(d.upcoming()) }

// upcoming returns the number of the source that next will return.
func (d *draws) upcoming() uint64 { return d.used.Load() + 1 }

// seedSpread makes the seeds of consecutive sources differ in most bits.
const seedSpread = 0x9e3779b97f4a7c15

// source returns the nth source, from 1.
func (d *draws) source(n uint64) *rand.Rand { return rand.New(rand.NewPCG(d.seed, n*seedSpread)) }
