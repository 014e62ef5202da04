// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// EnvironmentPrefix is the prefix of every setting's environment variable.
const EnvironmentPrefix = "SHEDPATH_"

// EnvironmentName returns the name of the environment variable of a flag.
func EnvironmentName(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// setting is the value of one flag. It keeps the unparsed text, so that
// settings.load can report the errors of all settings together.
type setting struct {
	name     string
	value    string
	required bool
	// alternative names a setting that may be given instead of this required one.
	alternative string
	parse       func(text string) error
}

// String returns the unparsed text. String, Set and Type implement pflag.Value.
func (v *setting) String() string { return v.value }

// Set keeps the text; settings.load parses it.
func (v *setting) Set(text string) error {
	v.value = text
	return nil
}

// Type returns the placeholder that the help shows for the value.
func (v *setting) Type() string { return "value" }

// settings holds a command's flags, each of which can also be set by an
// environment variable.
type settings struct {
	cmd *cobra.Command
	all []*setting
}

func newSettings(cmd *cobra.Command) *settings { return &settings{cmd: cmd} }

// shorthands maps the names of flags to their one-letter forms.
var shorthands = map[string]string{"file": "f", "output": "o"}

// add declares a setting. A setting that is empty is not parsed.
func (s *settings) add(name, defaultValue, usage string, parse func(text string) error) *setting {
	v := &setting{name: name, value: defaultValue, parse: parse}
	s.all = append(s.all, v)
	s.cmd.Flags().VarP(v, name, shorthands[name], fmt.Sprintf("%s [%s]", usage, EnvironmentName(name)))
	return v
}

// markRequired makes it an error if a setting is empty.
func (s *settings) markRequired(v *setting) { v.required = true }

// load reads the environment variables of the flags that were not given, parses
// all settings, and returns all findings as one usage error.
func (s *settings) load(system *System) error {
	var findings resource.Findings
	for _, v := range s.all {
		source := "--" + v.name
		if !s.cmd.Flags().Changed(v.name) {
			if text, set := system.LookupEnv(EnvironmentName(v.name)); set {
				v.value, source = text, EnvironmentName(v.name)
			}
		}
		if v.value == "" {
			if v.required && !s.isSet(system, v.alternative) {
				findings = append(findings, resource.Finding{
					Field: "--" + v.name, Message: "is missing; give the flag or set " + EnvironmentName(v.name),
				})
			}
			continue
		}
		if err := v.parse(v.value); err != nil {
			findings = append(findings, resource.Finding{Field: source, Message: err.Error()})
		}
	}
	if err := findings.Err(); err != nil {
		return usageError{fmt.Errorf("the settings are not valid:\n%w", err)}
	}
	return nil
}

// isSet reports whether a setting was given as a flag or as a variable that is
// not empty.
func (s *settings) isSet(system *System, name string) bool {
	if name == "" {
		return false
	}
	text, set := system.LookupEnv(EnvironmentName(name))
	return s.cmd.Flags().Changed(name) || set && text != ""
}

func (s *settings) text(name, defaultValue, usage string, into *string) *setting {
	return s.add(name, defaultValue, usage, func(text string) error {
		*into = text
		return nil
	})
}

// listenAddress declares the IP:port of a listener.
func (s *settings) listenAddress(name, defaultValue, usage string, into *string) *setting {
	return s.add(name, defaultValue, usage, func(text string) error {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("want an IP number and port such as 10.0.0.5:8080, not %q", text)
		}
		*into = text
		return nil
	})
}

func (s *settings) url(name, defaultValue, usage string, into *string) *setting {
	return s.add(name, defaultValue, usage, func(text string) error {
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return fmt.Errorf("want a URL such as http://10.0.0.9:8500, not %q", text)
		}
		*into = text
		return nil
	})
}

func (s *settings) duration(name string, defaultValue time.Duration, usage string, into *time.Duration) *setting {
	return s.add(name, defaultValue.String(), usage, func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return fmt.Errorf("want a duration such as 1.5s, not %q", text)
		}
		*into = d
		return nil
	})
}

func (s *settings) number(name string, defaultValue float64, usage string, into *float64) *setting {
	return s.add(name, strconv.FormatFloat(defaultValue, 'g', -1, 64), usage, func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || n < 0 {
			return fmt.Errorf("want a number of at least 0, not %q", text)
		}
		*into = n
		return nil
	})
}

func (s *settings) count(name string, defaultValue int, usage string, into *int) *setting {
	return s.add(name, strconv.Itoa(defaultValue), usage, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return fmt.Errorf("want a whole number of at least 0, not %q", text)
		}
		*into = n
		return nil
	})
}

func (s *settings) boolean(name, usage string, into *bool) *setting {
	v := s.add(name, "false", usage, func(text string) error {
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("want true or false, not %q", text)
		}
		*into = b
		return nil
	})
	s.cmd.Flags().Lookup(name).NoOptDefVal = "true"
	return v
}

func (s *settings) choice(name, defaultValue, usage string, choices []string, into *string) *setting {
	return s.add(name, defaultValue, usage+" ("+strings.Join(choices, ", ")+")", func(text string) error {
		for _, choice := range choices {
			if text == choice {
				*into = text
				return nil
			}
		}
		return fmt.Errorf("want one of %s, not %q", strings.Join(choices, ", "), text)
	})
}

// secret declares a required secret: the flag holds the secret itself, or
// NAME-file names a file that contains it. minLength is in bytes.
func (s *settings) secret(name, usage string, minLength int, into *string) {
	check := func(text string) error {
		if len(text) < minLength {
			return fmt.Errorf("has %d characters; it needs at least %d", len(text), minLength)
		}
		*into = text
		return nil
	}
	direct := s.add(name, "", usage, check)
	direct.required, direct.alternative = true, name+"-file"
	s.add(name+"-file", "", usage+", read from this file", func(path string) error {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return check(strings.TrimSpace(string(text)))
	})
}

// peers declares a list of HOST@ZONE=IP:port, separated by commas.
func (s *settings) peers(name, usage string, into *[]member.Entry) *setting {
	return s.add(name, "", usage, func(text string) error {
		for item := range strings.SplitSeq(text, ",") {
			peer, err := parsePeer(strings.TrimSpace(item))
			if err != nil {
				return err
			}
			*into = append(*into, peer)
		}
		return nil
	})
}

func parsePeer(text string) (member.Entry, error) {
	identity, address, hasAddress := strings.Cut(text, "=")
	host, zone, hasZone := strings.Cut(identity, "@")
	if _, err := netip.ParseAddrPort(address); !hasAddress || !hasZone || host == "" || zone == "" || err != nil {
		return member.Entry{}, fmt.Errorf("want HOST@ZONE=IP:port, not %q", text)
	}
	return member.Entry{ID: member.HostID(host), Zone: member.Zone(zone), PeerAddress: address}, nil
}
