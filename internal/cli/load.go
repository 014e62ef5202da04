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
	loadSettings := load.Settings{Mix: load.DefaultMix()}
	var entries, mixFile, format string
	var seed int
	cmd := &cobra.Command{
		Use: "load", Short: "Send calls at a steady rate and report what callers saw", Args: cobra.NoArgs,
		Long: `load sends generations and service calls at a fixed rate, without waiting for
earlier ones to end, and reads every stream token by token. It exits with 1 if a
stream had a token missing, repeated or out of order.`,
		Example: "  shedpath load --entries http://127.0.0.1:8080 --key demo-counter --rate 5 --for 30s",
	}
	s := newSettings(cmd)
	s.markRequired(s.text("entries", "", "URLs of entries' caller sides, with commas between", &entries))
	s.markRequired(s.text("key", "", "client account's key", &loadSettings.Key))
	s.number("rate", 2, "calls a second", &loadSettings.Rate)
	s.duration("for", 10*time.Second, "how long calls are sent", &loadSettings.Duration)
	s.count("seed", 1, "seed of the calls and their times", &seed)
	s.text("mix", "", "YAML file with the kinds of call; see examples/mix.yaml", &mixFile)
	s.boolean("come-back", "have refused callers come back once, when they were told to", &loadSettings.RetryRefused)
	s.choice("output", outputTable, "form of the report", []string{outputTable, outputJSON}, &format)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		if err := readMix(mixFile, &loadSettings.Mix); err != nil {
			return err
		}
		if loadSettings.Rate <= 0 {
			return usageError{errors.New("--rate must be above 0")}
		}
		loadSettings.Entries, loadSettings.Seed, loadSettings.Progress = strings.Split(entries, ","), uint64(seed), system.Stderr
		stop, _, release := system.signalContexts(cmd.Context())
		defer release()
		return writeReport(system, format, load.Run(stop, loadSettings))
	}
	return cmd
}

// readMix reads the kinds of call from a YAML file; without a file, the mix stays
// as it is.
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

// writeReport writes the report. It returns errAlreadyReported if a stream had
// tokens missing, repeated or out of order.
func writeReport(system *System, format string, r load.Report) error {
	write := r.WriteText
	if format == outputJSON {
		write = r.WriteJSON
	}
	if err := write(system.Stdout); err != nil {
		return err
	}
	for _, k := range r.Kinds {
		if k.OutOfOrder > 0 {
			fmt.Fprintln(system.Stderr, "shedpath: a stream had a token missing, twice or out of order")
			return errAlreadyReported
		}
	}
	return nil
}
