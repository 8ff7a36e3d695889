package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/site"
)

// sendStage is how far a send had come.
type sendStage string

// The stages of a send.
const (
	stageSent    sendStage = "sent"    // nothing came back
	stageHead    sendStage = "head"    // the head of the answer came: the request runs
	stageStreams sendStage = "streams" // events came
)

// progress is what is known of one send.
type progress struct {
	sentAt time.Time
	headAt time.Time // zero before the head of the answer came
}

// stage returns how far the send has come; lastEvent is when the request had its last
// event, the zero time for none.
func (p progress) stage(lastEvent time.Time) sendStage {
	switch {
	case p.headAt.IsZero():
		return stageSent
	case lastEvent.After(p.headAt):
		return stageStreams
	}
	return stageHead
}

// lostContact reports whether a send ended because nothing more came from its backend
// server, which this daemon had not given up.
func lostContact(err error) bool {
	given := errors.Is(err, errSilent) || errors.Is(err, errElsewhere) || errors.Is(err, errHeadDead)
	return !given && (errors.Is(err, execution.ErrLost) || errors.Is(err, errBroken))
}

// hasEnded reports whether an error of a probe says that the backend server's process
// is gone: its VM is there, and nobody listens. Silence says nothing of the kind.
func hasEnded(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// noteLost looks whether a backend server with which contact was lost has ended, and
// says so with how far the request had come there.
func (r *run) noteLost(ctx context.Context, s *site.BackendServer) {
	now := time.Now()
	stage, after := r.progress.stage(r.lastAt), now.Sub(r.progress.sentAt)
	attempt := r.sends
	go func() {
		if !hasEnded(r.f.probe(context.WithoutCancel(ctx), s)) {
			return
		}
		r.f.log.Add("ended", "server", s.ID, "address", s.Address, "request", r.req.ID, "fingerprint", r.print, "attempt", attempt,
			"stage", stage, "after", after.Round(time.Millisecond))
	}()
}
