// Command rig plays the cases of the review: it starts entries and agents of the project as processes, with
// small stand-ins of the store, the workers and the requesters that follow the users' pages, and checks one
// rule by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime is how long a case may take.
const maxCaseTime = 115 * time.Second

// outcome is the result of a case: whether the rule was broken, or why the case could not run.
type outcome struct {
	broken bool
	text   string
	err    error
}

func held(format string, args ...any) outcome { return outcome{text: fmt.Sprintf(format, args...)} }
func broken(format string, args ...any) outcome {
	return outcome{broken: true, text: fmt.Sprintf(format, args...)}
}
func notRun(format string, args ...any) outcome {
	return outcome{err: fmt.Errorf(format, args...)}
}

// play plays a case. With trouble false it leaves the disruption out.
type play func(c *cell, trouble bool) outcome

var cases = map[string]play{}

func main() {
	binary := flag.String("bin", "target/kumquatswitch", "the program of the deploy file")
	path := flag.String("record", "record.txt", "the file to write the record to")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *binary, *path))
}

// run plays a case and returns the exit code.
func run(name, binary, path string) int {
	p, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCell(r, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, with the disruption: %t", name, trouble)
	done := make(chan outcome, 1)
	go func() { done <- p(c, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-time.After(maxCaseTime):
		o = notRun("the case took longer than %s", maxCaseTime)
	case s := <-signals:
		o = notRun("got %s", s)
	}
	c.stop()
	return report(r, o)
}

// report writes the result to the record and to standard output and returns the exit code.
func report(r *record, o outcome) int {
	text, code := "rule held: "+o.text, exitHeld
	switch {
	case o.err != nil:
		text, code = "not run: "+o.err.Error(), exitNotRun
	case o.broken:
		text, code = "rule broken: "+o.text, exitBroken
	}
	r.logf("%s", text)
	fmt.Println(text)
	return code
}
