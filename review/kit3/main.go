// Command kit3 plays the cases of the third review with the project's programs as processes, and with
// stand-ins of the store, the workers and the clients that follow the users' pages. Its exit status is 1 if
// the rule of the case was broken, 0 if it held and 2 if the case could not run.
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

var log struct {
	sync.Mutex
	began time.Time
	file  *os.File
}

// record writes a line to the record.
func record(format string, values ...any) {
	log.Lock()
	defer log.Unlock()
	fmt.Fprintf(log.file, "%8.3f %s\n", time.Since(log.began).Seconds(), fmt.Sprintf(format, values...))
}

// running holds the processes that the case has started and that have not ended.
var running sync.Map // *os.Process

// unable ends the case and its processes because it could not run.
func unable(format string, values ...any) {
	record("the case could not run: "+format, values...)
	leave(2)
}

// leave ends what still runs, and this process with it.
func leave(status int) {
	running.Range(func(p, _ any) bool {
		_ = p.(*os.Process).Kill()
		return true
	})
	os.Exit(status)
}

// cases maps the name of a case to its play, which reports how the rule was broken, or "".
var cases = map[string]func(d *deployment, trouble bool) string{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	f, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log.began, log.file = time.Now(), f
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, with the disruption: %t", os.Args[1], trouble)
	// A case takes 120 seconds at most.
	time.AfterFunc(115*time.Second, func() { unable("it took too long") })
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		unable("it was stopped")
	}()
	d := newDeployment(os.Args[2])
	broken := cases[os.Args[1]](d, trouble)
	d.end()
	if broken != "" {
		record("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	record("the rule held")
	fmt.Println("the rule held")
}
