// Package inventory caches the configuration in force and the existing backend servers,
// and tracks how fresh that state is. It follows the platform's store by lists and
// watches.
package inventory

import (
	"context"
	"time"

	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// Read is the result of a list or a watch: items, and the store's position from which the
// next watch continues.
type Read[T any] struct {
	Items []T
	At    store.Position
}

// ConfigRecord is one version of the configuration.
type ConfigRecord struct {
	Raw    []byte // as stored
	Config *site.Config
}

// ServerRecord is the record of a backend server, or its removal.
type ServerRecord struct {
	ID     string
	At     store.Position // of its last change
	Gone   bool
	Raw    []byte              // as stored
	Server *site.BackendServer // nil when gone or invalid
	Err    error               // why the record is invalid
}

// Feed reads the platform's store. Config and Servers are lists, which are linearizable.
// ConfigChanges and ServerChanges are watches: they return as soon as there is a change
// after since, or without one when wait is over. Errors are the sentinels of package
// store; a watch from an earlier era fails with store.ErrRestored.
type Feed interface {
	Config(ctx context.Context) (Read[ConfigRecord], error)
	ConfigChanges(ctx context.Context, since store.Position, wait time.Duration) (Read[ConfigRecord], error)
	Servers(ctx context.Context) (Read[ServerRecord], error)
	ServerChanges(ctx context.Context, since store.Position, wait time.Duration) (Read[ServerRecord], error)
	// DecodeConfig and DecodeServer decode stored objects.
	DecodeConfig(raw []byte) (*site.Config, error)
	DecodeServer(id string, raw []byte) (*site.BackendServer, error)
}
