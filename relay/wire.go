// Package relay passes on what one daemon reads from the platform's store. In
// each failure domain one daemon follows the store and the others follow it, as a
// tree of bounded fan-out, so that neither calls to the store nor the links of
// one daemon grow with the daemons; it also adds up the loads that they cause. Every daemon can do without: one that finds no sound
// source follows the store itself.
package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/store"
)

// Path is where a daemon serves its links. In the query, domainParam names the
// failure domain of the daemon that follows, and probeParam says that it only
// asks whether this one is a sound source and wants no state.
const (
	Path        = "/relay"
	domainParam = "domain"
	probeParam  = "probe"
)

// maxFrameBytes bounds a frame: a full state with a large configuration.
const maxFrameBytes = 16 << 20

// writeTimeout bounds the writing of a frame: a follower that does not read is
// cut off and comes back.
const writeTimeout = 2 * time.Second

// frame is one message; exactly one field is set.
type frame struct {
	Update *update `cbor:"1,keyasint,omitempty"`
	Ping   *ping   `cbor:"2,keyasint,omitempty"`
	Pong   *pong   `cbor:"3,keyasint,omitempty"`
	// Packed is an encoded and compressed update: records are much alike.
	Packed []byte `cbor:"4,keyasint,omitempty"`
	// Crashes are changes of what is known of requests under which backend servers ended.
	Crashes []packedCrash `cbor:"5,keyasint,omitempty"`
	// Conditions are those of the backend servers that are slow or crowded.
	Conditions *conditions `cbor:"6,keyasint,omitempty"`
}

// conditions are those of all backend servers that are known to be slow or crowded.
type conditions struct {
	Known []packedCondition `cbor:"1,keyasint"`
}

// update carries what changed at the source.
type update struct {
	Config []byte `cbor:"1,keyasint,omitempty"`
	// Change makes the configuration out of the last one that was sent over the link.
	Change  *delta                     `cbor:"5,keyasint,omitempty"`
	Servers map[string]inventory.Entry `cbor:"2,keyasint,omitempty"`
	Gone    []string                   `cbor:"3,keyasint,omitempty"`
	Full    bool                       `cbor:"4,keyasint,omitempty"`
	// Restored is that of the source's inventory.State.
	Restored store.Position `cbor:"6,keyasint,omitempty"`
}

// ping asks how fresh the source's knowledge is, and tells the sender's loads.
type ping struct {
	Number uint64       `cbor:"1,keyasint"`
	Sender string       `cbor:"2,keyasint"`
	Domain string       `cbor:"3,keyasint"`
	Loads  []packedLoad `cbor:"4,keyasint,omitempty"` // with those of its followers, as changes
	// Daemons are those whose loads these are.
	Daemons int `cbor:"7,keyasint,omitempty"`
	// LoadsAge is their mean age.
	LoadsAge time.Duration `cbor:"8,keyasint,omitempty"`
	// HasLoads says that Loads are told and that the others' are asked for; other
	// pings only ask how fresh the source is.
	HasLoads bool `cbor:"6,keyasint,omitempty"`
	// LoadsOnly asks for nothing but loads: the sender follows the store itself.
	LoadsOnly bool `cbor:"5,keyasint,omitempty"`
	// Suspects are backend servers that the sender or its followers suspect to be
	// slow, by the hash of their IDs.
	Suspects []uint32 `cbor:"9,keyasint,omitempty"`
	// Crashes are told here to the source of another domain.
	Crashes []packedCrash `cbor:"10,keyasint,omitempty"`
	// WantsConfig asks for the configuration in force.
	WantsConfig bool `cbor:"11,keyasint,omitempty"`
}

// pong answers a ping of the same number.
type pong struct {
	Number  uint64        `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`           // of the proof of freshness
	Heard   time.Duration `cbor:"6,keyasint"`           // since the store last answered
	Version uint64        `cbor:"3,keyasint"`           // of the configuration that it is about
	Loads   []packedLoad  `cbor:"4,keyasint,omitempty"` // as changes
	Daemons int           `cbor:"5,keyasint"`           // whose loads are added up
	// LoadsAge is their mean age.
	LoadsAge time.Duration `cbor:"7,keyasint,omitempty"`
	// HasConditions says that Conditions are those of all backend servers of the sender's
	// domain that are known to be slow or crowded; other pongs say that nothing has
	// changed. Followers of the own domain are told as it changes.
	HasConditions bool              `cbor:"8,keyasint,omitempty"`
	Conditions    []packedCondition `cbor:"9,keyasint,omitempty"`
	// Crashes are told here to the source of another domain.
	Crashes []packedCrash `cbor:"10,keyasint,omitempty"`
	// Config is the configuration in force, if it was asked for.
	Config []byte `cbor:"11,keyasint,omitempty"`
}

// told returns the loads that a ping tells, of backend servers with these names.
func (p *ping) told(l *listener, ids map[uint32]string) Loads {
	return Loads{Items: l.take(p.Loads, ids), Daemons: max(1, p.Daemons), Age: max(0, p.LoadsAge)}
}

// told returns the loads that a pong tells, of backend servers with these names.
func (p *pong) told(l *listener, ids map[uint32]string) Loads {
	return Loads{Items: l.take(p.Loads, ids), Daemons: max(0, p.Daemons), Age: max(0, p.LoadsAge)}
}

// packFrom is the size from which an update is compressed, in bytes.
const packFrom = 1 << 10

// encodeUpdate encodes an update as a frame, compressed if it is large.
func encodeUpdate(u *update) ([]byte, error) {
	data, err := cbor.Marshal(&frame{Update: u})
	if err != nil {
		return nil, fmt.Errorf("relay: encode: %w", err)
	}
	if len(data) < packFrom {
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

// unpack decodes a compressed frame.
func (f *frame) unpack() (*frame, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(f.Packed)), maxFrameBytes))
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
	f, err := decodeFrame(data)
	if err == nil && f.Packed != nil {
		return f.unpack()
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
