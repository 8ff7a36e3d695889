// Package retryafter parses the Retry-After header of an HTTP answer.
package retryafter

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header is the canonical name of the header.
const Header = "Retry-After"

// Max is the longest delay that Parse returns.
const Max = 24 * time.Hour

// Parse returns the longest delay that the headers of an answer state, 0 for none. A value
// is a number of seconds, fractions included, or an HTTP date (RFC 9110, section 10.2.3). A
// date counts from the answer's Date header, or from now without one. valid is false if a
// value is neither; the other values still apply.
func Parse(h http.Header, now time.Time) (delay time.Duration, valid bool) {
	valid = true
	for _, v := range h[Header] {
		d, ok := parseValue(strings.TrimSpace(v), h, now)
		if !ok {
			valid = false
		}
		delay = max(delay, d)
	}
	return delay, valid
}

func parseValue(v string, h http.Header, now time.Time) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(v, 64)
	if err == nil || errors.Is(err, strconv.ErrRange) {
		return fromSeconds(seconds, err != nil)
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return 0, false
	}
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return min(Max, max(0, at.Sub(now))), true
}

// fromSeconds converts a number of seconds. tooLarge is set if it exceeds a float64.
func fromSeconds(seconds float64, tooLarge bool) (time.Duration, bool) {
	switch {
	case math.IsNaN(seconds), seconds < 0, math.IsInf(seconds, 0) && !tooLarge:
		return 0, false
	case seconds >= Max.Seconds():
		return Max, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
