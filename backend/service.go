package backend

import (
	"context"
	"io"
	"net/http"
)

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	RequestID string
	Method    string
	Path      string // with the query
	Header    http.Header
	Body      []byte
}

// ServiceReply is the service's answer. The reader of Body gets io.EOF only
// when the whole answer has arrived.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Services calls plain services. Errors wrap those of package execution.
type Services interface {
	Call(ctx context.Context, t Target, c *ServiceCall) (*ServiceReply, error)
}
