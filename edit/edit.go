// Package edit changes single fields of objects in the platform's store, safely
// for concurrent editors: edits of different fields merge, edits of the same
// field conflict, and a write with an unknown outcome is resolved by reading the
// object again.
package edit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Errors returned by Apply.
var (
	// ErrFieldChanged reports that the same field was changed concurrently.
	ErrFieldChanged = errors.New("edit: the field was changed concurrently")
	// ErrNoField reports that objects of the kind do not have the field.
	ErrNoField = errors.New("edit: no such field")
)

// Field is one field of an object.
type Field interface {
	// Get returns the value of the field as text, or "" if it is not set.
	Get(obj any) (string, error)
	// Set sets the field; "" removes it.
	Set(obj any, value string) error
}

// Result is the outcome of an edit.
type Result struct {
	Version store.Position `json:"version"` // object version that has the new value
	Before  string         `json:"before"`
	After   string         `json:"after"`
	Changed bool           `json:"changed"`
}

// maxTries bounds the attempts of an edit that conflicts with concurrent ones.
const maxTries = 20

// Apply sets a field of an object. It retries after conflicting and ambiguous
// writes, and fails if the field itself was changed concurrently.
func Apply(ctx context.Context, s store.Store, kind topology.Kind, name string, f Field, value string) (Result, error) {
	var r Result
	for try := range maxTries {
		o, obj, err := read(ctx, s, kind, name)
		if err != nil {
			return r, err
		}
		current, err := f.Get(obj)
		if err != nil {
			return r, err
		}
		if try == 0 {
			r.Before = current
		}
		if current == value {
			r.Version, r.After, r.Changed = o.Version, value, r.Before != value
			return r, nil
		}
		if current != r.Before {
			return r, fmt.Errorf("%w: it was %q, is %q, should be %q", ErrFieldChanged, r.Before, current, value)
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
		// Read again: this write may have taken effect, or another one came first.
	}
	return r, fmt.Errorf("edit: %s %s: not stored after %d attempts: %w", kind, name, maxTries, store.ErrConflict)
}

func read(ctx context.Context, s store.Store, kind topology.Kind, name string) (store.Object, any, error) {
	o, err := s.Get(ctx, string(kind), name)
	if err != nil {
		return o, nil, fmt.Errorf("%s %s: %w", kind, name, err)
	}
	obj, err := topology.Parse(kind, name, o.Spec)
	return o, obj, err
}

// write validates the changed object as daemons do, then stores it.
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

// Label is the label of an object with a given key.
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

// Selector is the selector in a named field: workspaces, requests, stages or
// backendServers of a rule, or backendServers of a stage.
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
