package retryafter

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	now := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	date := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	for _, c := range []struct {
		values []string
		sentAt string // Date header
		want   time.Duration
		valid  bool
	}{
		{nil, "", 0, true},
		{[]string{"3"}, "", 3 * time.Second, true},
		{[]string{" 0.25 "}, "", 250 * time.Millisecond, true},
		{[]string{"0"}, "", 0, true},
		{[]string{"1e30"}, "", Max, true},
		{[]string{"1e999"}, "", Max, true},
		{[]string{date(7 * time.Second)}, "", 7 * time.Second, true},
		{[]string{date(7 * time.Second)}, date(4 * time.Second), 3 * time.Second, true},
		{[]string{date(-7 * time.Second)}, "", 0, true},
		{[]string{"1", "4", "2"}, "", 4 * time.Second, true},
		{[]string{"soon", "2"}, "", 2 * time.Second, false},
		{[]string{"-1"}, "", 0, false},
		{[]string{"-1e999"}, "", 0, false},
		{[]string{""}, "", 0, false},
		{[]string{"NaN"}, "", 0, false},
		{[]string{"Inf"}, "", 0, false},
		{[]string{"3, 5"}, "", 0, false},
	} {
		h := http.Header{Header: c.values}
		if c.sentAt != "" {
			h.Set("Date", c.sentAt)
		}
		got, valid := Parse(h, now)
		require.Equal(t, c.want, got, "%q", c.values)
		require.Equal(t, c.valid, valid, "%q", c.values)
	}
}
