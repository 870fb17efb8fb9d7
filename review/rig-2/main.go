// Command rig-2 plays the scripts of the second review: a small deployment of routers as processes, before stand-ins
// of the platform, runners and clients on loopback addresses and the real clock.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// play is a case: it reports whether the rule was broken, or an error if it couldn't run.
type play func(w *world, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"endless": playEndless,
	"pause":   playPause,
	"grace":   playGrace,
	"late":    playLate,

	"rollback": playRollback,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE DIRECTORY")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	out := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	out.say("%s, with the disruption: %v", os.Args[1], trouble)
	w, err := newWorld(out)
	if err != nil {
		out.say("couldn't run: %v", err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := plays[os.Args[1]](w, trouble)
	switch {
	case err != nil:
		out.say("couldn't run: %v", err)
		return exitNotRun
	case broken:
		out.say("the rule was broken")
		return exitBroken
	}
	out.say("the rule held")
	return exitHeld
}
