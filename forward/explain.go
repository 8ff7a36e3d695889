package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/shedding"
	"github.com/snowspoke/snowspoke/site"
)

// Explanation tells where a request would be sent now, and why. Times of its JSON form are in
// milliseconds.
type Explanation struct {
	Route       string          `json:"route"`
	Service     string          `json:"service"`
	Workspace   string          `json:"workspace"` // "" on public routes
	Priority    int             `json:"priority"`  // 0 for the most urgent
	Class       shedding.Class  `json:"class"`
	ObjectiveMS float64         `json:"objectiveMs"`
	Prompt      float64         `json:"promptTokens"`          // 0 for a service without an engine
	Answer      float64         `json:"expectedAnswerTokens"`  // 0 for a service without an engine
	Selection   Selection       `json:"selection"`             // how the path is selected
	Path        *ExplainedPath  `json:"path"`                  // nil for a request that has none
	Next        []ExplainedPath `json:"next"`                  // the next best paths, at most maxNextPaths
	Shedding    *Shedding       `json:"shedding"`              // nil if load shedding does not apply to the request
	Refusal     *Refusal        `json:"refusal"`               // nil for a request with a path
	HeldUntil   time.Time       `json:"heldUntil,omitzero"`    // until when the request waits before it is sent or refused
	HeldFor     string          `json:"heldFor,omitempty"`     // what it waits for
	Excluded    []Excluded      `json:"excluded"`              // backend servers of the service that take no request
	Notes       []string        `json:"notes"`                 // what may differ for a real request
	Config      uint64          `json:"configuration"`         // version
	ConfigAgeMS float64         `json:"configurationAgeMs"`    // time since the configuration was last read
	LoadsAgeMS  float64         `json:"otherDaemonsLoadAgeMs"` // 0 if the loads are unknown
	LoadsKnown  bool            `json:"otherDaemonsLoadKnown"`
	Daemons     int             `json:"daemons"` // in the fleet, 0 while unknown
}

// Selection is the way in which the path of a request is selected.
type Selection string

// The ways of selection.
const (
	BySplit Selection = "split" // in rotation among the paths of the split of the fleet's load
	ByCost  Selection = "cost"  // the cheapest path
	ByLoad  Selection = "load"  // the backend server of a plain service with the lowest load per slot
)

// ExplainedPath is a path that a request may take.
type ExplainedPath struct {
	Hops    []ExplainedHop `json:"hops"`
	FirstMS float64        `json:"predictedFirstEventMs,omitempty"` // 0 for a plain service
	StepMS  float64        `json:"predictedStepMs,omitempty"`       // 0 for a plain service
	Fullest float64        `json:"fullest,omitempty"`               // fraction of memory used at the fullest hop, including the request
	Reason  string         `json:"reason"`                          // why the path is taken or not taken
}

// ExplainedHop is a hop of a path. A plain service has no layers.
type ExplainedHop struct {
	Server        string `json:"server"`
	FailureDomain string `json:"failureDomain"`
	From          int    `json:"from"` // first layer
	To            int    `json:"to"`   // layer after the last one
}

// Shedding describes what load shedding decides on the request. Memory is in tokens x layers.
type Shedding struct {
	Fraction    float64 `json:"admittedFraction"` // of the requests of the class
	Share       float64 `json:"workspaceShare"`   // fraction of the workspace, as a multiple of that of the class
	Refused     bool    `json:"refused"`
	Demand      float64 `json:"demandOfClass"` // of all daemons
	TotalDemand float64 `json:"demand"`        // of all classes
	InUse       float64 `json:"inUse"`
	Capacity    float64 `json:"capacity"`
}

// Refusal describes the refusal that a caller would get.
type Refusal struct {
	Kind         apierror.Kind `json:"kind"`
	Status       int           `json:"status"`
	Detail       string        `json:"detail"`
	RetryAfterMS float64       `json:"retryAfterMs"` // 0 for none
}

// Excluded is a backend server that takes no request now.
type Excluded struct {
	Server string    `json:"server"`
	Reason string    `json:"reason"`
	Until  time.Time `json:"until,omitzero"` // zero if unknown
}

// maxNextPaths is the maximum number of paths in Explanation.Next.
const maxNextPaths = 4

