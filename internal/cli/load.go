// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/internal/load"
)

func newLoadCommand(system *System) *cobra.Command {
	chosen := load.Settings{Mix: load.DefaultMix()}
	var entries, file, form string
	var seed int
	cmd := &cobra.Command{
		Use: "load", Short: "Send calls at a steady rate and report what callers saw", Args: cobra.NoArgs,
		Long: `load sends generations and service calls at a rate, whatever becomes of the
earlier ones, and reads every stream token by token. It exits with 1 when a
stream had a token missing, twice or out of order.`,
		Example: "  shedpath load --entries http://127.0.0.1:8080 --key demo-counter --rate 5 --for 30s",
	}
	s := newSettings(cmd)
	s.required(s.text("entries", "", "URLs of entries' caller sides, with commas between", &entries))
	s.required(s.text("key", "", "client account's key", &chosen.Key))
	s.number("rate", 2, "calls a second", &chosen.Rate)
	s.duration("for", 10*time.Second, "how long calls are sent", &chosen.Duration)
	s.count("seed", 1, "seed of the calls and their times", &seed)
	s.text("mix", "", "YAML file with the kinds of call; see examples/mix.yaml", &file)
	s.truth("come-back", "have refused callers come back once, when they were told to", &chosen.RetryRefused)
	s.choice("output", formTable, "form of the report", []string{formTable, formJSON}, &form)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		if err := readMix(file, &chosen.Mix); err != nil {
			return err
		}
		if chosen.Rate <= 0 {
			return usageError{errors.New("--rate must be above 0")}
		}
		chosen.Entries, chosen.Seed, chosen.Progress = strings.Split(entries, ","), uint64(seed), system.Stderr
		stop, _, release := system.untilSignals(cmd.Context())
		defer release()
		return report(system, form, load.Run(stop, chosen))
	}
	return cmd
}

func readMix(file string, into *load.Mix) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return usageError{err}
	}
	mix, err := load.ParseMix(text)
	if err != nil {
		return usageError{fmt.Errorf("%s is not valid:\n%w", file, err)}
	}
	*into = mix
	return nil
}

func report(system *System, form string, r load.Report) error {
	write := r.WriteText
	if form == formJSON {
		write = r.WriteJSON
	}
	if err := write(system.Stdout); err != nil {
		return err
	}
	for _, k := range r.Kinds {
		if k.OutOfOrder > 0 {
			fmt.Fprintln(system.Stderr, "shedpath: a stream had a token missing, twice or out of order")
			return errSilent
		}
	}
	return nil
}
