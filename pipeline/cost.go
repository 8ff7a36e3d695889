// Package pipeline decides which backend servers hold the layers of a model and which
// path a request takes through them. Its functions do no I/O: they take the known
// state and return a decision. They share one cost model of the engine.
package pipeline

import (
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// layerShare returns a number of layers as a fraction of the model's layers.
func layerShare(e *site.Engine, layers int) float64 { return float64(layers) / float64(e.Layers) }

// HopStepMS predicts how long one token step takes on a backend server that runs a number
// of layers for n requests, in milliseconds. context is their mean context in tokens.
func HopStepMS(e *site.Engine, kind string, layers int, n, context float64) float64 {
	perRequest := e.PerRequestMS + e.ContextPerKMS*context/1000
	return e.Kinds[kind].Slowdown * layerShare(e, layers) * (e.StepMS + n*perRequest)
}

// HopPrefillMS predicts how long a backend server takes to process a prompt in a number of
// layers, in milliseconds. prompt is its length in tokens.
func HopPrefillMS(e *site.Engine, kind string, layers int, prompt float64) float64 {
	if e.PrefillPerSecond <= 0 {
		return 0
	}
	pairs := prompt * prompt / 2 / 1e6
	return e.Kinds[kind].PrefillSlowdown * layerShare(e, layers) * (1000*prompt/e.PrefillPerSecond + pairs*e.PrefillPairsMS)
}

// LinkMS predicts the time to send the activations of one token between backend
// servers of two failure domains, in milliseconds.
func LinkMS(e *site.Engine, from, to string) float64 {
	ms := 0.0
	if e.LinkMbps > 0 {
		ms += e.ActivationBytes * 8 / e.LinkMbps / 1000
	}
	if from != to {
		ms += float64(e.Delay(from, to)) / float64(time.Millisecond)
		if e.CrossDomainMbps > 0 {
			ms += e.ActivationBytes * 8 / e.CrossDomainMbps / 1000
		}
	}
	return ms
}

// Tokens is the expected size of a request, in tokens.
type Tokens struct {
	Prompt float64
	Answer float64
}

// Mean returns the average context of a request over its lifetime.
func (t Tokens) Mean() float64 { return t.Prompt + t.Answer/2 }

// TypicalRequest returns the size of a typical request of an engine.
func TypicalRequest(e *site.Engine) Tokens {
	return Tokens{Prompt: float64(e.Prompt), Answer: float64(e.Answer)}
}

// CrossDomainPrefillMS predicts how long the activations of a prompt take over a
// cross-domain link, in milliseconds. prompt is its length in tokens.
func CrossDomainPrefillMS(e *site.Engine, prompt float64) float64 {
	if e.CrossDomainMbps <= 0 {
		return 0
	}
	return prompt * e.ActivationBytes * 8 / e.CrossDomainMbps / 1000
}
