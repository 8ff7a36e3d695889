package api

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/goccy/go-json"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/topology"
)

// completion is an OpenAI-style response or chunk. Complete and Version extend
// the OpenAI format.
type completion struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Created  int64    `json:"created"`
	Model    string   `json:"model"`
	Choices  []choice `json:"choices"`
	Usage    *usage   `json:"usage,omitempty"`
	Complete bool     `json:"whole,omitempty"`
	Version  string   `json:"modelVersion,omitempty"`
}

type choice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Delta        *delta           `json:"delta,omitempty"`
	Message      *backend.Message `json:"message,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// textSink collects the text of a response.
type textSink struct{ text strings.Builder }

// Token implements dispatch.Sink.
func (s *textSink) Token(t dispatch.Token) error {
	s.text.WriteString(t.Text)
	return nil
}

// eventSink writes a response as server-sent events. The header is sent with the
// first token, so that an earlier error still gets an error status.
type eventSink struct {
	h       *Callers
	w       http.ResponseWriter
	rc      *http.ResponseController
	req     *dispatch.Request
	format  format
	started bool
	created int64
	buf     bytes.Buffer
	enc     *json.Encoder
}

func newEventSink(h *Callers, w http.ResponseWriter, req *dispatch.Request, f format) *eventSink {
	s := &eventSink{h: h, w: w, rc: http.NewResponseController(w), req: req, format: f, created: h.clock().Unix()}
	s.enc = json.NewEncoder(&s.buf)
	s.enc.SetEscapeHTML(false)
	return s
}

func (s *eventSink) start() {
	if s.started {
		return
	}
	s.started = true
	hd := s.w.Header()
	hd.Set("Content-Type", "text/event-stream")
	hd.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// Token implements dispatch.Sink.
func (s *eventSink) Token(t dispatch.Token) error {
	s.start()
	s.buf.Reset()
	s.buf.WriteString("id: ")
	s.buf.WriteString(t.EventID)
	s.buf.WriteString("\ndata: ")
	if err := s.enc.Encode(s.chunk(t.Text, nil)); err != nil {
		return err
	}
	s.buf.WriteByte('\n')
	return s.flush()
}

func (s *eventSink) chunk(text string, finish *string) *completion {
	c := &completion{ID: s.req.ID, Object: "text_completion", Created: s.created, Model: s.req.Model}
	ch := choice{FinishReason: finish}
	if s.format == chatFormat {
		c.Object = "chat.completion.chunk"
		ch.Delta = &delta{Content: text}
	} else {
		ch.Text = &text
	}
	c.Choices = []choice{ch}
	return c
}

// flush sends the buffered event. It fails if the caller does not read it within
// WriteTimeout, so at most one event is buffered for a slow reader.
func (s *eventSink) flush() error {
	writeDeadline(s.w, s.h.opts.WriteTimeout)
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return apierror.Wrap(apierror.SlowReader, err)
	}
	if err := s.rc.Flush(); err != nil {
		return apierror.Wrap(apierror.SlowReader, err)
	}
	return nil
}

// end writes the last events of a complete response: a chunk with Complete set and
// the [DONE] marker.
func (s *eventSink) end(out *dispatch.Outcome) {
	s.start()
	s.buf.Reset()
	s.buf.WriteString("data: ")
	c := s.chunk("", &out.FinishReason)
	c.Complete, c.Usage, c.Version = true, &usage{CompletionTokens: out.Tokens}, out.Version
	_ = s.enc.Encode(c)
	s.buf.WriteString("\ndata: [DONE]\n\n")
	_ = s.flush()
}

// fail ends the stream with an error event.
func (s *eventSink) fail(err error) {
	d, _ := detailOf(err)
	s.buf.Reset()
	s.buf.WriteString("event: error\ndata: ")
	_ = s.enc.Encode(errorBody{Error: d})
	s.buf.WriteByte('\n')
	_ = s.flush()
}

// serveStream runs a request and streams its response.
func (h *Callers) serveStream(w http.ResponseWriter, req *dispatch.Request, f format, run runFunc) {
	s := newEventSink(h, w, req, f)
	out, err := run(s)
	switch {
	case err == nil:
		s.end(&out)
	case s.started:
		s.fail(err)
	default:
		h.refuse(w, err)
	}
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version string `json:"version"`
}

func writeModels(w http.ResponseWriter, snap *topology.Snapshot) {
	l := modelList{Object: "list", Data: []modelEntry{}}
	for name, m := range snap.Models {
		l.Data = append(l.Data, modelEntry{ID: name, Object: "model", Version: m.Version})
	}
	writeJSON(w, http.StatusOK, l)
}
