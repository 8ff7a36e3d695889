package site

import "time"

// Accelerator is a kind of card.
type Accelerator struct {
	MemoryMB float64
	Pace     float64 // factor on the time of steps and context
	ReadPace float64 // factor on the time of reading prompts
}

// Engine describes how the backend servers of a service run a model. Times are
// for all layers on a card of pace 1; they scale with the share of layers.
type Engine struct {
	Slots         int // requests that a backend server takes as the first of a path
	Layers        int
	LayerMB       float64
	KVTokenBytes  float64 // of one token in all layers
	StepMS        float64 // of one token step
	PerRequestMS  float64 // more for each request in the step
	ContextPerKMS float64 // more for each request and 1,000 tokens of its context
	ReadPerSecond float64 // prompt tokens
	ReadPairsMS   float64 // for a million pairs of a token and one before it
	ReadChunk     int     // most prompt tokens read in a step
	Stride        int     // token steps in a pass
	Prompt        int     // mean tokens of a prompt
	Answer        int     // mean tokens of an answer
	ActBytes      float64 // handed on for each token
	LinkMbps      float64
	PipeMbps      float64 // between two failure domains
	LoadsAtOnce   int     // loads beyond it slow each other down
	ReportLag     time.Duration
	Kinds         map[string]Accelerator
	Models        []EngineModel
	Delays        map[[2]string]time.Duration // one way between failure domains
}

// EngineModel is a model that the engine can hold.
type EngineModel struct {
	Name string
	Load time.Duration // of all layers
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

// KVRoom returns the memory for requests, in tokens x layers, of a card that
// holds a number of layers.
func (e *Engine) KVRoom(kind string, held int) float64 {
	left := e.Kinds[kind].MemoryMB - float64(held)*e.LayerMB
	if left <= 0 || e.KVTokenBytes <= 0 {
		return 0
	}
	return left * 1e6 / (e.KVTokenBytes / float64(e.Layers))
}

// MaxLayers returns how many layers fit into a card at all.
func (e *Engine) MaxLayers(kind string) int {
	if e.LayerMB <= 0 {
		return e.Layers
	}
	return min(e.Layers, int(e.Kinds[kind].MemoryMB/e.LayerMB))
}

// LoadTime returns how long a card reads the weights of a number of layers while
// few others do, of the model that takes longest.
func (e *Engine) LoadTime(layers int) time.Duration {
	var whole time.Duration
	for _, m := range e.Models {
		whole = max(whole, m.Load)
	}
	return whole * time.Duration(layers) / time.Duration(max(1, e.Layers))
}
