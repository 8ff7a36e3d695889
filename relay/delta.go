package relay

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A new version of a configuration differs from the last one in a few places. Followers
// get just these: a version of 1,400 routes came to 12 to 40 KB compressed, for each of
// seven followers, and twenty versions a second to more than the link of a small VM
// carries.

// errDelta says that a difference does not fit what it was made for.
var errDelta = errors.New("relay: difference does not fit")

// delta makes one text out of another.
type delta struct {
	Parts []deltaPart `cbor:"1,keyasint"`
	Sum   uint64      `cbor:"2,keyasint"` // hash of the result
}

// deltaPart is a part of the result: so many bytes of the base from some place on, or
// these.
type deltaPart struct {
	_     struct{} `cbor:",toarray"`
	From  uint32
	Len   uint32
	Bytes []byte
}

// pieceEnd ends the pieces into which a text is cut to find what was there before: in
// the platform's JSON an entry of a list is one piece. Any text may be cut so.
const pieceEnd = '}'

// pieces calls f with each piece of a text and where it begins.
func pieces(text []byte, f func(at int, piece []byte)) {
	for at := 0; at < len(text); {
		n := bytes.IndexByte(text[at:], pieceEnd) + 1
		if n == 0 {
			n = len(text) - at
		}
		f(at, text[at:at+n])
		at += n
	}
}

// newDelta returns what makes next out of base.
func newDelta(base, next []byte) *delta {
	known := map[uint64]int{}
	pieces(base, func(at int, piece []byte) {
		sum := xxhash.Sum64(piece)
		if _, there := known[sum]; !there {
			known[sum] = at
		}
	})
	d := &delta{Sum: xxhash.Sum64(next)}
	pieces(next, func(_ int, piece []byte) {
		if l := d.last(); l.Len > 0 && bytes.HasPrefix(base[l.From+l.Len:], piece) {
			l.Len += uint32(len(piece))
			return
		}
		at, there := known[xxhash.Sum64(piece)]
		if there && bytes.HasPrefix(base[at:], piece) {
			d.Parts = append(d.Parts, deltaPart{From: uint32(at), Len: uint32(len(piece))})
			return
		}
		d.adds(piece)
	})
	return d
}

func (d *delta) last() *deltaPart {
	if len(d.Parts) == 0 {
		return &deltaPart{}
	}
	return &d.Parts[len(d.Parts)-1]
}

func (d *delta) adds(piece []byte) {
	if l := d.last(); len(l.Bytes) > 0 {
		l.Bytes = append(l.Bytes, piece...)
		return
	}
	d.Parts = append(d.Parts, deltaPart{Bytes: bytes.Clone(piece)})
}

// size returns about how many bytes a difference takes on a link.
func (d *delta) size() int {
	n := 0
	for i := range d.Parts {
		n += 12 + len(d.Parts[i].Bytes)
	}
	return n
}

// apply returns what the difference makes out of base.
func (d *delta) apply(base []byte) ([]byte, error) {
	var out []byte
	for _, p := range d.Parts {
		if uint64(p.From)+uint64(p.Len) > uint64(len(base)) {
			return nil, fmt.Errorf("%w: it copies beyond the end", errDelta)
		}
		out = append(out, base[p.From:p.From+p.Len]...)
		out = append(out, p.Bytes...)
		if len(out) > maxFrameBytes {
			return nil, fmt.Errorf("%w: the result is too long", errDelta)
		}
	}
	if xxhash.Sum64(out) != d.Sum {
		return nil, fmt.Errorf("%w: the result is another text", errDelta)
	}
	return out, nil
}
