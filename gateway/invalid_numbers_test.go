package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers may state any numbers. An infinite or very large count must not make a request too large
// for every path, and a long deadline must not overflow to one that has passed.
func TestRequestsWithInvalidNumbersAreServed(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(2, 2)
	env.servers("plain", "", "plain-1")
	d := env.daemon("daemon-1", nil).ready(t, 5)
	n := 0
	for _, path := range []string{"/stream/", "/plain/x"} {
		for _, header := range []map[string]string{
			{"Snowspoke-Token-Counts": "-1,-1"}, {"Snowspoke-Token-Counts": "NaN,NaN"}, {"Snowspoke-Token-Counts": "Inf,Inf"},
			{"Snowspoke-Token-Counts": "-Inf,-Inf"}, {"Snowspoke-Token-Counts": "1e300,1e300"}, {"Snowspoke-Token-Counts": "1e999"},
			{"Snowspoke-Token-Counts": "many"}, {"Snowspoke-Token-Counts": ",,,"},
			{"Snowspoke-Length-Hint": "-1"}, {"Snowspoke-Length-Hint": "NaN"}, {"Snowspoke-Length-Hint": "Inf"}, {"Snowspoke-Length-Hint": "1e8"},
			{"Snowspoke-Length-Hint": "1e300"}, {"Snowspoke-Deadline-Ms": "NaN"}, {"Snowspoke-Deadline-Ms": "Inf"}, {"Snowspoke-Deadline-Ms": "1e300"},
			{"Snowspoke-Deadline-Ms": "-1"}, {"Snowspoke-Deadline-Ms": "1e18"}, {},
		} {
			n++
			a := d.call(t, call{method: "POST", path: path, id: fmt.Sprint("odd-", n), header: header})
			require.Equal(t, http.StatusOK, a.Status, "%s %v: %s", path, header, a.Body)
			require.NoError(t, a.Err)
		}
	}
	require.Equal(t, n/2, totalRuns(heads), "each stream ran once")
}
