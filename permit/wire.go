package permit

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/quota"
)

// packedWord is a quota.Word on a link, with ages for times: the clocks of two daemons
// have nothing in common.
type packedWord struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Named   bool
	Rate    float64
	SentAge time.Duration
	Age     time.Duration
}

// packWords makes words ready for a link. The clock that counts suspensions is read twice
// and may step back by a microsecond: what came just now has no age.
func packWords(words []quota.Word, now time.Time) []packedWord {
	out := make([]packedWord, len(words))
	for i, w := range words {
		age := max(0, now.Sub(w.At))
		out[i] = packedWord{Server: w.Server, Named: w.Named, Rate: w.Rate, SentAge: max(age, now.Sub(w.SentAt)), Age: age}
	}
	return out
}

func (p *packedWord) unpack(now time.Time) quota.Word {
	w := quota.Word{Server: p.Server, Named: p.Named, Rate: p.Rate, SentAt: now.Add(-p.SentAge), At: now.Add(-p.Age)}
	if !w.Named {
		w.SentAt = w.SentAt.Add(-newsSlack)
	}
	return w
}

// possible reports whether a backend server can have said so.
func (p *packedWord) possible() bool {
	return p.Rate >= 0 && p.SentAge >= p.Age && p.Age >= 0 // no comparison holds for what is not a number
}

// frame is one message on a link between a daemon and its allocator; one field is
// set.
type frame struct {
	Poll     *poll        `cbor:"1,keyasint,omitempty"` // by the allocator
	Part     *part        `cbor:"2,keyasint,omitempty"`
	Ask      *ask         `cbor:"3,keyasint,omitempty"`
	Decision *decision    `cbor:"4,keyasint,omitempty"` // by the allocator
	Words    []packedWord `cbor:"5,keyasint,omitempty"` // by both
}

// poll asks for a daemon's part.
type poll struct {
	Number uint64 `cbor:"1,keyasint"`
	// Returned says that the part is the daemon's own again at once.
	Returned bool `cbor:"2,keyasint,omitempty"`
}

// part contributes the sender's part until lentFor after the poll was sent.
type part struct {
	Number uint64         `cbor:"1,keyasint"`           // of the poll
	Sent   map[string]int `cbor:"2,keyasint,omitempty"` // within the window, by backend server with a limit
}

// ask asks for permits.
type ask struct {
	Number    uint64   `cbor:"1,keyasint"`
	Servers   []string `cbor:"2,keyasint"`
	Priority  int      `cbor:"3,keyasint"`
	Workspace string   `cbor:"4,keyasint,omitempty"`
}

// decision answers an ask of the same number.
type decision struct {
	Number  uint64        `cbor:"1,keyasint"`
	Granted bool          `cbor:"2,keyasint,omitempty"`
	Server  string        `cbor:"3,keyasint,omitempty"`
	After   time.Duration `cbor:"4,keyasint,omitempty"`
	Back    time.Duration `cbor:"5,keyasint,omitempty"`
}

// writeFrame sends one message.
func writeFrame(ctx context.Context, c *websocket.Conn, f *frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

// writeTimeout bounds the writing of one frame.
const writeTimeout = 2 * time.Second

// readFrame waits for one message.
func readFrame(ctx context.Context, c *websocket.Conn) (*frame, error) {
	_, data, err := c.Read(ctx)
	if err != nil {
		return nil, err
	}
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	return &f, nil
}
