package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// Guards against delays that each keep a bound and together don't (review/3): the bounds are those of
// the site files, from the smallest to the largest deployment.
func TestDelaysFitTheSettingsTogether(t *testing.T) {
	for _, bounds := range []struct{ contact, leave, config time.Duration }{
		{3 * time.Second, 2 * time.Second, 2 * time.Second},
		{3 * time.Second, 3 * time.Second, 3 * time.Second},
		{4 * time.Second, 4 * time.Second, 4 * time.Second},
		{5 * time.Second, 5 * time.Second, 5 * time.Second},
	} {
		for _, d := range changeDelays(site.Settings{Contact: bounds.contact, MaxLeaveDelay: bounds.leave, MaxConfigDelay: bounds.config}) {
			require.NotZero(t, d.bound, d.way)
			require.LessOrEqual(t, d.sum(), d.bound, "%s: %v", d.way, d.steps)
		}
	}
}
