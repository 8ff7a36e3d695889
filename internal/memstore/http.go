package memstore

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/store/httpstore"
)

// Platform is a fake of the platform's object API and VM list. Faults are set on Store.
type Platform struct {
	memnet.Server
	Store *Store

	vmMu sync.Mutex
	vms  []store.VM
}

// NewPlatform starts an empty platform.
func NewPlatform(n network.Network) (*Platform, error) {
	p := &Platform{Server: memnet.Server{Net: n}, Store: New()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.get)
	mux.HandleFunc("GET /v1/objects/{kind}", p.list)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.write)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.write)
	mux.HandleFunc("GET /v1/watch", p.watch)
	mux.HandleFunc("GET /v1/vms", p.listVMs)
	p.Handler = mux
	return p, p.Start()
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.Address() }

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []store.VM) {
	p.vmMu.Lock()
	defer p.vmMu.Unlock()
	p.vms = vms
}

// Set writes an object unconditionally and returns its new version.
func (p *Platform) Set(kind, name string, spec any) store.Position {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return p.Store.Set(kind, name, data)
}

// answer sends v, or the status that matches err. For store.ErrAmbiguous it closes the
// connection without an answer.
func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrAmbiguous):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	o, err := p.Store.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	answer(w, o, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	os, rev, err := p.Store.List(r.Context(), r.PathValue("kind"))
	w.Header().Set(httpstore.HeaderRevision, strconv.FormatUint(uint64(rev), 10))
	answer(w, os, err)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	spec, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	ifMatch, perr := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil || perr != nil || len(spec) > store.MaxValueBytes {
		http.Error(w, "bad write", http.StatusBadRequest)
		return
	}
	o := store.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
	if r.Method == http.MethodDelete {
		o.Version, err = p.Store.Delete(r.Context(), o.Kind, o.Name, store.Position(ifMatch))
	} else {
		o.Version, err = p.Store.Put(r.Context(), o.Kind, o.Name, spec, store.Position(ifMatch))
	}
	answer(w, o, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	_ = p.Store.Watch(r.Context(), r.URL.Query()["kind"], store.Position(since), func(o store.Object) {
		_ = enc.Encode(o)
		_ = rc.Flush()
	})
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	if _, err := p.Store.Get(r.Context(), "VM", "any"); errors.Is(err, store.ErrUnavailable) {
		answer(w, nil, err)
		return
	}
	p.vmMu.Lock()
	defer p.vmMu.Unlock()
	answer(w, append([]store.VM{}, p.vms...), nil)
}
