package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/claims"
	"github.com/snowspoke/snowspoke/internal/readall"
)

// Paths of the calls about claims.
const (
	PathPropose = "/peer/v1/claims/propose"
	PathAnswer  = "/peer/v1/claims/answer"
)

// maxCallBytes limits the body of a call and of its response.
const maxCallBytes = 32 << 20

// answerRequest requests the stored answer of a request with an idempotency key.
type answerRequest struct {
	Key       claims.KeyHash `cbor:"1,keyasint"`
	RequestID string         `cbor:"2,keyasint"`
}

// answerResponse holds a stored answer, or the error returned instead.
type answerResponse struct {
	Answer *claims.Answer `cbor:"1,keyasint,omitempty"`
	Kind   apierror.Kind  `cbor:"2,keyasint,omitempty"`
	Detail string         `cbor:"3,keyasint,omitempty"`
}

var errUnknownPeer = errors.New("peer: no such daemon")

// call posts a CBOR body to another daemon and decodes its response. Links carry
// only one-way updates, so requests are HTTP calls to the other daemon. call returns
// errUnknownPeer for a daemon that is unknown or dead.
func (n *Node) call(ctx context.Context, daemon, path string, in, out any) error {
	address, ok := n.Address(daemon)
	if !ok {
		return errUnknownPeer
	}
	data, err := encode(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.opts.Scheme+"://"+address+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+n.opts.Token)
	resp, err := n.http.Do(req)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	defer resp.Body.Close()
	body, err := readall.AtMost(resp.Body, maxCallBytes)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peer: daemon %q returned HTTP status %d", daemon, resp.StatusCode)
	}
	if err := decMode.Unmarshal(body, out); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

// Propose implements claims.Peers.
func (n *Node) Propose(ctx context.Context, daemon string, r claims.Record) (claims.Result, error) {
	var result claims.Result
	err := n.call(ctx, daemon, PathPropose, r, &result)
	return result, err
}

// Answer implements claims.Peers.
func (n *Node) Answer(ctx context.Context, daemon string, key claims.KeyHash, requestID string) (*claims.Answer, error) {
	var a answerResponse
	if err := n.call(ctx, daemon, PathAnswer, answerRequest{key, requestID}, &a); err != nil {
		return nil, err
	}
	if a.Kind != "" {
		return nil, apierror.New(a.Kind, "%s", a.Detail)
	}
	return a.Answer, nil
}

// ClaimServer serves the calls of other daemons about claims.
type ClaimServer interface {
	ServePropose(ctx context.Context, r claims.Record) (claims.Result, error)
	ServeAnswer(ctx context.Context, k claims.KeyHash, requestID string) (*claims.Answer, error)
}

// ServeClaims adds the handlers for calls about claims to mux.
func (n *Node) ServeClaims(mux *http.ServeMux, server ClaimServer) {
	mux.HandleFunc("POST "+PathPropose, func(w http.ResponseWriter, r *http.Request) {
		var in claims.Record
		if !n.readCall(w, r, &in) {
			return
		}
		result, err := server.ServePropose(r.Context(), in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		n.writeCall(w, result)
	})
	mux.HandleFunc("POST "+PathAnswer, func(w http.ResponseWriter, r *http.Request) {
		var in answerRequest
		if !n.readCall(w, r, &in) {
			return
		}
		a, err := server.ServeAnswer(r.Context(), in.Key, in.RequestID)
		out := answerResponse{Answer: a}
		if err != nil {
			e := apierror.From(err)
			out.Kind, out.Detail = e.Kind, e.Detail
		}
		n.writeCall(w, out)
	})
}

// readCall authorizes a call and decodes its body. If it returns false, it has
// written the error response.
func (n *Node) readCall(w http.ResponseWriter, r *http.Request, in any) bool {
	if !n.Authorized(r) {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err == nil {
		err = decMode.Unmarshal(body, in)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (n *Node) writeCall(w http.ResponseWriter, out any) {
	data, err := encode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
