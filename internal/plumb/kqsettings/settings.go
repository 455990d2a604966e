// Package kqsettings declares settings that are read from flags and environment variables, and
// validates them when the process starts.
package kqsettings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

const envPrefix = "KUMQUATSWITCH_"

// Setting describes a setting for docs/SETTINGS.md.
type Setting struct {
	// Name is the name of the flag without the leading dashes.
	Name string
	// Env is the name of the environment variable.
	Env string
	// Default is the value if neither the flag nor the variable is set.
	Default string
	// Expected describes the accepted values, with their unit.
	Expected string
	// Usage describes the setting.
	Usage string
}

// Set holds the settings of a command.
type Set struct {
	flags     *pflag.FlagSet
	settings  []Setting
	lookupEnv func(string) (string, bool)
}

// New returns an empty Set that adds its flags to the command c.
func New(c *cobra.Command) *Set {
	return &Set{flags: c.Flags(), lookupEnv: os.LookupEnv}
}

// EnvName returns the name of the environment variable for a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Settings returns the declared settings.
func (s *Set) Settings() []Setting { return s.settings }

// value is a pflag.Value that parses and validates a text with parse. Its errors only state what
// is expected.
type value struct {
	text     string
	expected string
	parse    func(string) error
}

func (v *value) String() string { return v.text }
func (v *value) Type() string   { return v.expected }
func (v *value) Set(t string) error {
	if err := v.parse(t); err != nil {
		return fmt.Errorf("expected %s", v.expected)
	}
	v.text = t
	return nil
}

// declare adds a setting and its flag. It panics if the default is not empty and parse rejects
// it.
func (s *Set) declare(name, def, expected, usage string, parse func(string) error) {
	v := &value{text: def, expected: expected, parse: parse}
	if def != "" {
		if err := parse(def); err != nil {
			panic(fmt.Sprintf("setting %s: default %q: %v", name, def, err))
		}
	}
	s.flags.Var(v, name, usage+" ("+EnvName(name)+")")
	s.settings = append(s.settings, Setting{name, EnvName(name), def, expected, usage})
}

// Text declares a text setting.
func (s *Set) Text(p *string, name, def, usage string) {
	*p = def
	s.declare(name, def, "text", usage, func(t string) error { *p = t; return nil })
}

// Choice declares a text setting with a fixed list of accepted values.
func (s *Set) Choice(p *string, name, def string, choices []string, usage string) {
	expected := "one of " + strings.Join(choices, ", ")
	s.declare(name, def, expected, usage, func(t string) error {
		for _, c := range choices {
			if c == t {
				*p = t
				return nil
			}
		}
		return fmt.Errorf("the value is not one of the choices")
	})
}

// Bool declares a boolean setting; the flag without a value means true.
func (s *Set) Bool(p *bool, name string, def bool, usage string) {
	s.declare(name, strconv.FormatBool(def), "true or false", usage, func(t string) (err error) {
		*p, err = strconv.ParseBool(t)
		return err
	})
	s.flags.Lookup(name).NoOptDefVal = "true"
}

// Int declares a whole number from low to high.
func (s *Set) Int(p *int, name string, def, low, high int, usage string) {
	expected := fmt.Sprintf("a whole number from %d to %d", low, high)
	s.declare(name, strconv.Itoa(def), expected, usage, func(t string) error {
		n, err := strconv.Atoi(t)
		if err != nil || n < low || n > high {
			return fmt.Errorf("not a whole number within the bounds")
		}
		*p = n
		return nil
	})
}

// Duration declares a duration from low to high.
func (s *Set) Duration(p *time.Duration, name string, def, low, high time.Duration, usage string) {
	expected := fmt.Sprintf("a duration from %s to %s", low, high)
	s.declare(name, def.String(), expected, usage, func(t string) error {
		d, err := time.ParseDuration(t)
		if err != nil || d < low || d > high {
			return fmt.Errorf("not a duration within the bounds")
		}
		*p = d
		return nil
	})
}

// AddrPort declares an IP address with a port.
func (s *Set) AddrPort(p *netip.AddrPort, name, def, usage string) {
	s.declare(name, def, "an IP address and port such as 127.0.0.1:7000", usage, func(t string) (err error) {
		*p, err = netip.ParseAddrPort(t)
		return err
	})
}

// AddrPorts declares a list of IP addresses with ports, separated by commas.
func (s *Set) AddrPorts(p *[]netip.AddrPort, name, def, usage string) {
	s.declare(name, def, "IP addresses with ports, separated by commas", usage, func(t string) error {
		var out []netip.AddrPort
		for _, part := range strings.Split(t, ",") {
			a, err := netip.ParseAddrPort(strings.TrimSpace(part))
			if err != nil {
				return err
			}
			out = append(out, a)
		}
		*p = out
		return nil
	})
}

// Load sets every setting whose flag was not given from its environment variable. It returns an
// error for the first invalid value, which names the variable.
func (s *Set) Load() error {
	for _, d := range s.settings {
		t, ok := s.lookupEnv(d.Env)
		if !ok || s.flags.Changed(d.Name) {
			continue
		}
		if err := s.flags.Lookup(d.Name).Value.Set(t); err != nil {
			return kqresult.Errorf(kqresult.BadSettings, "%s=%q: %v", d.Env, t, err)
		}
	}
	return nil
}

// Require returns an error for the first of the named settings that is empty.
func (s *Set) Require(names ...string) error {
	for _, n := range names {
		f := s.flags.Lookup(n)
		if f.Value.String() == "" {
			return kqresult.Errorf(kqresult.BadSettings, "--%s (%s) is not set: expected %s", n, EnvName(n), f.Value.Type())
		}
	}
	return nil
}
