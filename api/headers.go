package api

import (
	"net/http"
	"strconv"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/topology"
)

// maxLabels bounds the number of labels of one request.
const maxLabels = 16

// requestOptions holds the options that a caller sets in request headers.
type requestOptions struct {
	repeatable bool
	deadline   time.Time
	priority   int
	labels     topology.Labels
}

// requestOptions parses the option headers of a request.
func (h *Callers) requestOptions(r *http.Request, ws *topology.Workspace) (requestOptions, error) {
	o := requestOptions{repeatable: true}
	var err error
	if o.deadline, err = h.parseDeadline(r.Header.Get(HeaderDeadline)); err != nil {
		return o, err
	}
	if o.priority, err = parsePriority(r.Header.Get(HeaderPriority), ws); err != nil {
		return o, err
	}
	if o.labels, err = parseLabels(r.Header.Get(HeaderLabels)); err != nil {
		return o, err
	}
	if text := r.Header.Get(HeaderRepeatable); text != "" {
		v, err := strconv.ParseBool(text)
		if err != nil {
			return o, apierror.New(apierror.BadRequest, "%s: %q, write true or false", HeaderRepeatable, text)
		}
		o.repeatable = v
	}
	return o, nil
}

// parseDeadline parses a duration from now or an RFC 3339 time. The result is
// at most MaxDeadline from now.
func (h *Callers) parseDeadline(text string) (time.Time, error) {
	now := h.clock()
	if text == "" {
		return now.Add(h.opts.DefaultDeadline), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		d, derr := time.ParseDuration(text)
		if derr != nil {
			return at, apierror.New(apierror.BadRequest, "%s: %q, write a duration such as 30s or an RFC 3339 time", HeaderDeadline, text)
		}
		at = now.Add(d)
	}
	if !at.After(now) {
		return at, apierror.New(apierror.DeadlinePassed, "%s is %s ago", HeaderDeadline, now.Sub(at))
	}
	if latest := now.Add(h.opts.MaxDeadline); at.After(latest) {
		at = latest
	}
	return at, nil
}

// parsePriority parses a priority, limited to the priority of the workspace.
func parsePriority(text string, ws *topology.Workspace) (int, error) {
	if text == "" {
		return 0, nil
	}
	p, err := strconv.Atoi(text)
	if err != nil {
		return 0, apierror.New(apierror.BadRequest, "%s: %q, write an integer", HeaderPriority, text)
	}
	return min(p, max(0, ws.Priority)), nil
}

func parseLabels(text string) (topology.Labels, error) {
	if text == "" {
		return nil, nil
	}
	l, err := labels.ConvertSelectorToLabelsMap(text)
	if err != nil || len(l) > maxLabels {
		return nil, apierror.New(apierror.BadRequest, "%s: write at most %d pairs key=value, comma-separated", HeaderLabels, maxLabels)
	}
	return l, nil
}
