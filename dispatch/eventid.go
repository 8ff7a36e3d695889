package dispatch

import (
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/snowspoke/snowspoke/topology"
)

// ErrBadEventID reports that an event ID was not issued by this fleet.
var ErrBadEventID = errors.New("dispatch: bad event ID")

// KeyBytes is the size of the fleet's key, in bytes.
const KeyBytes = chacha20poly1305.KeySize

// maxEventID bounds the length of an event ID sent by a caller, in bytes.
const maxEventID = 8 << 10

// Position is the content of an event ID. It holds everything that another daemon
// needs to continue the stream.
type Position struct {
	Workspace  string         `cbor:"1,keyasint"`
	RequestID  string         `cbor:"2,keyasint"`
	Attempt    int            `cbor:"3,keyasint"`
	Model      string         `cbor:"4,keyasint"`
	Version    string         `cbor:"5,keyasint"`
	Adapter    string         `cbor:"6,keyasint"`
	Route      topology.Route `cbor:"7,keyasint"`
	BodyHash   uint64         `cbor:"8,keyasint"`
	Repeatable bool           `cbor:"9,keyasint"`
	Index      int            `cbor:"-"` // of the event; sealed ahead of the encoded fields
}

// Sealer seals and opens event IDs under the fleet's key.
type Sealer struct{ aead cipher.AEAD }

// NewSealer returns a sealer for a key of KeyBytes bytes, or an error if the key has
// another length.
func NewSealer(key []byte) (*Sealer, error) {
	aead, err := chacha20poly1305.NewX(key)
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	return &Sealer{aead: aead}, nil
}

// LoadKey reads a key of KeyBytes bytes from a file, where it is written in hex.
func LoadKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != KeyBytes {
		return nil, fmt.Errorf("fleet key: %s must hold %d bytes in hex", path, KeyBytes)
	}
	return key, nil
}

// Attempt seals the event IDs of one attempt. The Position is encoded once, and
// each event adds its index. The nonce is 16 random bytes per attempt followed by the
// index, so no nonce is used twice under the key. An Attempt is not safe for
// concurrent use.
type Attempt struct {
	aead  cipher.AEAD
	nonce [chacha20poly1305.NonceSizeX]byte
	plain []byte // index, then the encoded Position
	buf   []byte
}

const indexBytes = 8

// Attempt returns an Attempt that seals the events of one attempt.
func (s *Sealer) Attempt(p *Position) (*Attempt, error) {
	body, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("event ID: %w", err)
	}
	a := &Attempt{aead: s.aead, plain: append(make([]byte, indexBytes), body...)}
	if _, err := rand.Read(a.nonce[:len(a.nonce)-indexBytes]); err != nil {
		return nil, fmt.Errorf("event ID: %w", err)
	}
	return a, nil
}

// Seal returns the event ID of the event with the given index.
func (a *Attempt) Seal(index int) string {
	binary.BigEndian.PutUint64(a.nonce[len(a.nonce)-indexBytes:], uint64(index))
	binary.BigEndian.PutUint64(a.plain[:indexBytes], uint64(index))
	a.buf = append(a.buf[:0], a.nonce[:]...)
	a.buf = a.aead.Seal(a.buf, a.nonce[:], a.plain, nil)
	return base64.RawURLEncoding.EncodeToString(a.buf)
}

// Open returns the Position sealed in an event ID, or ErrBadEventID.
func (s *Sealer) Open(id string) (*Position, error) {
	if len(id) > maxEventID {
		return nil, ErrBadEventID
	}
	raw, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil || len(raw) < chacha20poly1305.NonceSizeX {
		return nil, ErrBadEventID
	}
	nonce, sealed := raw[:chacha20poly1305.NonceSizeX], raw[chacha20poly1305.NonceSizeX:]
	plain, err := s.aead.Open(nil, nonce, sealed, nil)
	if err != nil || len(plain) < indexBytes {
		return nil, ErrBadEventID
	}
	var p Position
	if err := cbor.Unmarshal(plain[indexBytes:], &p); err != nil {
		return nil, ErrBadEventID
	}
	p.Index = int(binary.BigEndian.Uint64(plain[:indexBytes]))
	return &p, nil
}