// Explain returns where a request that Admit or PreviewAdmit has resolved would be sent now. It
// sends nothing, takes nothing and records nothing.
//
// The next request that selects a path at this daemon draws the same random numbers. It takes the
// explained path if it has the same properties and the state has not changed.
func (f *Forwarder) Explain(req *Request) *Explanation {
	now, view := time.Now(), f.inv.View()
	r := f.newRun(req, nil)
	r.preview = &preview{start: f.startDraws.upcoming(), path: f.pathDraws.upcoming()}
	r.useService(view)
	e := &Explanation{
		Route: req.Route.Name, Service: req.Service, Priority: r.priority(), Class: r.urgency(),
		ObjectiveMS: inMilliseconds(req.Route.Objective), Next: []ExplainedPath{}, Excluded: []Excluded{}, Notes: []string{},
		Config: view.Config.Version, ConfigAgeMS: inMilliseconds(f.inv.Age(boottime.Now())), Daemons: f.fleet.Daemons(),
	}
	if req.Workspace != nil {
		e.Workspace = req.Workspace.Name
	}
	if r.engine != nil {
		t := estimateTokens(req, r.engine)
		e.Prompt, e.Answer = t.Prompt, t.Answer
	}
	age := f.loads.othersLoadAge(now)
	e.LoadsKnown, e.LoadsAgeMS = age > 0, inMilliseconds(age)
	x := explainer{Explanation: e, r: r, view: view, now: now}
	x.explainPaths()
	x.explainRefusal()
	x.explainNotes()
	return e
}

// preview is the state of a run that is only explained. It sends nothing, takes nothing and
// records nothing.
type preview struct {
	start, path uint64          // numbers of the draws of the next request
	turns       []pipeline.Turn // of the split, set by previewSplit
}

// startDraw returns the source of the order of candidates.
func (r *run) startDraw() *rand.Rand {
	if r.preview != nil {
		return r.f.startDraws.source(r.preview.start)
	}
	return r.f.startDraws.next()
}

// pathDraw returns the source of the jitter of costs.
func (r *run) pathDraw() *rand.Rand {
	if r.preview != nil {
		return r.f.pathDraws.source(r.preview.path)
	}
	return r.f.pathDraws.next()
}

