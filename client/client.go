// Package client is a Go client of the callers' interface. It distinguishes
// complete responses from truncated ones and resumes an interrupted stream with
// the ID of the last event received.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/internal/sse"
)

// Request is one completion request.
type Request struct {
	Model      string
	Prompt     string
	MaxTokens  int
	Stream     bool
	Repeatable bool
	Key        string // idempotency key; empty for none
	Priority   int
	Deadline   time.Duration // 0 for the default of the daemon
	Labels     string        // key=value pairs, comma-separated
	EventID    string        // of the last event received, to resume a stream
}

// Reply is a response and its timings.
type Reply struct {
	RequestID  string
	Text       string
	Completed  bool
	Tokens     int
	Kind       apierror.Kind // of the error; empty if the response is complete
	Ran        apierror.Ran
	RetryAfter time.Duration
	EventID    string          // of the last token
	FirstToken time.Duration   // time to the first token
	Gaps       []time.Duration // between tokens
	Took       time.Duration   // time to the end of the response
}

// Client sends requests to one base URL. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the callers' interface at a base URL such as
// http://10.0.0.1:8080.
func New(base, token string, hc *http.Client) *Client {
	return &Client{base: base, token: token, http: hc}
}

type body struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Complete sends a completion request. It returns an error if the connection
// fails before the response ends; the reply then holds the part received.
func (c *Client) Complete(ctx context.Context, r Request) (Reply, error) {
	start := time.Now()
	data, err := json.Marshal(body{r.Model, r.Prompt, r.MaxTokens, r.Stream})
	if err != nil {
		return Reply{}, fmt.Errorf("client: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return Reply{}, fmt.Errorf("client: %w", err)
	}
	c.setHeaders(req.Header, &r)
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{Ran: apierror.RanUnknown}, fmt.Errorf("client: %w", err)
	}
	defer resp.Body.Close()
	reply, err := read(resp, r.Stream, start)
	reply.Took = time.Since(start)
	return reply, err
}

func (c *Client) setHeaders(h http.Header, r *Request) {
	h.Set("Authorization", "Bearer "+c.token)
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderRepeatable, strconv.FormatBool(r.Repeatable))
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(api.HeaderKey, r.Key)
	set(api.HeaderEventID, r.EventID)
	set(api.HeaderLabels, r.Labels)
	if r.Deadline > 0 {
		h.Set(api.HeaderDeadline, r.Deadline.String())
	}
	if r.Priority != 0 {
		h.Set(api.HeaderPriority, strconv.Itoa(r.Priority))
	}
}

// response holds the decoded fields of a response or event.
type response struct {
	Completed bool `json:"whole"`
	Choices   []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		Tokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Kind       apierror.Kind `json:"kind"`
		Ran        apierror.Ran  `json:"ran"`
		RetryAfter float64       `json:"retryAfterSeconds"`
	} `json:"error"`
}

// add merges a response or event into r.
func (r *Reply) add(a *response) {
	if a.Error != nil {
		r.Kind, r.Ran = a.Error.Kind, a.Error.Ran
		r.RetryAfter = time.Duration(a.Error.RetryAfter * float64(time.Second))
	}
	if len(a.Choices) > 0 {
		r.Text += a.Choices[0].Text
	}
	if a.Completed {
		r.Tokens = a.Usage.Tokens
	}
}

func read(resp *http.Response, stream bool, start time.Time) (Reply, error) {
	r := Reply{RequestID: resp.Header.Get(api.HeaderRequestID)}
	if resp.StatusCode == http.StatusOK && stream {
		return readStream(resp.Body, r, start)
	}
	data, err := readall.AtMost(resp.Body, maxReplyBytes)
	var a response
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	if err != nil {
		r.Ran = apierror.RanUnknown
		return r, fmt.Errorf("client: %w", err)
	}
	r.add(&a)
	r.Completed = a.Completed
	return r, nil
}

