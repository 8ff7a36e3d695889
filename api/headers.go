package api

import (
	"net/http"
	"strconv"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/topology"
)

// maxLabels bounds the labels of one request.
const maxLabels = 16

// particulars are what the headers of a request say.
type particulars struct {
	repeatable bool
	deadline   time.Time
	priority   int
	labels     topology.Labels
}

func (h *Callers) particulars(r *http.Request, ws *topology.Workspace) (particulars, error) {
	p := particulars{repeatable: true}
	var err error
	if p.deadline, err = h.deadline(r.Header.Get(HeaderDeadline)); err != nil {
		return p, err
	}
	if p.priority, err = priority(r.Header.Get(HeaderPriority), ws); err != nil {
		return p, err
	}
	if p.labels, err = requestLabels(r.Header.Get(HeaderLabels)); err != nil {
		return p, err
	}
	if text := r.Header.Get(HeaderRepeatable); text != "" {
		v, err := strconv.ParseBool(text)
		if err != nil {
			return p, apierror.New(apierror.BadRequest, "%s: %q, write true or false", HeaderRepeatable, text)
		}
		p.repeatable = v
	}
	return p, nil
}

// deadline reads a duration from now or a point in time.
func (h *Callers) deadline(text string) (time.Time, error) {
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

func priority(text string, ws *topology.Workspace) (int, error) {
	if text == "" {
		return 0, nil
	}
	p, err := strconv.Atoi(text)
	if err != nil {
		return 0, apierror.New(apierror.BadRequest, "%s: %q, write an integer", HeaderPriority, text)
	}
	return min(p, max(0, ws.Priority)), nil
}

func requestLabels(text string) (topology.Labels, error) {
	if text == "" {
		return nil, nil
	}
	l, err := labels.ConvertSelectorToLabelsMap(text)
	if err != nil || len(l) > maxLabels {
		return nil, apierror.New(apierror.BadRequest, "%s: write at most %d pairs key=value, comma-separated", HeaderLabels, maxLabels)
	}
	return l, nil
}
