// Package store defines what the system needs of the platform it runs on:
// the object store with versions, conditional updates and watches, and the
// list of VMs. Wire formats live in the adapters below this package.
package store

import (
	"context"
	"errors"
	"time"
)

// Sentinel errors of the store.
var (
	ErrNotFound    = errors.New("store: object not found")
	ErrConflict    = errors.New("store: version conflict")
	ErrUnavailable = errors.New("store: store unavailable")
	// ErrAmbiguous says that a write may have taken effect: the answer was lost.
	ErrAmbiguous = errors.New("store: outcome of the write unknown")
	// ErrCompacted says that a watch asked for changes that are no longer kept.
	ErrCompacted = errors.New("store: watch revision compacted")
	// ErrRestored says that the store has come back from an older copy: what was read of
	// it is of an era that is over, and is read anew.
	ErrRestored = errors.New("store: restored from an older copy")
)

// MaxValueBytes is the largest spec that the store holds.
const MaxValueBytes = 1 << 20

// Object is a versioned value. Versions are positions in the history of the store, so
// they order the changes of all objects.
type Object struct {
	Kind    string   `json:"kind"`
	Name    string   `json:"name"`
	Version Position `json:"version"`
	Deleted bool     `json:"deleted,omitempty"` // tombstone
	Spec    []byte   `json:"spec"`              // JSON or CBOR, up to MaxValueBytes
}

// ID identifies an object.
type ID struct{ Kind, Name string }

// ID returns the identity of o.
func (o *Object) ID() ID { return ID{o.Kind, o.Name} }

// Store is the platform's object interface. Implementations must be safe for
// concurrent use.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind and the store's revision.
	List(ctx context.Context, kind string) ([]Object, Position, error)
	// Put writes spec if the object's version is still ifVersion; 0 means that
	// the object must not exist. It returns the new version, ErrConflict, or
	// ErrAmbiguous when the answer was lost.
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion Position) (Position, error)
	// Delete removes the object if its version is still ifVersion.
	Delete(ctx context.Context, kind, name string, ifVersion Position) (Position, error)
	// Watch calls fn for each change of the kinds with a version above since,
	// until ctx ends or the watch breaks. Changes may be repeated or skipped.
	Watch(ctx context.Context, kinds []string, since Position, fn func(Object)) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The VM states.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name          string  `json:"name"`
	Address       string  `json:"address"` // IP number
	FailureDomain string  `json:"failureDomain"`
	State         VMState `json:"state"`
	Role          string  `json:"role"` // "entry" or "backend"
}

// VMLister returns the VMs, with a lag.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// RequestTimeout bounds one call to the platform other than a watch.
const RequestTimeout = 5 * time.Second
