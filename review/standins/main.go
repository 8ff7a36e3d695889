// Command standins runs the cases of the review: it starts the daemons of the deploy file as
// separate processes on loopback, before stand-ins of the platform, its runners and its clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
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

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	os.Exit(run())
}

// run plays one case and returns its exit code.
func run() int {
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	root := flag.String("root", ".", "root of the repository, with target/")
	name := flag.String("case", "", "name of the case")
	flag.Parse()
	play := map[string]func(*world) error{"reborn": playReborn, "pipelined": playPipelined, "uploads": playUploads, "leaving": playLeaving}[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitCannotRun
	}
	w, err := newWorld(*root, *dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer w.close()
	result := make(chan error, 1)
	go func() { result <- play(w) }()
	select {
	case err = <-result:
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
