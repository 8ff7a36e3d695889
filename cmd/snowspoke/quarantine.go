package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/snowspoke/snowspoke/gateway"
	"github.com/snowspoke/snowspoke/internal/readall"
)

// operatorTimeout bounds a call to a daemon's metrics address.
const operatorTimeout = 5 * time.Second

// maxOutputBytes bounds the answer of a daemon to an operator's command.
const maxOutputBytes = 64 << 20

type quarantineCmd struct {
	Metrics string `arg:"" help:"Metrics address of a daemon on the users' platform, IP:PORT."`
	Lift    string `help:"Fingerprint of a request or part that is to be sent again; only on the daemon's own VM." placeholder:"FINGERPRINT"`
}

// Run lists the quarantined requests, or lifts the quarantine of one.
func (k *quarantineCmd) Run(c *cli) error {
	url := "http://" + k.Metrics + gateway.QuarantinePath
	if k.Lift != "" {
		_, err := operatorCall(http.MethodDelete, url+"/"+k.Lift)
		return err
	}
	data, err := operatorCall(http.MethodGet, url)
	if err != nil {
		return err
	}
	var quarantined []gateway.QuarantinedRequest
	if err := json.Unmarshal(data, &quarantined); err != nil {
		return fmt.Errorf("answer of %s: %w", k.Metrics, err)
	}
	return c.print(quarantined, func(w io.Writer) {
		fmt.Fprintln(w, "FINGERPRINT\tOF\tENDS\tSCORE\tLAST END\tUNTIL")
		for _, q := range quarantined {
			of := "request"
			if q.Part {
				of = "part"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", q.Fingerprint, of, q.Ends, q.Score, q.LastEnd.Format(time.RFC3339), q.Until.Format(time.RFC3339))
		}
	})
}

// errRefused is returned for an HTTP error status of a daemon.
var errRefused = errors.New("the daemon refused")

// operatorCall sends a request to the metrics address of a daemon and returns the
// response body.
func operatorCall(method, url string) ([]byte, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Timeout: operatorTimeout}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := readall.AtMost(resp.Body, maxOutputBytes)
	if err == nil && resp.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("%w: %s: %s", errRefused, resp.Status, data)
	}
	return data, err
}