// errNoMarker is returned for a stream that ends without its completion marker.
var errNoMarker = errors.New("client: stream ended without its completion marker")

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// maxReplyBytes bounds a reply that is not a stream.
const maxReplyBytes = 64 << 20

// readStream reads events up to the completion marker or an error event.
func readStream(body io.Reader, r Reply, start time.Time) (Reply, error) {
	r.Ran = apierror.RanUnknown
	events := sse.NewReader(body, maxEventBytes)
	last := start
	id := ""
	for {
		ev, err := events.Next()
		if err != nil {
			return r, errors.Join(errNoMarker, readall.UnlessEOF(err))
		}
		if ev.ID != nil {
			id = string(ev.ID)
		}
		if string(ev.Data) == "[DONE]" {
			r.Completed = true
			return r, nil
		}
		var a response
		if err := json.Unmarshal(ev.Data, &a); err != nil {
			return r, fmt.Errorf("client: %w", err)
		}
		r.add(&a)
		if r.Kind != "" {
			return r, nil
		}
		if a.Completed {
			continue
		}
		r.EventID = id
		last = r.recordToken(start, last)
	}
}

// recordToken counts a token, records its delay and returns its time.
func (r *Reply) recordToken(start, last time.Time) time.Time {
	now := time.Now()
	r.Tokens++
	if r.FirstToken == 0 {
		r.FirstToken = now.Sub(start)
		return now
	}
	r.Gaps = append(r.Gaps, now.Sub(last))
	return now
}

// CompleteWithResume sends a streaming request and resumes it from the last event ID
// when the connection fails after an event, up to tries requests in total. Each
// request goes through the client that next returns. The reply holds the text of
// all of them.
func CompleteWithResume(ctx context.Context, next func() *Client, r Request, tries int) (Reply, error) {
	var total Reply
	start := time.Now()
	for i := 0; ; i++ {
		part, err := next().Complete(ctx, r)
		part.Text = total.Text + part.Text
		part.Gaps = append(total.Gaps, part.Gaps...)
		if total.RequestID != "" {
			part.RequestID, part.FirstToken = total.RequestID, total.FirstToken
			if part.EventID == "" {
				part.EventID = total.EventID
			}
		}
		part.Took = time.Since(start)
		total = part
		if err == nil || i+1 >= tries || total.EventID == "" {
			return total, err
		}
		r.EventID = total.EventID
	}
}

// errUnframed is returned for a response of a service without a length or chunks.
var errUnframed = errors.New("client: the response ended with its connection and may be incomplete")

// Call calls a plain service. key is an idempotency key; empty for none. It returns an error
// if the connection fails before the response ends, or if the response does not show that
// it is complete.
func (c *Client) Call(ctx context.Context, method, service, path string, payload []byte, key string) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/services/"+service+path, bytes.NewReader(payload))
	if err != nil {
		return Reply{}, fmt.Errorf("client: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if key != "" {
		req.Header.Set(api.HeaderKey, key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{Ran: apierror.RanUnknown}, fmt.Errorf("client: %w", err)
	}
	defer resp.Body.Close()
	r := Reply{RequestID: resp.Header.Get(api.HeaderRequestID), Ran: apierror.RanUnknown}
	data, err := readall.AtMost(resp.Body, maxReplyBytes)
	if err != nil {
		return r, fmt.Errorf("client: %w", err)
	}
	if !framing.Of(resp).Delimited() {
		return r, errUnframed
	}
	r.Kind = apierror.Kind(resp.Header.Get(api.HeaderKind))
	r.Ran = apierror.Ran(resp.Header.Get(api.HeaderRan))
	if r.Kind == "" {
		r.Completed = true
		r.Text = string(data)
		return r, nil
	}
	var a response
	if err := json.Unmarshal(data, &a); err != nil {
		return r, fmt.Errorf("client: %w", err)
	}
	r.add(&a)
	return r, nil
}
