// Command standins-2 plays the cases of the second independent review: it starts the daemons of the
// deploy file as processes, with stand-ins of the store, the operator, backend servers and callers
// around them, and judges what callers and backend servers saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitKept   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case. Its processes end with this one.
const maxRun = 112 * time.Second

func main() {
	cases := map[string]func(*play){"drill": playDrill, "frozen": playFrozen, "alien": playAlien, "silent": playSilent, "crashed": playCrashed}
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case, with its record in a folder.
func run(c func(*play), folder string) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	p := &play{trouble: os.Getenv("TROUBLE") != "0", record: file, began: time.Now(), dir: dir}
	defer p.endAll()
	time.AfterFunc(maxRun, func() {
		p.note("not run: over %s", maxRun)
		p.endAll()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	})
	defer func() {
		if failure, is := recover().(notRun); is {
			p.note("not run: %s", failure)
			code = exitNotRun
		}
	}()
	p.note("trouble %t", p.trouble)
	c(p)
	broken := p.brokenCount()
	p.note("result: broken %d times", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitKept
}
