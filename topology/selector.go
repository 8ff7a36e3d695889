package topology

import (
	"encoding/json"
	"fmt"

	"k8s.io/apimachinery/pkg/labels"
)

// Labels are key=value pairs of an object or a request.
type Labels = labels.Set

// Selector is a label selector in the Kubernetes syntax, compiled once when the
// object that contains it is parsed. The zero value matches everything.
type Selector struct {
	text string
	sel  labels.Selector
}

// ParseSelector compiles text. An empty text matches everything. An error wraps
// ErrInvalid.
func ParseSelector(text string) (Selector, error) {
	sel, err := labels.Parse(text)
	if err != nil {
		return Selector{}, fmt.Errorf("%w: selector %q: %w", ErrInvalid, text, err)
	}
	return Selector{text: text, sel: sel}, nil
}

// Matches reports whether the labels satisfy the selector.
func (s Selector) Matches(l Labels) bool { return s.sel == nil || s.sel.Matches(l) }

// String returns the selector's text.
func (s Selector) String() string { return s.text }

// MarshalJSON writes the selector's text.
func (s Selector) MarshalJSON() ([]byte, error) { return json.Marshal(s.text) }

// UnmarshalJSON compiles the selector from its text.
func (s *Selector) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := ParseSelector(text)
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}
