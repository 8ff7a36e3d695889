package peer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/catalog"
	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/store"
)

// Frame is a message on a link. Fields that are not set are not sent.
type Frame struct {
	Hello         *Hello           `cbor:"1,keyasint,omitempty"`
	Heartbeat     *Heartbeat       `cbor:"2,keyasint,omitempty"`
	Members       []Member         `cbor:"3,keyasint,omitempty"`
	Objects       []store.Object   `cbor:"4,keyasint,omitempty"`
	Statuses      []backend.Status `cbor:"5,keyasint,omitempty"`
	ConfigRequest *ConfigRequest   `cbor:"6,keyasint,omitempty"`
	Snapshot      []byte           `cbor:"7,keyasint,omitempty"` // gzip of CBOR of objects
	VMs           *VMList          `cbor:"8,keyasint,omitempty"`
	// Crashes are changes of the quarantine registry.
	Crashes []quarantine.PackedEntry `cbor:"9,keyasint,omitempty"`
}

// VMList is a VM list that a watcher read from the platform.
type VMList struct {
	ReadAt int64      `cbor:"1,keyasint"` // Unix milliseconds; the newest list wins
	VMs    []store.VM `cbor:"2,keyasint"`
}

// Hello is the first message on a link, sent by both sides.
type Hello struct {
	Self Member `cbor:"1,keyasint"`
}

// Heartbeat is sent on every link at the heartbeat interval. It carries the mark of
// the sender's catalog, and whether the catalog was complete before it had this mark.
type Heartbeat struct {
	Mark     catalog.Mark `cbor:"1,keyasint"`
	Complete bool         `cbor:"2,keyasint,omitempty"`
}

// ConfigRequest requests the configuration that the sender lacks.
type ConfigRequest struct {
	Mark catalog.Mark `cbor:"1,keyasint"` // of the sender's catalog
}

// Size limits of received frames and decompressed snapshots.
const (
	maxFrameBytes    = 64 << 20
	maxSnapshotBytes = 256 << 20
)

// decMode limits the structures that a peer's messages can allocate.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}()

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return data, nil
}

// decodeFrame decodes a frame within the limits of decMode.
func decodeFrame(data []byte) (*Frame, error) {
	var f Frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("peer: frame: %w", err)
	}
	return &f, nil
}

// packObjects encodes and compresses a snapshot.
func packObjects(objects []store.Object) ([]byte, error) {
	data, err := encode(objects)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("peer: snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("peer: snapshot: %w", err)
	}
	return b.Bytes(), nil
}

func unpackObjects(data []byte) ([]store.Object, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("peer: snapshot: %w", err)
	}
	raw, err := readall.AtMost(r, maxSnapshotBytes)
	if err != nil {
		return nil, fmt.Errorf("peer: snapshot: %w", err)
	}
	var objects []store.Object
	if err := decMode.Unmarshal(raw, &objects); err != nil {
		return nil, fmt.Errorf("peer: snapshot: %w", err)
	}
	return objects, nil
}

// stride returns the distance to the i-th of degree neighbors on a ring of n.
func stride(n, i, degree int) int {
	return max(1, int(math.Round(math.Pow(float64(n), float64(i)/float64(degree)))))
}
