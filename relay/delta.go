package relay

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Versions of a configuration differ in few places, so followers get a delta from the last
// version that was sent to them. A full version of 1,400 routes has 12 to 40 KB compressed;
// twenty a second for seven followers would exceed the link of a small VM.

// errDeltaMismatch is returned for a delta that does not match its base.
var errDeltaMismatch = errors.New("relay: delta does not match its base")

// delta describes how to make one text from a base.
type delta struct {
	Parts []deltaPart `cbor:"1,keyasint"`
	Sum   uint64      `cbor:"2,keyasint"` // hash of the result
}

// deltaPart is a part of the result: Len bytes of the base at offset From, followed by
// Bytes.
type deltaPart struct {
	_     struct{} `cbor:",toarray"`
	From  uint32
	Len   uint32
	Bytes []byte
}

// pieceEnd ends the pieces in which matches are searched. In the platform's JSON an entry
// of a list is one piece. The choice affects only the size of a delta.
const pieceEnd = '}'

// eachPiece calls f with each piece of a text and its offset.
func eachPiece(text []byte, f func(at int, piece []byte)) {
	for at := 0; at < len(text); {
		n := bytes.IndexByte(text[at:], pieceEnd) + 1
		if n == 0 {
			n = len(text) - at
		}
		f(at, text[at:at+n])
		at += n
	}
}

// newDelta returns the delta from base to next.
func newDelta(base, next []byte) *delta {
	known := map[uint64]int{}
	eachPiece(base, func(at int, piece []byte) {
		sum := xxhash.Sum64(piece)
		if _, ok := known[sum]; !ok {
			known[sum] = at
		}
	})
	d := &delta{Sum: xxhash.Sum64(next)}
	eachPiece(next, func(_ int, piece []byte) {
		if l := d.last(); l.Len > 0 && bytes.HasPrefix(base[l.From+l.Len:], piece) {
			l.Len += uint32(len(piece))
			return
		}
		at, ok := known[xxhash.Sum64(piece)]
		if ok && bytes.HasPrefix(base[at:], piece) {
			d.Parts = append(d.Parts, deltaPart{From: uint32(at), Len: uint32(len(piece))})
			return
		}
		d.appendBytes(piece)
	})
	return d
}

func (d *delta) last() *deltaPart {
	if len(d.Parts) == 0 {
		return &deltaPart{}
	}
	return &d.Parts[len(d.Parts)-1]
}

func (d *delta) appendBytes(piece []byte) {
	if l := d.last(); len(l.Bytes) > 0 {
		l.Bytes = append(l.Bytes, piece...)
		return
	}
	d.Parts = append(d.Parts, deltaPart{Bytes: bytes.Clone(piece)})
}

// size returns the approximate encoded size in bytes.
func (d *delta) size() int {
	n := 0
	for i := range d.Parts {
		n += 12 + len(d.Parts[i].Bytes)
	}
	return n
}

// apply returns the text made from base.
func (d *delta) apply(base []byte) ([]byte, error) {
	var out []byte
	for _, p := range d.Parts {
		if uint64(p.From)+uint64(p.Len) > uint64(len(base)) {
			return nil, fmt.Errorf("%w: copy range exceeds the base", errDeltaMismatch)
		}
		out = append(out, base[p.From:p.From+p.Len]...)
		out = append(out, p.Bytes...)
		if len(out) > maxFrameBytes {
			return nil, fmt.Errorf("%w: result exceeds the maximum frame size", errDeltaMismatch)
		}
	}
	if xxhash.Sum64(out) != d.Sum {
		return nil, fmt.Errorf("%w: checksum differs", errDeltaMismatch)
	}
	return out, nil
}
