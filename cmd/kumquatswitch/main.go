// Command kumquatswitch schedules colocated latency-critical and batch work.
package main

import (
	"os"

	"github.com/kumquatswitch/kumquatswitch/internal/command/kqcommand"
)

func main() { os.Exit(kqcommand.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
