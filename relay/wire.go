// Package relay distributes what one daemon reads from the platform's store. In each
// failure domain one daemon follows the store, and the others follow it in a tree of
// bounded fan-out, so that neither the calls to the store nor the links of a daemon grow
// with the number of daemons. It also sums the loads that the daemons cause. A daemon that
// finds no healthy source follows the store itself.
package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/store"
)

// Path is the URL path at which a daemon serves its links. In the query, domainParam,
// nameParam and fanOutParam are those of the follower, and probeParam marks a probe, which
// checks whether this daemon is a healthy source and receives no state. crashesParam marks a
// link for crashes alone, and configParam a query for the configuration in force, which is no link.
const (
	Path        = "/relay"
	domainParam = "domain"
	nameParam   = "name"
	fanOutParam = "fanout"
	probeParam  = "probe"

	crashesParam = "crashes"
	configParam  = "config"
)

// maxFrameBytes bounds a frame: a full state with a large configuration.
const maxFrameBytes = 16 << 20

// writeTimeout bounds the writing of a frame. A follower that does not read is
// disconnected.
const writeTimeout = 2 * time.Second

// frame is one message; exactly one field is set.
type frame struct {
	Update *update `cbor:"1,keyasint,omitempty"`
	Ping   *ping   `cbor:"2,keyasint,omitempty"`
	Pong   *pong   `cbor:"3,keyasint,omitempty"`
	// Packed is an encoded and compressed frame.
	Packed []byte `cbor:"4,keyasint,omitempty"`
	// Crashes are changed entries of the quarantine registry.
	Crashes    []quarantine.PackedEntry `cbor:"5,keyasint,omitempty"`
	Conditions *conditions              `cbor:"6,keyasint,omitempty"`
	Members    *memberUpdate            `cbor:"7,keyasint,omitempty"`
	// Demands are changes since the last ping, pong or frame of this kind. Daemons of a version
	// without them ignore the frame.
	Demands packedDemands `cbor:"8,keyasint,omitempty"`
}

// conditions holds all backend servers that are known to be slow or saturated.
type conditions struct {
	Known []packedCondition `cbor:"1,keyasint"`
}

// update holds the changes between two states of the source.
type update struct {
	Config []byte `cbor:"1,keyasint,omitempty"`
	// Change is the delta from the configuration last sent over the link.
	Change  *delta                     `cbor:"5,keyasint,omitempty"`
	Servers map[string]inventory.Entry `cbor:"2,keyasint,omitempty"`
	Gone    []string                   `cbor:"3,keyasint,omitempty"`
	Full    bool                       `cbor:"4,keyasint,omitempty"`
	// Restored and At are copied from the source's inventory.State.
	Restored store.Position `cbor:"6,keyasint,omitempty"`
	At       store.Position `cbor:"7,keyasint,omitempty"`
}

// ping queries the freshness of the source and reports the sender's loads.
type ping struct {
	Number uint64       `cbor:"1,keyasint"`
	Sender string       `cbor:"2,keyasint"`
	Domain string       `cbor:"3,keyasint"`
	Loads  []packedLoad `cbor:"4,keyasint,omitempty"` // changes, followers included
	// Daemons is the number of daemons that Loads include.
	Daemons int `cbor:"7,keyasint,omitempty"`
	// LoadsAge is the mean age of Loads.
	LoadsAge time.Duration `cbor:"8,keyasint,omitempty"`
	// HasLoads reports that Loads are set and that loads are requested, if they are due.
	// Other pings query freshness alone.
	HasLoads bool `cbor:"6,keyasint,omitempty"`
	// LoadsOnly marks an exchange between sources: the sender follows the store itself.
	LoadsOnly bool `cbor:"5,keyasint,omitempty"`
	// Suspects are backend servers that the sender or its followers suspect to be slow, by
	// serverHash.
	Suspects []uint32 `cbor:"9,keyasint,omitempty"`
	// Crashes are set only between sources of different domains.
	Crashes []quarantine.PackedEntry `cbor:"10,keyasint,omitempty"`
	// RequestsConfig requests the configuration in force, in daemons of earlier versions.
	RequestsConfig bool `cbor:"11,keyasint,omitempty"`
	// Demands are those of the daemons that Loads include: all if HasLoads is set, changes
	// otherwise.
	Demands packedDemands `cbor:"12,keyasint,omitempty"`
	// Usage is Loads.Usage in percent.
	Usage int `cbor:"13,keyasint,omitempty"`
}

