package backend

import (
	"context"
	"io"
	"net/http"
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	RequestID string
	Method    string
	Path      string // with the query
	Header    http.Header
	Body      []byte
}

// ServiceReply is the reply of a service. Reading Body returns io.EOF only after
// the complete reply. The receiver must close it.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Services is the client interface of plain services. Its errors wrap those of
// package execution.
type Services interface {
	// Call sends a call once and returns the reply.
	Call(ctx context.Context, t Target, c *ServiceCall) (*ServiceReply, error)
}
