// Package client is a Go client of the callers' interface. It tells a whole
// answer from a broken one and comes back to a broken stream with the ID of the
// last event it saw.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/apierror"
)

// Request is one completion request.
type Request struct {
	Model      string
	Prompt     string
	MaxTokens  int
	Stream     bool
	Repeatable bool
	Key        string // idempotency key, "" for none
	Priority   int
	Deadline   time.Duration // 0 for the daemon's default
	Labels     string        // key=value pairs, comma-separated
	EventID    string        // of the last event seen, to resume a stream
}

// Reply is what came back.
type Reply struct {
	RequestID  string
	Text       string
	Whole      bool
	Tokens     int
	Kind       apierror.Kind // of the error, "" when whole
	Ran        apierror.Ran
	RetryAfter time.Duration
	EventID    string          // of the last token
	First      time.Duration   // time to the first token
	Gaps       []time.Duration // between tokens
	Took       time.Duration
}

// Client talks to one address. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the callers' interface at base, such as
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

// Complete sends a request. An error means that the connection broke before an
// explicit end; the reply then holds what had arrived.
func (c *Client) Complete(ctx context.Context, r Request) (Reply, error) {
	began := time.Now()
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
	reply, err := read(resp, r.Stream, began)
	reply.Took = time.Since(began)
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

// answer is what this client reads of an answer or event.
type answer struct {
	Whole   bool `json:"whole"`
	Choices []struct {
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

func (r *Reply) take(a *answer) {
	if a.Error != nil {
		r.Kind, r.Ran = a.Error.Kind, a.Error.Ran
		r.RetryAfter = time.Duration(a.Error.RetryAfter * float64(time.Second))
	}
	if len(a.Choices) > 0 {
		r.Text += a.Choices[0].Text
	}
	if a.Whole {
		r.Tokens = a.Usage.Tokens
	}
}

func read(resp *http.Response, stream bool, began time.Time) (Reply, error) {
	r := Reply{RequestID: resp.Header.Get(api.HeaderRequestID)}
	if resp.StatusCode == http.StatusOK && stream {
		return readStream(resp.Body, r, began)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Ran = apierror.RanUnknown
		return r, fmt.Errorf("client: %w", err)
	}
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		return r, fmt.Errorf("client: %w", err)
	}
	r.take(&a)
	r.Whole = a.Whole
	return r, nil
}

// errNoMarker says that a stream ended without its completion marker.
var errNoMarker = errors.New("client: stream ended without its completion marker")

// readStream reads events up to the completion marker or an error event.
func readStream(body io.Reader, r Reply, began time.Time) (Reply, error) {
	r.Ran = apierror.RanUnknown
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, 1<<20)
	last := began
	id := ""
	for sc.Scan() {
		line := sc.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
			return r, nil
		}
		var a answer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return r, fmt.Errorf("client: %w", err)
		}
		r.take(&a)
		if r.Kind != "" {
			return r, nil
		}
		if a.Whole {
			continue
		}
		r.EventID = id
		last = r.note(began, last)
	}
	return r, errors.Join(errNoMarker, sc.Err())
}

// note records the time of a token.
func (r *Reply) note(began, last time.Time) time.Time {
	now := time.Now()
	r.Tokens++
	if r.First == 0 {
		r.First = now.Sub(began)
		return now
	}
	r.Gaps = append(r.Gaps, now.Sub(last))
	return now
}

// CompleteThrough sends a streamed request and, while its connection breaks,
// comes back with the last event ID through the address that next returns. The
// reply holds the whole text.
func CompleteThrough(ctx context.Context, next func() *Client, r Request, tries int) (Reply, error) {
	var all Reply
	began := time.Now()
	for i := 0; ; i++ {
		part, err := next().Complete(ctx, r)
		part.Text = all.Text + part.Text
		part.Gaps = append(all.Gaps, part.Gaps...)
		if all.RequestID != "" {
			part.RequestID, part.First = all.RequestID, all.First
			if part.EventID == "" {
				part.EventID = all.EventID
			}
		}
		part.Took = time.Since(began)
		all = part
		if err == nil || i+1 >= tries || all.EventID == "" {
			return all, err
		}
		r.EventID = all.EventID
	}
}

// Call sends a call of a plain service.
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
	r := Reply{RequestID: resp.Header.Get(api.HeaderRequestID)}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return r, fmt.Errorf("client: %w", err)
	}
	r.Kind = apierror.Kind(resp.Header.Get(api.HeaderKind))
	r.Ran = apierror.Ran(resp.Header.Get(api.HeaderRan))
	if r.Kind == "" {
		r.Whole = true
		r.Text = string(data)
		return r, nil
	}
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		return r, fmt.Errorf("client: %w", err)
	}
	r.take(&a)
	return r, nil
}