// pong answers the ping of the same number.
type pong struct {
	Number       uint64        `cbor:"1,keyasint"`
	Age          time.Duration `cbor:"2,keyasint"`           // since the configuration was last known to be current
	SinceContact time.Duration `cbor:"6,keyasint"`           // since the store last answered
	Version      uint64        `cbor:"3,keyasint"`           // of the configuration that Age applies to
	Loads        []packedLoad  `cbor:"4,keyasint,omitempty"` // changes
	Daemons      int           `cbor:"5,keyasint"`           // number of daemons that Loads include
	// LoadsAge is the mean age of Loads.
	LoadsAge time.Duration `cbor:"7,keyasint,omitempty"`
	// HasConditions reports that Conditions hold all slow and saturated backend servers of
	// the sender's domain. Without it they are unchanged. It is set only between domains;
	// followers receive conditions as they change.
	HasConditions bool              `cbor:"8,keyasint,omitempty"`
	Conditions    []packedCondition `cbor:"9,keyasint,omitempty"`
	// Crashes are set only between sources of different domains.
	Crashes []quarantine.PackedEntry `cbor:"10,keyasint,omitempty"`
	// Config is the configuration in force, if requested.
	Config []byte `cbor:"11,keyasint,omitempty"`
	// ListedAt is Members.ListedAt of the sender. It is set only between domains.
	ListedAt store.Position `cbor:"12,keyasint,omitempty"`
	// CrossesDomains reports that the sender has its state from another failure domain.
	CrossesDomains bool `cbor:"13,keyasint,omitempty"`
	// Demands are those of the daemons that Loads include: all if Daemons is set, changes
	// otherwise.
	Demands packedDemands `cbor:"14,keyasint,omitempty"`
	// Usage is Loads.Usage in percent.
	Usage int `cbor:"15,keyasint,omitempty"`
	// StoreSince and StoreLast are the ages of inventory.Contact of the sender. StoreSince is 0
	// if the sender knows of no answer of the store.
	StoreSince time.Duration `cbor:"16,keyasint,omitempty"`
	StoreLast  time.Duration `cbor:"17,keyasint,omitempty"`
}

// report returns the reported loads, with IDs resolved by ids.
func (p *ping) report(r *loadReceiver, ids map[uint32]string) Loads {
	return Loads{
		Items: r.apply(p.Loads, ids), Demands: r.allDemands(p.Demands), Daemons: max(1, p.Daemons),
		Age: max(0, p.LoadsAge), Usage: fromPercent(p.Usage, max(1, p.Daemons)),
	}
}

// report returns the reported loads, with IDs resolved by ids.
func (p *pong) report(r *loadReceiver, ids map[uint32]string) Loads {
	return Loads{
		Items: r.apply(p.Loads, ids), Demands: r.allDemands(p.Demands), Daemons: max(0, p.Daemons),
		Age: max(0, p.LoadsAge), Usage: fromPercent(p.Usage, p.Daemons),
	}
}

// inPercent encodes a summed usage.
func inPercent(usage float64) int { return int(100*usage + 0.5) }

// fromPercent decodes the summed usage of a number of daemons. Each uses its processors once at
// most.
func fromPercent(percent, daemons int) float64 {
	return min(float64(max(0, daemons)), max(0, float64(percent)/100))
}

// compressThreshold is the size in bytes from which a frame of encodeFrame is compressed.
const compressThreshold = 1 << 10

// encodeUpdate encodes an update as a frame, compressed if it is large.
func encodeUpdate(u *update) ([]byte, error) { return encodeFrame(&frame{Update: u}) }

// encodeFrame encodes a frame, compressed if it is large.
func encodeFrame(f *frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("relay: encode: %w", err)
	}
	if len(data) < compressThreshold {
		return data, nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("relay: compress: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("relay: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("relay: compress: %w", err)
	}
	return cbor.Marshal(&frame{Packed: packed.Bytes()})
}

// decompress decodes a compressed frame.
func (f *frame) decompress() (*frame, error) {
	data, err := readall.AtMost(flate.NewReader(bytes.NewReader(f.Packed)), maxFrameBytes)
	if err != nil {
		return nil, fmt.Errorf("relay: decompress: %w", err)
	}
	return decodeFrame(data)
}

func writeFrame(ctx context.Context, c *websocket.Conn, f *frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return fmt.Errorf("relay: encode: %w", err)
	}
	return writeData(ctx, c, data)
}

func writeData(ctx context.Context, c *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

func readFrame(ctx context.Context, c *websocket.Conn) (*frame, error) {
	_, data, err := c.Read(ctx)
	if err != nil {
		return nil, err
	}
	return unpackFrame(data)
}

// unpackFrame decodes a frame that may be compressed.
func unpackFrame(data []byte) (*frame, error) {
	f, err := decodeFrame(data)
	if err == nil && f.Packed != nil {
		return f.decompress()
	}
	return f, err
}

func decodeFrame(data []byte) (*frame, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("relay: decode: %w", err)
	}
	return &f, nil
}
