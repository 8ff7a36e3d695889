// Package standins runs the cases of the review: it starts the daemons of the deploy file as
// separate processes on loopback, before stand-ins of the platform, its runners and its clients.
// review/build.sh builds its test binary, which runs a case if it is given one. A plain test run
// has nothing to run here.
package standins

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// maxDuration ends a case that does not end by itself.
const maxDuration = 110 * time.Second

// Flags of a case.
var (
	caseName = flag.String("case", "", "name of the case, none for a test run")
	caseDir  = flag.String("dir", ".", "folder of the case, for record.txt")
	rootDir  = flag.String("root", ".", "root of the repository, with target/")
)

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	flag.Parse()
	if *caseName == "" {
		os.Exit(m.Run())
	}
	os.Exit(run())
}

// run plays one case and returns its exit code.
func run() int {
	play := map[string]func(*world) error{"reborn": playReborn, "pipelined": playPipelined, "uploads": playUploads, "leaving": playLeaving}[*caseName]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *caseName)
		return exitCannotRun
	}
	w, err := newWorld(*rootDir, *caseDir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer w.close()
	result := make(chan error, 1)
	go func() { result <- play(w) }()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-result:
	case s := <-ended:
		err = fmt.Errorf("ended by %s", s)
	case <-time.After(maxDuration):
		err = errors.New("the case did not end in time")
	}
	switch {
	case err == nil:
		w.notef("held")
		return exitHeld
	case errors.Is(err, errBroken):
		w.notef("%v", err)
		return exitBroken
	}
	w.notef("could not run: %v", err)
	return exitCannotRun
}
