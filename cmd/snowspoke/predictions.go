package main

import (
	"fmt"
	"os"
	"time"

	"github.com/snowspoke/snowspoke/prediction"
)

type predictionsCmd struct {
	Log    *os.File      `arg:"" help:"Decision log of one or more daemons, - for standard input."`
	Period time.Duration `help:"Length of the periods that are told apart." default:"5s"`
}

// Run compares the predicted times to the first event in a log with the measured ones.
func (c *predictionsCmd) Run() error {
	defer c.Log.Close()
	if c.Period <= 0 {
		return fmt.Errorf("%w: a period of %s", errUsage, c.Period)
	}
	periods, err := prediction.Read(c.Log, c.Period)
	if err != nil {
		return err
	}
	return prediction.Write(os.Stdout, periods)
}
