// Package pipeline decides which backend servers hold the layers of a model and which
// path a request takes through them. Its functions do no I/O: they take the known
// state and return a decision with its reason. All of them use one cost model of the
// engine.
package pipeline

import (
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// layerShare returns the fraction of the model's layers that a number of layers is.
func layerShare(e *site.Engine, layers int) float64 { return float64(layers) / float64(e.Layers) }

// HopStepMS predicts the time of one token step of a backend server that runs a
// number of layers for n requests with a mean context, in milliseconds.
func HopStepMS(e *site.Engine, kind string, layers int, n, context float64) float64 {
	perRequest := e.PerRequestMS + e.ContextPerKMS*context/1000
	return e.Kinds[kind].Pace * layerShare(e, layers) * (e.StepMS + n*perRequest)
}

// HopReadMS predicts the time that a backend server needs to read a prompt through a
// number of layers, in milliseconds.
func HopReadMS(e *site.Engine, kind string, layers int, prompt float64) float64 {
	if e.PrefillPerSecond <= 0 {
		return 0
	}
	pairs := prompt * prompt / 2 / 1e6
	return e.Kinds[kind].PrefillPace * layerShare(e, layers) * (1000*prompt/e.PrefillPerSecond + pairs*e.PrefillPairsMS)
}

// LinkMS predicts the time to send the activations of one token between backend
// servers of two failure domains, in milliseconds.
func LinkMS(e *site.Engine, from, to string) float64 {
	ms := 0.0
	if e.LinkMbps > 0 {
		ms += e.ActBytes * 8 / e.LinkMbps / 1000
	}
	if from != to {
		ms += float64(e.Delay(from, to)) / float64(time.Millisecond)
		if e.PipeMbps > 0 {
			ms += e.ActBytes * 8 / e.PipeMbps / 1000
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

// CrossDomainPrefillMS predicts how long the activations of a prompt take over a cross-domain
// link, in milliseconds.
func CrossDomainPrefillMS(e *site.Engine, prompt float64) float64 {
	if e.PipeMbps <= 0 {
		return 0
	}
	return prompt * e.ActBytes * 8 / e.PipeMbps / 1000
}
