package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/platform"
	"github.com/snowspoke/snowspoke/platform/httpplatform"
)

// Platform is a fake of the platform's object interface and VM list.
type Platform struct {
	server
	Outage      atomic.Bool  // answers every call with 503 and ends watches
	LoseAnswers atomic.Int64 // the answers of so many writes are lost after the write
	Calls       atomic.Int64 // calls served, a watch as one

	data    sync.Mutex
	objects map[platform.ID]platform.Object
	version uint64
	changed chan struct{}
	vms     []platform.VM
}

// NewPlatform starts an empty platform.
func NewPlatform(n network.Network) (*Platform, error) {
	p := &Platform{server: server{net: n}, objects: map[platform.ID]platform.Object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.get)
	mux.HandleFunc("GET /v1/objects/{kind}", p.list)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.write)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.write)
	mux.HandleFunc("GET /v1/watch", p.watch)
	mux.HandleFunc("GET /v1/vms", p.listVMs)
	p.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.Calls.Add(1)
		if p.Outage.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	return p, p.start()
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.Address() }

// SetOutage begins or ends an outage; watches end when it begins.
func (p *Platform) SetOutage(on bool) {
	p.Outage.Store(on)
	p.data.Lock()
	defer p.data.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []platform.VM) {
	p.data.Lock()
	defer p.data.Unlock()
	p.vms = vms
}

// Set writes an object whatever its version and returns the new one.
func (p *Platform) Set(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	p.data.Lock()
	defer p.data.Unlock()
	return p.store(platform.Object{Kind: kind, Name: name, Spec: data}).Version
}

// Remove deletes an object whatever its version.
func (p *Platform) Remove(kind, name string) {
	p.data.Lock()
	defer p.data.Unlock()
	p.store(platform.Object{Kind: kind, Name: name, Deleted: true})
}

func (p *Platform) store(o platform.Object) platform.Object {
	p.version++
	o.Version = p.version
	p.objects[o.ID()] = o
	close(p.changed)
	p.changed = make(chan struct{})
	return o
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.data.Lock()
	o, ok := p.objects[platform.ID{Kind: r.PathValue("kind"), Name: r.PathValue("name")}]
	p.data.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.data.Lock()
	out := []platform.Object{}
	for id, o := range p.objects {
		if id.Kind == r.PathValue("kind") && !o.Deleted {
			out = append(out, o)
		}
	}
	version := p.version
	p.data.Unlock()
	w.Header().Set(httpplatform.HeaderRevision, strconv.FormatUint(version, 10))
	_ = json.NewEncoder(w).Encode(out)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	spec, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	want, perr := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil || perr != nil || len(spec) > platform.MaxValueBytes {
		http.Error(w, "bad write", http.StatusBadRequest)
		return
	}
	p.data.Lock()
	id := platform.ID{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
	old := p.objects[id]
	have := old.Version
	if old.Deleted {
		have = 0
	}
	if have != want {
		p.data.Unlock()
		http.Error(w, "conflict", http.StatusPreconditionFailed)
		return
	}
	o := p.store(platform.Object{Kind: id.Kind, Name: id.Name, Spec: spec, Deleted: r.Method == http.MethodDelete})
	p.data.Unlock()
	if p.LoseAnswers.Add(-1) >= 0 {
		panic(http.ErrAbortHandler) // the write took effect, its answer is lost
	}
	p.LoseAnswers.CompareAndSwap(-1, 0)
	o.Spec = nil
	_ = json.NewEncoder(w).Encode(o)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	kinds := map[string]bool{}
	for _, k := range r.URL.Query()["kind"] {
		kinds[k] = true
	}
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	enc := json.NewEncoder(w)
	for {
		p.data.Lock()
		changed := p.changed
		var out []platform.Object
		for id, o := range p.objects {
			if kinds[id.Kind] && o.Version > since {
				out = append(out, o)
			}
		}
		p.data.Unlock()
		sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
		for _, o := range out {
			since = o.Version
			if enc.Encode(o) != nil {
				return
			}
		}
		if rc.Flush() != nil || p.Outage.Load() {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.data.Lock()
	vms := append([]platform.VM{}, p.vms...)
	p.data.Unlock()
	_ = json.NewEncoder(w).Encode(vms)
}
