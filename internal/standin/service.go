package standin

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/backend/httpbackend"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/network"
)

// Service is a fake of a plain service. It answers with the body it got.
type Service struct {
	memnet.Server
	Ledger    *Ledger
	RefuseAll atomic.Bool  // refuses without running
	CutAfter  atomic.Int64 // cuts the next answers after the call ran
	Delay     atomic.Int64 // nanoseconds that a call takes

	mu       sync.Mutex
	arrivals []time.Time
}

// Arrivals returns when calls came.
func (s *Service) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// NewService starts a service.
func NewService(n network.Network, l *Ledger) (*Service, error) {
	s := &Service{Server: memnet.Server{Net: n}, Ledger: l}
	s.Handler = http.HandlerFunc(s.serve)
	return s, s.Start()
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil || s.RefuseAll.Load() {
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	s.Ledger.begin(r.Header.Get(httpbackend.HeaderRequestID), string(body))
	time.Sleep(time.Duration(s.Delay.Load()))
	if s.CutAfter.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	s.CutAfter.Store(0)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write(append([]byte(r.Method+" "+r.URL.Path+" "), body...))
}
