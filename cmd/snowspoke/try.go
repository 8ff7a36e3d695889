package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/logging"
	"github.com/snowspoke/snowspoke/trial"
)

// onceTimeout bounds the run of try --once.
const onceTimeout = 28 * time.Second

type tryCmd struct {
	Once     bool   `help:"Send a few hundred mixed requests under faults, print what they showed, and exit."`
	Site     bool   `help:"With --once: run daemons of the users' platform before stand-ins on its wire."`
	Faults   bool   `help:"With --once: let the store fail and an engine freeze as well."`
	Daemons  int    `help:"Daemons to run." default:"3"`
	Settings string `help:"Write settings for one more daemon, to run as snowspoked --settings FILE." placeholder:"FILE"`
	Log      string `help:"File for the daemons' logs; - for standard error." default:""`
}

// errViolated is returned when a run violates an invariant.
var errViolated = errors.New("a promise did not hold")

// Run starts a fleet with simulated backend servers on loopback.
func (t *tryCmd) Run() error {
	logs, err := t.logs()
	if err != nil {
		return err
	}
	if t.Site {
		return t.runSite(logs)
	}
	w, err := trial.NewWorld(t.Daemons, trial.Loopback, logging.New(logs, "info"))
	if err != nil {
		return err
	}
	if t.Once {
		return t.runOnce(w)
	}
	defer w.Close()
	t.printAddresses(w)
	if t.Settings != "" {
		if err := w.WriteSettings(t.Settings); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	return nil
}

// logs returns the writer for the logs of the daemons.
func (t *tryCmd) logs() (io.Writer, error) {
	switch t.Log {
	case "":
		return io.Discard, nil
	case "-":
		return os.Stderr, nil
	}
	return os.Create(t.Log)
}

// printAddresses prints the addresses of the fleet and a sample command.
func (t *tryCmd) printAddresses(w *trial.World) {
	for _, p := range w.Daemons {
		fmt.Printf("%s: callers %s operators %s\n", p.Name, p.CallersURL(), p.OperatorsURL())
	}
	fmt.Printf("platform: %s\n\n", w.Platform.URL())
	fmt.Printf("curl -N -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"truck 7 is warm\",\"max_tokens\":12,\"stream\":true}' %s/v1/completions\n",
		trial.Token, trial.Model, w.Daemons[0].CallersURL())
	fmt.Println("\nend with Ctrl-C")
}

// runSite runs --once with daemons of the users' platform.
func (t *tryCmd) runSite(logs io.Writer) error {
	if !t.Once {
		return errors.New("--site goes with --once")
	}
	ctx, cancel := context.WithTimeout(context.Background(), onceTimeout)
	defer cancel()
	summary, problems, err := trial.RunOnSite(ctx, logs, func(s string) { fmt.Println("try:", s) })
	if err != nil {
		return err
	}
	for _, p := range problems {
		fmt.Println("try: problem:", p)
	}
	fmt.Println("try:", summary)
	if len(problems) > 0 {
		return errViolated
	}
	return nil
}

// runOnce sends a fixed load to the fleet, stops the fleet and prints a report.
func (t *tryCmd) runOnce(w *trial.World) error {
	ctx, cancel := context.WithTimeout(context.Background(), onceTimeout)
	defer cancel()
	report := trial.RunMix(ctx, w, t.Faults, func(s string) { fmt.Println("try:", s) })
	for _, p := range report.Problems {
		fmt.Println("try: problem:", p)
	}
	w.Close()
	fmt.Println(report)
	if !report.OK() {
		return errViolated
	}
	return nil
}
