package standin

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/backend/httpbackend"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/network"
)

// Service is a stand-in for a plain service. It answers with the method, the path and
// the body of the request.
type Service struct {
	memnet.Server
	Ledger    *Ledger
	RefuseAll atomic.Bool  // refuses all calls as not run
	Pause     atomic.Int64 // Retry-After of these refusals in seconds, 0 for none
	CutNext   atomic.Int64 // number of calls to run and then cut off without an answer
	Delay     atomic.Int64 // duration of a call in nanoseconds

	UntilClose atomic.Bool // replies have no length and end with their connection
	BreakNext  atomic.Bool // breaks the next reply off after half of its body
	DieNext    atomic.Bool // like BreakNext, and closes the server

	mu       sync.Mutex
	arrivals []time.Time
}

// Arrivals returns the times at which calls arrived.
func (s *Service) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// NewService starts a service that records its calls in l.
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
		statePause(w, s.Pause.Load())
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	s.Ledger.begin(r.Header.Get(httpbackend.HeaderRequestID), string(body))
	time.Sleep(time.Duration(s.Delay.Load()))
	if s.CutNext.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	s.CutNext.Store(0)
	w.Header().Set("Content-Type", "text/plain")
	reply := append([]byte(r.Method+" "+r.URL.Path+" "), body...)
	if s.UntilClose.Load() {
		w.Header().Set("Transfer-Encoding", "identity") // removed by the server, which closes the connection
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	}
	dies := s.DieNext.Swap(false)
	if !s.BreakNext.Swap(false) && !dies {
		_, _ = w.Write(reply)
		return
	}
	_, _ = w.Write(reply[:len(reply)/2])
	_ = http.NewResponseController(w).Flush()
	if dies {
		s.Close()
	}
	panic(http.ErrAbortHandler)
}
