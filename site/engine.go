package site

import "time"

// Accelerator describes a kind of accelerator.
type Accelerator struct {
	MemoryMB        float64
	Slowdown        float64 // factor on the times of token steps and context, 1 for the reference
	PrefillSlowdown float64 // factor on the time of prefill
}

// Engine describes how the backend servers of a service run a model. Times are for all
// layers on the reference accelerator, and scale with the share of layers.
type Engine struct {
	Slots            int // requests that a backend server runs as the head of a path
	Layers           int
	LayerMB          float64
	KVTokenBytes     float64 // KV cache of one token in all layers
	StepMS           float64 // of one token step
	PerRequestMS     float64 // added for each request in the step
	ContextPerKMS    float64 // added for each request and 1,000 tokens of its context
	PrefillPerSecond float64 // prompt tokens processed per second in prefill
	PrefillPairsMS   float64 // prefill time for a million pairs of a token and an earlier one
	PrefillChunk     int     // maximum number of prompt tokens in a prefill step
	Stride           int     // token steps in a pass
	Prompt           int     // mean tokens of a prompt
	Answer           int     // mean tokens of an answer
	ActivationBytes  float64 // activations sent to the next hop for each token
	LinkMbps         float64
	CrossDomainMbps  float64 // of a cross-domain link
	LoadsAtOnce      int     // concurrent loads of weights without mutual slowdown
	ReportLag        time.Duration
	Kinds            map[string]Accelerator
	Models           []EngineModel
	Delays           map[[2]string]time.Duration // one way between failure domains
}

// EngineModel is a model that the engine can load.
type EngineModel struct {
	Name string
	Load time.Duration // load time of all layers
}

// Delay returns the one-way delay between two failure domains.
func (e *Engine) Delay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	if d, ok := e.Delays[[2]string{a, b}]; ok {
		return d
	}
	return e.Delays[[2]string{b, a}]
}

// KVCapacity returns the KV cache capacity, in tokens x layers, of a backend server that
// holds a number of layers.
func (e *Engine) KVCapacity(kind string, held int) float64 {
	remaining := e.Kinds[kind].MemoryMB - float64(held)*e.LayerMB
	if remaining <= 0 || e.KVTokenBytes <= 0 {
		return 0
	}
	return remaining * 1e6 / (e.KVTokenBytes / float64(e.Layers))
}

// MaxLayers returns how many layers fit into the memory of an accelerator.
func (e *Engine) MaxLayers(kind string) int {
	if e.LayerMB <= 0 {
		return e.Layers
	}
	return min(e.Layers, int(e.Kinds[kind].MemoryMB/e.LayerMB))
}

// LoadTime returns how long a backend server takes to load a number of layers of the
// slowest model, with no more than LoadsAtOnce loads running.
func (e *Engine) LoadTime(layers int) time.Duration {
	var longest time.Duration
	for _, m := range e.Models {
		longest = max(longest, m.Load)
	}
	return longest * time.Duration(layers) / time.Duration(max(1, e.Layers))
}