// previewSplit returns the path that nextBySplit would return.
func (r *run) previewSplit(
	q *pipeline.Query, view *inventory.View, cs []pipeline.Candidate, now time.Time, plan *pipeline.LongPlan, p part,
) (pipeline.Choice, bool) {
	r.preview.turns = r.f.peekSplit(q, r.req.Service, view, cs, now, plan, p)
	if turns := r.preview.turns; len(turns) > 0 && turns[0].Obstacle == pipeline.NoObstacle {
		return turns[0].Choice, true
	}
	return pipeline.Choice{}, false
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// explainer fills an Explanation.
type explainer struct {
	*Explanation
	r      *run // a preview
	view   *inventory.View
	now    time.Time
	target *target // nil if the request has no path
	err    error   // why it has none
}

// explainPaths sets the path, the next best ones and the excluded backend servers.
func (x *explainer) explainPaths() {
	r := x.r
	// A preview probes nothing, so the context is not used.
	o := r.options(context.Background(), x.view, x.now)
	x.target, x.err = r.findIn(o, x.view, x.now)
	if r.engine == nil {
		x.Selection = ByLoad
		x.explainPlain(o.candidates)
	} else {
		x.explainPipeline(o.candidates)
	}
	x.Next = x.Next[:min(len(x.Next), maxNextPaths)]
	x.explainExcluded(o.candidates)
}

// explainPlain ranks the backend servers of a plain service as findPlain does.
func (x *explainer) explainPlain(cs []pipeline.Candidate) {
	f := x.r.f
	reason := func(c *pipeline.Candidate) string {
		text := fmt.Sprintf("%.0f requests on %d slots", c.Load.Running, c.Server.Slots)
		if c.Server.FailureDomain != f.opts.FailureDomain {
			text += ", in another failure domain"
		}
		if f.health.Cooling(c.Server.ID, x.now) {
			text += ", refused work recently"
		}
		return text
	}
	type option struct {
		c    *pipeline.Candidate
		cost float64
		full bool
	}
	var options []option
	for i := range cs {
		c := &cs[i]
		if x.target != nil && c.Server.ID == x.target.head().ID {
			p := explainedPath(pipeline.Choice{Path: x.target.path}, "lowest cost: "+reason(c))
			x.Path = &p
			continue
		}
		options = append(options, option{c, f.plainCost(c, x.now), f.plainFull(c, x.now)})
	}
	slices.SortStableFunc(options, func(a, b option) int {
		if a.full != b.full {
			return boolOrder(a.full, b.full)
		}
		return cmp.Compare(a.cost, b.cost)
	})
	for _, o := range options {
		text := "higher cost, or the same and drawn later: " + reason(o.c)
		if o.full {
			text = "full: " + reason(o.c)
		}
		x.Next = append(x.Next, explainedPath(pipeline.Choice{Path: site.Path{{Server: o.c.Server}}}, text))
	}
}

// boolOrder orders false before true.
func boolOrder(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}

// explainPipeline ranks the paths of a service with an engine.
func (x *explainer) explainPipeline(cs []pipeline.Candidate) {
	r := x.r
	q, turns := r.f.query(r.req, r.engine), r.preview.turns
	ranked := pipeline.Ranked(q, cs, r.pathDraw(), maxNextPaths+1)
	taken := ""
	x.Selection = ByCost
	if len(turns) > 0 && turns[0].Obstacle == pipeline.NoObstacle {
		x.Selection = BySplit
	}
	if x.target != nil {
		taken = x.target.path.String()
		p := explainedPath(x.target.choice, x.reasonTaken(turns, ranked))
		x.Path = &p
	}
	known := map[string]bool{taken: true}
	add := func(c pipeline.Choice, reason string) {
		if key := c.Path.String(); !known[key] {
			known[key] = true
			x.Next = append(x.Next, explainedPath(c, reason))
		}
	}
	for _, t := range turns {
		if t.Obstacle == pipeline.NoObstacle {
			add(t.Choice, x.reasonSkipped(q, t.Choice, fmt.Sprintf("its turn in the split is later: credit %.2f", t.Credit)))
		}
	}
	for _, c := range ranked {
		reason := "not in the split"
		switch {
		case c.Fullest > 1:
			reason = fmt.Sprintf("the memory of a hop would be used to %.0f%%", 100*c.Fullest)
		case x.Selection == ByCost:
			reason = fmt.Sprintf("costs %.2f ms, %.2f ms more than the cheapest", c.Cost, c.Cost-ranked[0].Cost)
		}
		add(c, x.reasonSkipped(q, c, reason))
	}
	for _, t := range turns {
		if t.Obstacle != pipeline.NoObstacle {
			add(t.Choice, "in the split, but "+t.Obstacle.String())
		}
	}
}

// reasonTaken returns why the path of the target is taken.
func (x *explainer) reasonTaken(turns []pipeline.Turn, ranked []pipeline.Choice) string {
	path := x.target.path.String()
	switch {
	case x.Selection == BySplit && turns[0].Choice.Path.String() == path:
		return fmt.Sprintf("next in the split: credit %.2f", turns[0].Credit)
	case x.Selection == ByCost && ranked[0].Path.String() == path:
		return fmt.Sprintf("cheapest: %.2f ms, with its random part", ranked[0].Cost)
	}
	return "cheapest within a failure domain, since the links between failure domains are full"
}

// reasonSkipped returns why a path is not taken. reason applies if links between failure
// domains are no obstacle.
func (x *explainer) reasonSkipped(q *pipeline.Query, c pipeline.Choice, reason string) string {
	if !x.r.f.cross(q.Engine, q.Tokens.Prompt, c.Path, x.now, false) {
		return "the links between failure domains are full"
	}
	return reason
}

func explainedPath(c pipeline.Choice, reason string) ExplainedPath {
	p := ExplainedPath{FirstMS: c.FirstMS, StepMS: c.StepMS, Fullest: c.Fullest, Reason: reason}
	for _, h := range c.Path {
		p.Hops = append(p.Hops, ExplainedHop{Server: h.Server.ID, FailureDomain: h.Server.FailureDomain, From: h.Layers.From, To: h.Layers.To})
	}
	return p
}

// explainExcluded lists the backend servers of the service that are not among the candidates.
func (x *explainer) explainExcluded(cs []pipeline.Candidate) {
	for _, s := range x.view.OfService(x.r.req.Service) {
		if !containsServer(cs, s.ID) {
			x.Excluded = append(x.Excluded, x.exclusion(s))
		}
	}
	slices.SortFunc(x.Excluded, func(a, b Excluded) int { return cmp.Compare(a.Server, b.Server) })
}

// exclusion returns why a backend server is no candidate.
func (x *explainer) exclusion(s *site.BackendServer) Excluded {
	f, e := x.r.f, Excluded{Server: s.ID}
	stated := f.availability.Of(s.ID, x.now)
	limited, isLimited := f.denials.Of(s.ID, x.r.class(), boottime.Now())
	switch {
	case s.Draining:
		e.Reason = "draining"
	case f.Leaving(s.ID):
		e.Reason = "leaving"
	case x.r.engine != nil && s.Held.Len() == 0:
		e.Reason = "holds no layers"
	case f.health.Dead(s.ID, x.now):
		e.Reason = "failed"
	case stated.IsPaused():
		e.Reason, e.Until = "asked for a pause", stated.Until
	case x.r.engine != nil && f.health.Cooling(s.ID, x.now):
		e.Reason, e.Until = "refused work", f.health.RefusedUntil(s.ID, x.now)
	case isLimited:
		e.Reason, e.Until = "its limit is reached for this workspace and priority", limited
	default:
		e.Reason = "reserved for requests under which no backend server ended"
	}
	return e
}

// explainRefusal sets the refusal, or the time until which the request is held, in the order of
// the checks of a real request.
func (x *explainer) explainRefusal() {
	r := x.r
	d := r.guard.Preview(r.f.trialRank)
	shed := x.explainShedding()
	switch {
	case d.Quarantined:
		x.hold(d.VerdictAt, "the verdict on a part of its prompt")
		x.refuse(d.Refusal())
	case shed != nil:
		x.refuse(shed)
	case boottime.Until(r.deadline) < minTimeLeft:
		x.refuse(r.endError(context.Background()))
	case x.err != nil:
		x.hold(r.holdUntil(x.now, x.now), "a backend server that refused work")
		if until := r.waitsUntil(); until.After(x.HeldUntil) {
			x.hold(until, "memory, while less urgent requests are refused")
		}
		x.refuse(r.refusalOf(x.err, x.now))
	case !d.SuspectSince.IsZero() && r.isStream():
		x.hold(d.SuspectSince.Add(suspectDelay), "other requests, as a backend server ended under it")
	}
	if d.Trial {
		x.Notes = append(x.Notes, "it is quarantined and would be sent as a trial")
	}
}

// explainShedding sets what load shedding decides, and returns the refusal of a request that is
// shed.
func (x *explainer) explainShedding() error {
	if !x.r.maybeShed(x.view) {
		return nil
	}
	d, state := x.r.previewShed(x.view, x.now)
	x.Shedding = &Shedding{Fraction: d.fraction, Share: d.share, Refused: !d.admitted, InUse: state.InUse, Capacity: state.Capacity}
	for _, demand := range state.Demands {
		x.Shedding.TotalDemand += demand.KV
		if demand.Class == d.class {
			x.Shedding.Demand = demand.KV
		}
	}
	if d.admitted {
		return nil
	}
	return d.refusal()
}

// hold records that the request waits until a time, unless that is past.
func (x *explainer) hold(until time.Time, reason string) {
	if until.After(x.now) {
		x.HeldUntil, x.HeldFor = until, reason
	}
}

// refuse sets the refusal. A refused request takes no path.
func (x *explainer) refuse(err error) {
	e := apierror.From(err)
	a := e.Answer()
	x.Refusal = &Refusal{Kind: a.Kind, Status: a.Status, Detail: e.Detail, RetryAfterMS: inMilliseconds(a.RetryAfter)}
	if x.Path != nil {
		x.Path.Reason = "would be taken if the request were not refused; " + x.Path.Reason
		x.Next = append([]ExplainedPath{*x.Path}, x.Next[:min(len(x.Next), maxNextPaths-1)]...)
		x.Path = nil
	}
}

// explainNotes lists what may differ for a real request.
func (x *explainer) explainNotes() {
	r, f := x.r, x.r.f
	if x.Refusal != nil {
		if x.Refusal.RetryAfterMS > 0 {
			x.Notes = append(x.Notes, x.retryNote())
		}
		return
	}
	for _, limit := range f.limits.All() {
		s := x.view.Servers[limit.Server]
		if s != nil && s.Service == r.req.Service && f.trials.isDue(limit, boottime.Now()) {
			x.Notes = append(x.Notes, fmt.Sprintf("if the fleet grants a permit, it goes to %s first, as a trial whether its limit has ended", s.ID))
		}
	}
	if limited := f.limitedHops(x.target.path); len(limited) > 0 {
		x.Notes = append(x.Notes, fmt.Sprintf("the path needs a permit of the fleet for %v; without it the next best path is taken", limited))
	}
	if n := len(r.req.Route.Targets); n > 1 {
		x.Notes = append(x.Notes, fmt.Sprintf("the route divides its requests among %d services; the next one at this daemon goes to %s", n, x.Service))
	}
	x.Notes = append(x.Notes, "the next request at this daemon draws the same random numbers: it takes this path unless the loads change or another request comes first")
}

// retryNote tells the random part of the Retry-After.
func (x *explainer) retryNote() string {
	spread := retryAfterSpread
	if x.Refusal.Kind == apierror.Quarantined {
		spread = quarantine.RetrySpread
	}
	if x.Shedding != nil && x.Shedding.Refused {
		return "the fraction of the class that is admitted applies to all its requests, so that a later one may be admitted"
	}
	if x.err != nil && !errors.Is(x.err, errLimits) && x.Refusal.RetryAfterMS == inMilliseconds(defaultRetryAfter) {
		return "no time is known at which there will be a path; Retry-After is the default"
	}
	return fmt.Sprintf("Retry-After has a random part of up to %s", spread)
}
