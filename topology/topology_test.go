package topology

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func selector(t testing.TB, text string) Selector {
	s, err := ParseSelector(text)
	require.NoError(t, err)
	return s
}

// All faults are reported together, each with a hint on how to fix it.
func TestParseReportsAllFaults(t *testing.T) {
	cases := []struct {
		kind Kind
		name string
		spec string
		want []string
	}{
		{KindModel, "M", `{"layers":0}`, []string{`name "M"`, "layers: 0, write a number", "version: missing"}},
		{KindStage, "s", `{"layers":{"lo":4,"hi":4}}`, []string{"model: missing", "layers: [4,4), write a half-open range"}},
		{KindBackendServer, "b", `{"address":"x","links":[{"tokensPerSecond":0}]}`, []string{"address: \"x\", write host:port", "failureDomain: missing", "links[0].tokensPerSecond"}},
		{KindWorkspace, "w", `{"tokenHashes":["abc"],"weight":-1}`, []string{"tokenHashes[0]", "write numbers from 0"}},
		{KindService, "s", `{"endpoints":[{"name":"a","address":"h:1"},{"name":"a","address":"h"}]}`, []string{"endpoints[1].address", "endpoints[1].name"}},
		{KindRoutingRule, "r", `{"stages":"a in ("}`, []string{"selector"}},
		{KindModel, "m", `{"layer":3}`, []string{"unknown field"}},
		{KindModel, "m", `{"layers":1,"version":"v"} x`, []string{"trailing data"}},
		{"Nothing", "n", `{}`, []string{"kind"}},
	}
	for _, c := range cases {
		_, err := Parse(c.kind, c.name, []byte(c.spec))
		require.ErrorIs(t, err, ErrInvalid, c.spec)
		for _, w := range c.want {
			require.ErrorContains(t, err, w)
		}
	}
}

func TestClasses(t *testing.T) {
	s := NewSnapshot()
	w := &Workspace{Name: "w", Labels: Labels{"team": "night"}}
	c, ok := s.ClassOf(w, nil)
	require.True(t, ok)
	require.Empty(t, c.Key)
	s.Rules = []*RoutingRule{
		{Name: "a", Workspaces: selector(t, "team=night"), Requests: selector(t, "use=alert")},
		{Name: "b", Workspaces: selector(t, "team=day")},
	}
	_, ok = s.ClassOf(w, Labels{"use": "report"})
	require.False(t, ok, "a rule selects the workspace but none admits the request")
	c, ok = s.ClassOf(w, Labels{"use": "alert"})
	require.True(t, ok)
	require.Equal(t, "a", c.Key)
}

// Allowed returns exactly the held layers that lie within admitted stages.
func TestAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSnapshot()
		m := &Model{Name: "m", Layers: 20}
		b := &BackendServer{Name: "b", Labels: Labels{"kind": "h100"}}
		admitted := [20]bool{}
		for range rapid.IntRange(0, 5).Draw(rt, "stages") {
			lo := rapid.IntRange(0, 19).Draw(rt, "lo")
			hi := rapid.IntRange(lo+1, 20).Draw(rt, "hi")
			matches := rapid.Bool().Draw(rt, "matches")
			sel := selector(t, "kind=a100")
			if matches {
				sel = selector(t, "kind=h100")
				for i := lo; i < hi; i++ {
					admitted[i] = true
				}
			}
			s.Stages["m"] = append(s.Stages["m"], &Stage{Model: "m", Layers: LayerRange{lo, hi}, BackendServers: sel})
		}
		held := LayerRange{Lo: rapid.IntRange(0, 10).Draw(rt, "held"), Hi: 15}
		var got [20]bool
		last := -1
		for _, r := range s.Allowed(Class{}, m, b, held) {
			require.Greater(t, r.Lo, last, "ranges touch or overlap")
			last = r.Hi
			for i := r.Lo; i < r.Hi; i++ {
				got[i] = true
			}
		}
		for i := range got {
			require.Equal(t, admitted[i] && i >= held.Lo && i < held.Hi, got[i], i)
		}
	})
}

func TestTokens(t *testing.T) {
	s := NewSnapshot()
	s.Workspaces["w"] = &Workspace{Name: "w", TokenHashes: []string{HashToken("old"), HashToken("new")}}
	s.IndexTokens()
	require.Equal(t, "w", s.WorkspaceOf("old").Name)
	require.Equal(t, "w", s.WorkspaceOf("new").Name)
	require.Nil(t, s.WorkspaceOf("none"))
	require.Nil(t, s.WorkspaceOf(HashToken("old")))
}

func FuzzParse(f *testing.F) {
	for _, k := range ConfigKinds {
		f.Add(string(k), "n", []byte(`{"layers":{"lo":0,"hi":4},"model":"m","stages":"a in (b)","address":"h:1"}`))
	}
	f.Fuzz(func(t *testing.T, kind, name string, spec []byte) {
		obj, err := Parse(Kind(kind), name, spec)
		if err != nil {
			return
		}
		again, err := json.Marshal(obj)
		require.NoError(t, err)
		_, err = Parse(Kind(kind), name, again)
		require.NoError(t, err, "a valid object does not parse after encoding: %s", again)
	})
}

// The two packages that ask pass paths with their queries.
func TestQueryDoesNotDecideWhetherACallIsRepeatable(t *testing.T) {
	s := &Service{Repeatable: []CallPattern{{PathPrefix: "/cards?all"}}}
	require.False(t, s.IsRepeatable("GET", "/cards?all=1"))
	s.Repeatable[0].PathPrefix = "/cards"
	require.True(t, s.IsRepeatable("GET", "/cards?all=1"))
}
