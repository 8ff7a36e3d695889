package gateway

import (
	"encoding/json"
	"mime"
	"net/http"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/forward"
)

// ExplainPath is the path at the metrics address that explains, to callers on the VM itself, where a
// request would be sent now. A POST holds the request in the form of HTTP/1.1, with the caller's
// key; the answer is a RouteExplanation.
const ExplainPath = "/route"

// RequestContentType is the content type of a request to explain (RFC 9112, section 10.1).
const RequestContentType = "message/http"

// maxExplainedBytes bounds a request to explain. The limit on bodies of the configuration applies
// as well.
const maxExplainedBytes = 64 << 20

// RouteExplanation is where a daemon would send a request, and why.
type RouteExplanation struct {
	Daemon string `json:"daemon"`
	*forward.Explanation
}

// explainRoute answers a question about a request. It logs nothing, since the request holds a key.
func (g *Gateway) explainRoute(w http.ResponseWriter, r *http.Request) {
	if !fromThisVM(r) {
		http.Error(w, "only from the VM itself", http.StatusForbidden)
		return
	}
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || t != RequestContentType {
		http.Error(w, "the request to explain must be of type "+RequestContentType, http.StatusUnsupportedMediaType)
		return
	}
	e, err := g.ingress.Explain(http.MaxBytesReader(w, r.Body, maxExplainedBytes))
	if err != nil {
		refusal := apierror.From(err)
		http.Error(w, refusal.Error(), refusal.Answer().Status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(RouteExplanation{Daemon: g.set.Name, Explanation: e}); err != nil {
		_ = level.Warn(g.log).Log("msg", "explanation not sent", "err", err)
	}
}
