// Package store defines the interfaces of the platform: the object store with
// versions, conditional updates and watches, and the list of VMs. Its subpackages
// implement the wire formats.
package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// Sentinel errors of the store.
var (
	ErrNotFound    = errors.New("store: object not found")
	ErrConflict    = errors.New("store: version conflict")
	ErrUnavailable = errors.New("store: store unavailable")
	// ErrAmbiguous is returned when a write may have taken effect because the
	// response was lost.
	ErrAmbiguous = errors.New("store: outcome of the write unknown")
	// ErrCompacted is returned when a watch starts at a version whose later changes
	// are no longer kept.
	ErrCompacted = errors.New("store: watch revision compacted")
	// ErrRestored is returned when the store was restored from an older copy.
	// Everything read in the previous era must be read again.
	ErrRestored = errors.New("store: restored from an older copy")
)

// CallError returns the error of a call that ended with err instead of a definite answer:
// ErrUnavailable for a read and for a write that was not sent, and ErrAmbiguous for another
// write. It wraps err.
func CallError(isWrite bool, err error) error {
	var op *net.OpError
	if !isWrite || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrAmbiguous, err)
}

// MaxValueBytes is the maximum size of a spec.
const MaxValueBytes = 1 << 20

// Object is a versioned value. Versions are positions in the history of the
// store and order the changes of all objects.
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

// Store is the platform's object store. Implementations must be safe for
// concurrent use.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind and the store's position.
	List(ctx context.Context, kind string) ([]Object, Position, error)
	// Put writes spec if the object's version is still ifVersion; 0 means that
	// the object must not exist. It returns the new version, ErrConflict, or
	// ErrAmbiguous if the response was lost.
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion Position) (Position, error)
	// Delete removes the object if its version is still ifVersion. It returns the
	// version of the deletion, ErrNotFound, ErrConflict, or ErrAmbiguous if the
	// response was lost.
	Delete(ctx context.Context, kind, name string, ifVersion Position) (Position, error)
	// Watch calls fn for each change of the kinds with a version above since,
	// until ctx ends or the watch breaks. Changes may be repeated or skipped. It
	// returns ErrCompacted if changes since that version are no longer kept.
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
	Address       string  `json:"address"` // IP address
	FailureDomain string  `json:"failureDomain"`
	State         VMState `json:"state"`
	Role          string  `json:"role"` // "entry" or "backend"
}

// VMLister returns the platform's VMs. The list may be out of date.
type VMLister interface {
	// ListVMs returns all VMs of the list.
	ListVMs(ctx context.Context) ([]VM, error)
}

// RequestTimeout bounds one call to the platform other than a watch.
const RequestTimeout = 5 * time.Second
