package api

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/topology"
)

// format selects the OpenAI-style format of a request and its response.
type format uint8

const (
	textFormat format = iota
	chatFormat
)

// maxPrefixBytes is how much of the start of a prompt goes into its cache key.
const maxPrefixBytes = 512

// completionBody is the request body of both completion endpoints.
type completionBody struct {
	Model       string            `json:"model"`
	Adapter     string            `json:"adapter"`
	Prompt      string            `json:"prompt"`
	Messages    []backend.Message `json:"messages"`
	MaxTokens   int               `json:"max_tokens"`
	Stream      bool              `json:"stream"`
	Temperature *float64          `json:"temperature"`
	TopP        *float64          `json:"top_p"`
	Seed        *int64            `json:"seed"`
	Stop        stopList          `json:"stop"`
	Choices     int               `json:"n"` // number of completions; only one is supported
}

// stopList is decoded from one string or a list of strings.
type stopList []string

// UnmarshalJSON implements json.Unmarshaler.
func (s *stopList) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		*s = stopList{one}
		return nil
	}
	var many []string
	if err := json.Unmarshal(data, &many); err != nil {
		return err
	}
	*s = many
	return nil
}

// parseCompletion decodes and validates a request body.
func parseCompletion(body []byte, f format) (*completionBody, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, apierror.New(apierror.BadRequest, "body: %v", err)
	}
	switch {
	case b.Model == "":
		return nil, apierror.New(apierror.BadRequest, "model: missing")
	case b.MaxTokens < 0:
		return nil, apierror.New(apierror.BadRequest, "max_tokens: write a number from 0")
	case b.Choices < 0 || b.Choices > 1:
		return nil, apierror.New(apierror.BadRequest, "n: %d choices are not supported, one is", b.Choices)
	case f == textFormat && b.Prompt == "":
		return nil, apierror.New(apierror.BadRequest, "prompt: missing")
	case f == chatFormat && len(b.Messages) == 0:
		return nil, apierror.New(apierror.BadRequest, "messages: missing")
	}
	return &b, nil
}

// cacheKey hashes the model, the adapter and the start of the prompt. Requests with
// the same key can use the same KV cache.
func (b *completionBody) cacheKey() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(b.Model + "\x00" + b.Adapter + "\x00")
	text := b.Prompt
	if len(b.Messages) > 0 {
		text = b.Messages[0].Role + "\x00" + b.Messages[0].Content
	}
	_, _ = d.WriteString(text[:min(len(text), maxPrefixBytes)])
	return d.Sum64()
}

// parts identifies the parts of the prompt that other requests may share: the messages but the last,
// or the start of a text that is longer.
func (b *completionBody) parts() []string {
	if len(b.Messages) == 0 {
		if len(b.Prompt) <= maxPrefixBytes {
			return nil
		}
		return []string{b.Prompt[:maxPrefixBytes]}
	}
	shared := b.Messages[:len(b.Messages)-1]
	shared = shared[:min(len(shared), maxSharedMessages)]
	out := make([]string, 0, len(shared))
	for _, m := range shared {
		out = append(out, m.Role+"\x00"+m.Content)
	}
	return out
}

// maxSharedMessages bounds the messages of a prompt that are looked at as shared parts.
const maxSharedMessages = 64

// serveCompletion handles both completion endpoints.
func (h *Callers) serveCompletion(w http.ResponseWriter, r *http.Request, f format) {
	req, b, err := h.readCompletion(w, r, f)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	if id := r.Header.Get(HeaderEventID); id != "" {
		h.resume(ctx, w, req, f, id)
		return
	}
	if key := r.Header.Get(HeaderKey); key != "" && !req.Repeatable {
		h.completeOnce(ctx, w, req, b, f, key)
		return
	}
	if b.Stream {
		h.serveStream(w, req, f, func(s dispatch.Sink) (dispatch.Outcome, error) { return h.models.Do(ctx, req, s) })
		return
	}
	h.serveBuffered(w, req, f, func(s dispatch.Sink) (dispatch.Outcome, error) { return h.models.Do(ctx, req, s) })
}

func (h *Callers) readCompletion(w http.ResponseWriter, r *http.Request, f format) (*dispatch.Request, *completionBody, error) {
	ws, err := h.workspace(r)
	if err != nil {
		return nil, nil, err
	}
	o, err := h.requestOptions(r, ws)
	if err != nil {
		return nil, nil, err
	}
	raw, err := h.readBody(w, r)
	if err != nil {
		return nil, nil, err
	}
	b, err := parseCompletion(raw, f)
	if err != nil {
		return nil, nil, err
	}
	return newRequest(w.Header().Get(HeaderRequestID), ws, o, b, xxhash.Sum64(raw)), b, nil
}

func newRequest(id string, ws *topology.Workspace, o requestOptions, b *completionBody, hash uint64) *dispatch.Request {
	return &dispatch.Request{
		ID: id, Workspace: ws, Model: b.Model, Adapter: b.Adapter, Prompt: b.Prompt, Messages: b.Messages,
		MaxTokens: b.MaxTokens, Priority: o.priority, Labels: o.labels, Repeatable: o.repeatable,
		Deadline: o.deadline, BodyHash: hash, CacheKey: b.cacheKey(), Parts: b.parts(),
		Sampling: backend.Sampling{Temperature: b.Temperature, TopP: b.TopP, Seed: b.Seed, Stop: b.Stop},
	}
}

// resume continues the stream identified by a Last-Event-ID.
func (h *Callers) resume(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, f format, id string) {
	pos, err := h.sealer.Open(id)
	if err != nil || pos.Workspace != req.Workspace.Name || pos.BodyHash != req.BodyHash {
		writeError(w, apierror.New(apierror.BadEventID, "not issued for this workspace and body"))
		return
	}
	req.ID = pos.RequestID
	w.Header().Set(HeaderRequestID, req.ID)
	h.serveStream(w, req, f, func(s dispatch.Sink) (dispatch.Outcome, error) { return h.models.Resume(ctx, req, pos, s) })
}

// runFunc runs a request and sends its tokens to the sink.
type runFunc func(dispatch.Sink) (dispatch.Outcome, error)

// serveBuffered runs a request and sends its response once it is complete.
func (h *Callers) serveBuffered(w http.ResponseWriter, req *dispatch.Request, f format, run runFunc) {
	var s textSink
	out, err := run(&s)
	writeDeadline(w, h.opts.WriteTimeout)
	if err != nil {
		h.refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, newCompletion(req, f, s.text.String(), &out, h.clock()))
}

func newCompletion(req *dispatch.Request, f format, text string, out *dispatch.Outcome, now time.Time) *completion {
	c := &completion{
		ID: req.ID, Object: "text_completion", Created: now.Unix(), Model: req.Model, Complete: true,
		Usage: &usage{CompletionTokens: out.Tokens}, Version: out.Version,
	}
	ch := choice{FinishReason: &out.FinishReason}
	if f == chatFormat {
		c.Object = "chat.completion"
		ch.Message = &backend.Message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	c.Choices = []choice{ch}
	return c
}
