package forward

import (
	"math"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/site"
)

// Loads keeps what this daemon knows of the load of backend servers. It is safe
// for concurrent use.
type Loads struct {
	mu       sync.Mutex
	servers  map[string]*serverLoad
	inFlight int

	others         map[string]relay.LoadItem // of the other daemons together
	othersAt       time.Time
	othersDaemons  int
	othersAge      time.Duration // of the loads when they were told
	conditions     *conditions
	observe        func(age time.Duration)
	refused        func(n int)
	noteConditions func(known map[string]relay.Condition, slowChanged bool)
}

type serverLoad struct {
	running int     // own requests that pass it
	heads   int     // own requests that it runs as the first
	kv      float64 // tokens x layers of own requests
}

// othersTTL is how long what the other daemons told counts; after that they are
// taken to be as busy as this one.
const othersTTL = 10 * time.Second

// guessMost bounds the daemons that are taken to be as busy as this one: after a
// restart all callers come at once, and a guess must not refuse them.
const guessMost = 3

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{
		servers: map[string]*serverLoad{}, conditions: newConditions(),
		observe: func(time.Duration) {}, refused: func(int) {}, noteConditions: func(map[string]relay.Condition, bool) {},
	}
}

func (l *Loads) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

func (l *Loads) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// InFlight returns the requests that are being carried.
func (l *Loads) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

func (l *Loads) server(id string) *serverLoad {
	s := l.servers[id]
	if s == nil {
		s = &serverLoad{}
		l.servers[id] = s
	}
	return s
}

// Of returns the load of a backend server: what the other daemons told, else
// all daemons are taken to be as busy as this one.
func (l *Loads) Of(id string, daemons float64, now time.Time) pipeline.Load {
	load := l.shared(id, daemons, now)
	told := l.conditions.of(id)
	load.Slowdown, load.Full, load.Waiting = told.Slowdown, told.Full, told.Waiting
	return load
}

// shared returns the load that all daemons together cause.
func (l *Loads) shared(id string, daemons float64, now time.Time) pipeline.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var own serverLoad
	if s := l.servers[id]; s != nil {
		own = *s
	}
	if now.Sub(l.othersAt) > othersTTL {
		daemons = min(daemons, guessMost)
		return pipeline.Load{
			Running: float64(own.running) * daemons, KVUsed: own.kv * daemons, Heads: float64(own.heads) * daemons,
			OwnKV: own.kv * daemons,
		}
	}
	// Daemons that are not among those that told are taken to be like them.
	unknown := max(1, daemons/float64(1+l.othersDaemons))
	o := l.others[id]
	return pipeline.Load{
		Running: float64(own.running) + float64(o.Running)*unknown,
		KVUsed:  own.kv + o.KV*unknown,
		Heads:   float64(own.heads) + float64(o.Heads)*unknown,
		OwnKV:   own.kv * daemons,
	}
}

// newsAge returns about how old the loads are that the other daemons told, 0 if they
// do not count any more.
func (l *Loads) newsAge(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.othersAt) > othersTTL {
		return 0
	}
	return now.Sub(l.othersAt) + l.othersAge
}

// OwnLoads implements relay.LoadBook.
func (l *Loads) OwnLoads() []relay.LoadItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []relay.LoadItem
	for id, s := range l.servers {
		if s.running > 0 {
			out = append(out, relay.LoadItem{Server: id, Running: s.running, Heads: s.heads, KV: s.kv})
		}
	}
	return out
}

// TakeOthers implements relay.LoadBook.
func (l *Loads) TakeOthers(others relay.Loads) {
	byServer := make(map[string]relay.LoadItem, len(others.Items))
	for _, i := range others.Items {
		byServer[i.Server] = i
	}
	l.take(byServer, others)
	l.observe(others.Age)
}

// forgetOthers forgets what was told of the other daemons' loads and of backend servers:
// it was true before the VM was suspended. What is told next counts again.
func (l *Loads) forgetOthers() {
	l.mu.Lock()
	l.others, l.othersAt, l.othersDaemons = nil, time.Time{}, 0
	l.mu.Unlock()
	l.TakeConditions(map[string]relay.Condition{})
}

// RefuseLoads implements relay.LoadBook.
func (l *Loads) RefuseLoads(n int) { l.refused(n) }

func (l *Loads) take(byServer map[string]relay.LoadItem, others relay.Loads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.othersAt) < othersTTL {
		smooth(byServer, l.others)
	}
	l.others, l.othersAt, l.othersDaemons, l.othersAge = byServer, time.Now(), others.Daemons, others.Age
}

// othersSmoothing is the weight of what was told last against what was known
// before: daemons that all react at once to the same old loads make them swing.
const othersSmoothing = 0.4

func smooth(now, before map[string]relay.LoadItem) {
	mix := func(a, b float64) float64 { return othersSmoothing*a + (1-othersSmoothing)*b }
	for id, b := range before {
		n := now[id]
		n.Server = id
		n.Running = int(math.Round(mix(float64(n.Running), float64(b.Running))))
		n.Heads = int(math.Round(mix(float64(n.Heads), float64(b.Heads))))
		n.KV = mix(n.KV, b.KV)
		now[id] = n
	}
}

// Enter counts a request in on its path and returns what takes it out again.
func (l *Loads) Enter(p site.Path, tokens float64) (leave func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(p, tokens, 1)
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(p, tokens, -1)
		})
	}
}

func (l *Loads) add(p site.Path, tokens float64, sign int) {
	for i, h := range p {
		s := l.server(h.Server.ID)
		s.running += sign
		if i == 0 {
			s.heads += sign
		}
		s.kv += float64(sign) * tokens * float64(h.Layers.Len())
	}
}

// Prune forgets backend servers that are gone.
func (l *Loads) Prune(known map[string]*site.BackendServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.servers {
		if known[id] == nil && s.running == 0 {
			delete(l.servers, id)
		}
	}
}

// oldLoads is the age from which loads of the other daemons are worth a line in the
// log: a request lasts two to five seconds, and older ones say nothing of those that
// run now.
const oldLoads = 8 * time.Second

func (f *Forwarder) noteLoadsAge(age time.Duration) {
	f.observe.LoadsAge(age)
	if age > oldLoads {
		f.log.Add("old_loads", "age", age.Round(time.Millisecond), "daemons", f.fleet.Daemons())
	}
}

// noteRefusedLoads notes loads that were dropped because no backend server can have
// them: another daemon, or the link to it, is at fault.
func (f *Forwarder) noteRefusedLoads(n int) {
	f.observe.LoadsRefused(n)
	f.log.Add("refused_loads", "loads", n)
}
