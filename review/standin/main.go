// Command standin plays the cases of the review: it starts the project's processes as a small deployment
// on loopback, with stand-ins of the store, the workers and the callers.
package main

import (
	"flag"
	"fmt"
	"os"
)

// play is one case. It reports whether the rule held.
type play func(c *cluster, trouble bool) (held bool, err error)

// scenario is a case with the deployment that it needs.
type scenario struct {
	size  size
	quiet bool
	queue string
	play  play
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	x, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	record.quiet = x.quiet
	c, err := newCluster(record, x.size)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	c.watch()
	if err = c.start(x.queue); err != nil {
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	held, err := x.play(c, trouble)
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		record.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	record.add("the rule was broken")
	fmt.Println("the rule was broken")
	return exitBroken
}
