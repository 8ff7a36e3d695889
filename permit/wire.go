package permit

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/quota"
)

// packedReport is a quota.LimitReport on a link. It holds ages instead of times because the
// clocks of two daemons are unrelated.
type packedReport struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Stated  bool
	Rate    float64
	SentAge time.Duration
	Age     time.Duration
}

// packReports converts reports for a link. Successive readings of the boot-time clock may
// step back by a microsecond, so ages are at least zero.
func packReports(reports []quota.LimitReport, now time.Time) []packedReport {
	out := make([]packedReport, len(reports))
	for i, r := range reports {
		age := max(0, now.Sub(r.At))
		out[i] = packedReport{Server: r.Server, Stated: r.Stated, Rate: r.Rate, SentAge: max(age, now.Sub(r.SentAt)), Age: age}
	}
	return out
}

func (p *packedReport) unpack(now time.Time) quota.LimitReport {
	r := quota.LimitReport{Server: p.Server, Stated: p.Stated, Rate: p.Rate, SentAt: now.Add(-p.SentAge), At: now.Add(-p.Age)}
	if !r.Stated {
		r.SentAt = r.SentAt.Add(-reportSlack)
	}
	return r
}

// valid reports whether the values of a report are possible.
func (p *packedReport) valid() bool {
	return p.Rate >= 0 && p.SentAge >= p.Age && p.Age >= 0 // false also for a NaN
}

// frame is one message on a link between a daemon and its allocator; exactly one field is
// set.
type frame struct {
	Poll     *poll          `cbor:"1,keyasint,omitempty"` // from the allocator
	Part     *part          `cbor:"2,keyasint,omitempty"`
	Request  *permitRequest `cbor:"3,keyasint,omitempty"`
	Decision *decision      `cbor:"4,keyasint,omitempty"` // from the allocator
	Reports  []packedReport `cbor:"5,keyasint,omitempty"` // from either end
}

// poll requests a daemon's part.
type poll struct {
	Number uint64 `cbor:"1,keyasint"`
	// Returned is set when the allocator stops: the daemon holds its part again.
	Returned bool `cbor:"2,keyasint,omitempty"`
}

// part contributes the sender's part until partTTL after the poll was sent.
type part struct {
	Number uint64         `cbor:"1,keyasint"`           // of the poll
	Sent   map[string]int `cbor:"2,keyasint,omitempty"` // calls within the window by backend server with a limit
	// Joining is set while the sender owns no part.
	Joining bool `cbor:"3,keyasint,omitempty"`
}

// permitRequest requests permits.
type permitRequest struct {
	Number    uint64   `cbor:"1,keyasint"`
	Servers   []string `cbor:"2,keyasint"`
	Priority  int      `cbor:"3,keyasint"`
	Workspace string   `cbor:"4,keyasint,omitempty"`
	// IdleFor is that of a quota.PermitRequest. An allocator that does not know the field
	// decides as on any other call.
	IdleFor time.Duration `cbor:"5,keyasint,omitempty"`
}

// decision answers the permitRequest with the same number.
type decision struct {
	Number     uint64        `cbor:"1,keyasint"`
	Granted    bool          `cbor:"2,keyasint,omitempty"`
	Server     string        `cbor:"3,keyasint,omitempty"`
	After      time.Duration `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
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

// readFrame reads one message.
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
