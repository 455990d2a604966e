// Package kqwire holds the generated messages and the connect services that
// the processes speak. The source is kumquatswitch.proto; regenerate with generate.sh.
package kqwire
