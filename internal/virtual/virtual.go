// Package virtual runs parts of benchmarks in virtual time, which the standard
// library offers to tests alone.
package virtual

import (
	"testing"
	"testing/synctest"
)

// Run runs fn in a bubble of testing/synctest.
func Run(b *testing.B, fn func()) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { fn() }) },
	}})
	if !ok {
		b.Fatal("failed in virtual time")
	}
}
