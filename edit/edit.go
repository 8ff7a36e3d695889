// Package edit changes one field of an object in the platform's store, the way
// several operators can do at the same time: edits of different fields merge,
// edits of the same field show a conflict, and a write whose answer was lost is
// settled by reading back.
package edit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Errors of edits.
var (
	// ErrRaced says that somebody else changed the same field meanwhile.
	ErrRaced = errors.New("edit: the field was changed by somebody else meanwhile")
	// ErrNoField says that objects of the kind do not have the field.
	ErrNoField = errors.New("edit: no such field")
)

// Field is one field of an object.
type Field interface {
	// Get returns the field's value as text, "" when it is not set.
	Get(obj any) (string, error)
	// Set changes the field; "" removes it.
	Set(obj any, value string) error
}

// Result says what an edit did.
type Result struct {
	Version store.Position `json:"version"` // in which the value stands
	Before  string         `json:"before"`
	After   string         `json:"after"`
	Changed bool           `json:"changed"`
}

// maxTries bounds how often an edit is tried against racing ones.
const maxTries = 20

// Apply sets a field of an object.
func Apply(ctx context.Context, s store.Store, kind topology.Kind, name string, f Field, value string) (Result, error) {
	var r Result
	for try := range maxTries {
		o, obj, err := read(ctx, s, kind, name)
		if err != nil {
			return r, err
		}
		have, err := f.Get(obj)
		if err != nil {
			return r, err
		}
		if try == 0 {
			r.Before = have
		}
		if have == value {
			r.Version, r.After, r.Changed = o.Version, value, r.Before != value
			return r, nil
		}
		if have != r.Before {
			return r, fmt.Errorf("%w: it was %q, is %q, should be %q", ErrRaced, r.Before, have, value)
		}
		if err := f.Set(obj, value); err != nil {
			return r, err
		}
		version, err := write(ctx, s, kind, name, obj, o.Version)
		if err == nil {
			return Result{Version: version, Before: r.Before, After: value, Changed: true}, nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAmbiguous) {
			return r, err
		}
		// Read again: the write may have taken effect, or another came first.
	}
	return r, fmt.Errorf("edit: %s %s: gave up after %d tries: %w", kind, name, maxTries, store.ErrConflict)
}

func read(ctx context.Context, s store.Store, kind topology.Kind, name string) (store.Object, any, error) {
	o, err := s.Get(ctx, string(kind), name)
	if err != nil {
		return o, nil, fmt.Errorf("%s %s: %w", kind, name, err)
	}
	obj, err := topology.Parse(kind, name, o.Spec)
	return o, obj, err
}

// write checks the changed object as a daemon will before it stores it.
func write(ctx context.Context, s store.Store, kind topology.Kind, name string, obj any, ifVersion store.Position) (store.Position, error) {
	spec, err := json.Marshal(obj)
	if err != nil {
		return 0, fmt.Errorf("edit: %w", err)
	}
	if _, err := topology.Parse(kind, name, spec); err != nil {
		return 0, err
	}
	return s.Put(ctx, string(kind), name, spec, ifVersion)
}

// Label is the label with a key.
type Label struct{ Key string }

func (l Label) labels(obj any) (*topology.Labels, error) {
	switch o := obj.(type) {
	case *topology.BackendServer:
		return &o.Labels, nil
	case *topology.Stage:
		return &o.Labels, nil
	case *topology.Workspace:
		return &o.Labels, nil
	case *topology.Service:
		return &o.Labels, nil
	}
	return nil, fmt.Errorf("%w: %T has no labels", ErrNoField, obj)
}

// Get implements Field.
func (l Label) Get(obj any) (string, error) {
	m, err := l.labels(obj)
	if err != nil {
		return "", err
	}
	return (*m)[l.Key], nil
}

// Set implements Field.
func (l Label) Set(obj any, value string) error {
	m, err := l.labels(obj)
	if err != nil {
		return err
	}
	if value == "" {
		delete(*m, l.Key)
		return nil
	}
	if *m == nil {
		*m = topology.Labels{}
	}
	(*m)[l.Key] = value
	return nil
}

// Selector is the selector in a field: workspaces, requests, stages or
// backendServers of a rule, backendServers of a stage.
type Selector struct{ Name string }

func (s Selector) of(obj any) (*topology.Selector, error) {
	switch o := obj.(type) {
	case *topology.Stage:
		if s.Name == "backendServers" {
			return &o.BackendServers, nil
		}
	case *topology.RoutingRule:
		switch s.Name {
		case "workspaces":
			return &o.Workspaces, nil
		case "requests":
			return &o.Requests, nil
		case "stages":
			return &o.Stages, nil
		case "backendServers":
			return &o.BackendServers, nil
		}
	}
	return nil, fmt.Errorf("%w: %T has no selector %q", ErrNoField, obj, s.Name)
}

// Get implements Field.
func (s Selector) Get(obj any) (string, error) {
	sel, err := s.of(obj)
	if err != nil {
		return "", err
	}
	return sel.String(), nil
}

// Set implements Field.
func (s Selector) Set(obj any, value string) error {
	sel, err := s.of(obj)
	if err != nil {
		return err
	}
	parsed, err := topology.ParseSelector(value)
	if err != nil {
		return err
	}
	*sel = parsed
	return nil
}
