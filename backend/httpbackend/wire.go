// Package httpbackend implements the HTTP clients of model engines and plain
// services. Only this package and the test fakes know the wire formats.
package httpbackend

import (
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/topology"
)

// Paths of the engine's HTTP interface.
const (
	PathGenerate = "/v1/generate"
	PathResume   = "/v1/resume"
	PathCancel   = "/v1/cancel"
	PathStatus   = "/v1/status"
	PathExport   = "/v1/kv/export"
	PathOrder    = "/v1/order"
	PathCache    = "/v1/cache-events"
)

// HeaderRan states whether an engine or service ran the request. If an error
// response lacks it or has a value other than RanNo, the request may have run.
const HeaderRan = "X-Ran"

// RanNo is the value of HeaderRan that makes an error response a refusal.
const RanNo = "no"

// HeaderHop names the later hop that caused a head's refusal. Either the head could
// not reach that hop, or the hop does not hold its layers.
const HeaderHop = "X-Hop"

// HeaderRequestID carries the request ID to plain services.
const HeaderRequestID = "X-Request-Id"

// GenerateBody is the request body of PathGenerate.
type GenerateBody struct {
	RequestID string            `json:"request"`
	Attempt   int               `json:"attempt"`
	Model     string            `json:"model"`
	Version   string            `json:"version"`
	Adapter   string            `json:"adapter,omitempty"`
	Layers    int               `json:"layers"`
	Route     topology.Route    `json:"route"`
	Prompt    string            `json:"prompt,omitempty"`
	Messages  []backend.Message `json:"messages,omitempty"`
	Prior     []int32           `json:"prior,omitempty"`
	KV        string            `json:"kv,omitempty"`
	MaxTokens int               `json:"maxTokens"`
	Priority  int               `json:"priority"`
	Sampling  backend.Sampling  `json:"sampling"`
	CacheKey  uint64            `json:"cacheKey,omitempty"`
}

// AttemptBody is the request body of PathResume and PathCancel.
type AttemptBody struct {
	RequestID string `json:"request"`
	Attempt   int    `json:"attempt"`
	From      int    `json:"from"`
}

// HandleBody is the response body of PathExport.
type HandleBody struct {
	Handle string `json:"handle"`
}
