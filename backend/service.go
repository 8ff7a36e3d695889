package backend

import (
	"context"
	"io"
	"net/http"

	"github.com/snowspoke/snowspoke/framing"
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	RequestID string
	Method    string
	Path      string // with the query
	Header    http.Header
	Body      []byte
}

// ServiceReply is the reply of a service. The receiver must close Body. Reading it
// returns io.EOF only after the complete reply if Framing is delimited. Otherwise io.EOF
// means that the connection was closed and that the endpoint's process has not ended with it:
// a reply that a living endpoint has broken off cannot be told from a complete one.
type ServiceReply struct {
	Status  int
	Header  http.Header
	Framing framing.Framing
	Body    io.ReadCloser
}

// Services is the client interface of plain services. Its errors wrap those of
// package execution.
type Services interface {
	// Call sends a call once and returns the reply.
	Call(ctx context.Context, t Target, c *ServiceCall) (*ServiceReply, error)
}
