package config

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const minimal = `
[daemon]
name = a
failure_domain = bogota-1
[listen]
callers = 127.0.0.1:1
operators = 127.0.0.1:2
peers = 127.0.0.1:3
[platform]
url = http://127.0.0.1:4
`

func TestParseMinimal(t *testing.T) {
	c, err := Parse([]byte(minimal + "[peers]\nseeds = 127.0.0.1:5, 127.0.0.1:6\n"))
	require.NoError(t, err)
	require.Equal(t, []string{"127.0.0.1:5", "127.0.0.1:6"}, c.Peers.Seeds)
	require.Equal(t, Default().Limits, c.Limits)
}

func TestParseErrorsNameSectionAndKey(t *testing.T) {
	cases := []struct{ add, want string }{
		{"[limits]\nbody_bytes = many\n", "[limits] body_bytes: \"many\", write a whole number"},
		{"[limits]\nheader_timeout = 5\n", "[limits] header_timeout: \"5\", write a duration"},
		{"[limits]\nheader_timeout = -5s\n", "[limits] header_timeout: \"-5s\", write a duration"},
		{"[limits]\nretry_ratio = NaN\n", "[limits] retry_ratio: \"NaN\", write a number"},
		{"[limits]\nspeed = 5\n", "[limits] speed: unknown key"},
		{"[limits]\nbody_bytes = 5\nbody_bytes = 6\n", "[limits] body_bytes: given 2 times"},
		{"[speed]\nx = 5\n", "[speed]: unknown section"},
		{"[health]\ngap_floor = 3s\n", "[health] gap_floor: 3s, write at most"},
		{"[peers]\nsuspect = 9s\n", "[peers] suspect: 9s, write less than dead"},
		{"[security]\ncert_file = x\n", "[security] cert_file: set cert_file and key_file together"},
		{"[security]\nbackend_tls = maybe\n", "[security] backend_tls: \"maybe\", write true or false"},
		{"[log]\nlevel = loud\n", "[log] level: \"loud\", write debug"},
	}
	for _, c := range cases {
		_, err := Parse([]byte(minimal + c.add))
		require.ErrorContains(t, err, c.want)
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse([]byte("[listen]\ncallers = localhost:80\n[platform]\nurl = ftp://x\n"))
	for _, want := range []string{"[daemon] name", "[daemon] failure_domain", "[listen] callers", "[listen] operators", "[platform] url"} {
		require.ErrorContains(t, err, want)
	}
}

func TestSampleParses(t *testing.T) {
	sample := Sample()
	sample = strings.Replace(sample, "name = \n", "name = a\n", 1)
	sample = strings.Replace(sample, "failure_domain = \n", "failure_domain = b\n", 1)
	for _, k := range []string{"callers", "operators", "peers"} {
		sample = strings.Replace(sample, k+" = \n", k+" = 127.0.0.1:1\n", 1)
	}
	sample = strings.Replace(sample, "url = \n", "url = http://127.0.0.1:4\n", 1)
	c, err := Parse([]byte(sample))
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, c.Platform.VMPoll)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(Sample()))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := Parse(data); err == nil {
			require.NotEmpty(t, c.Daemon.Name)
		}
	})
}
