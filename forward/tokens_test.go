package forward

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// A request without usable counts is planned like a typical one, and a hint alone never makes a
// request too large for every path.
func TestEstimateTokens(t *testing.T) {
	typical := &site.Engine{Prompt: 850, Answer: 200}
	for _, c := range []struct {
		engine *site.Engine
		req    Request
		want   pipeline.Tokens
	}{
		{typical, Request{}, pipeline.Tokens{Prompt: 850, Answer: 200}},
		{typical, Request{Prompt: math.NaN(), MaxAnswer: math.NaN(), Hint: math.NaN()}, pipeline.Tokens{Prompt: 850, Answer: 200}},
		{typical, Request{Prompt: -1, MaxAnswer: -1, Hint: -1}, pipeline.Tokens{Prompt: 850, Answer: 200}},
		{typical, Request{Prompt: 8000, MaxAnswer: 50}, pipeline.Tokens{Prompt: 8000, Answer: 50}},
		{typical, Request{Hint: 400}, pipeline.Tokens{Prompt: 850, Answer: 300}},
		{typical, Request{Hint: 1e8}, pipeline.Tokens{Prompt: 850, Answer: 10100}},
		{typical, Request{Hint: math.Inf(1)}, pipeline.Tokens{Prompt: 850, Answer: 10100}},
		{typical, Request{Hint: 1e8, MaxAnswer: 64}, pipeline.Tokens{Prompt: 850, Answer: 64}},
		{typical, Request{MaxAnswer: 1e8}, pipeline.Tokens{Prompt: 850, Answer: 200}},
		{&site.Engine{}, Request{}, pipeline.Tokens{}},
		{&site.Engine{}, Request{Hint: 500}, pipeline.Tokens{Answer: 250}},
	} {
		require.Equal(t, c.want, estimateTokens(&c.req, c.engine), "%+v", c.req)
	}
}

// The largest accepted counts are removed from the loads without a remainder.
func TestLargestCountsLeaveNoLoad(t *testing.T) {
	l := NewLoads()
	s := &site.BackendServer{ID: "a"}
	p := site.Path{{Server: s, Layers: site.Range{To: 127}}}
	leaveTypical := l.Enter(p, pipeline.Tokens{Prompt: 850, Answer: 201}.Mean())
	leave := l.Enter(p, pipeline.Tokens{Prompt: 1e8, Answer: 1e8}.Mean())
	leave()
	require.Equal(t, 950.5*127, l.servers["a"].kv)
	leaveTypical()
	require.Zero(t, l.servers["a"].kv)
}
