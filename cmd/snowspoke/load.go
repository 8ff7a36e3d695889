package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/load"
	"github.com/snowspoke/snowspoke/network"
)

type loadCmd struct {
	URL         []string      `help:"Callers' URL of a daemon or balancer; several take turns." required:"" placeholder:"URL"`
	CallerToken string        `help:"Caller's token." required:"" env:"SNOWSPOKE_CALLER_TOKEN"`
	Model       string        `help:"Model to ask." required:""`
	Rate        float64       `help:"Requests per second." default:"10"`
	Length      time.Duration `help:"How long to send." default:"10s"`
	Tokens      int           `help:"Mean length of an answer." default:"32"`
	Deadline    time.Duration `help:"Deadline of each request; 0 for the daemon's default." default:"0s"`
	Priority    int           `help:"Priority of each request." default:"0"`
	Seed        uint64        `help:"Seed of the arrivals and lengths." default:"1"`
	Plot        string        `help:"PNG file for a plot of the timeline." type:"path"`
}

// loadDrainTimeout is how long requests may still run after the end of the load.
const loadDrainTimeout = 30 * time.Second

// loadIdleConns is the maximum number of idle connections to each daemon.
const loadIdleConns = 512

// Run sends the load and prints its results.
func (l *loadCmd) Run(c *cli) error {
	hc := network.Client(network.NewSystem(dialTimeout), loadIdleConns)
	var clients []*client.Client
	for _, u := range l.URL {
		clients = append(clients, client.New(u, l.CallerToken, hc))
	}
	r := load.Run(context.Background(), load.Spec{
		Rate: l.Rate, Length: l.Length, Model: l.Model, Tokens: l.Tokens, Deadline: l.Deadline,
		Priority: l.Priority, Seed: l.Seed, Timeout: loadDrainTimeout,
	}, clients)
	if l.Plot != "" {
		if err := r.WritePlot(l.Plot); err != nil {
			return err
		}
	}
	if err := r.WriteTable(os.Stdout); err != nil {
		return err
	}
	if r.Broken > 0 {
		return fmt.Errorf("%d requests got no explicit answer", r.Broken)
	}
	return nil
}
