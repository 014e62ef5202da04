// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package cli implements shedpath's command line: the daemons, the stand-ins for
// tests, and the operators' commands.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// System holds the parts of the process that a command uses; tests can replace them.
type System struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// LookupEnv returns an environment variable and whether it is set.
	LookupEnv func(name string) (string, bool)
	// NotifySignals returns a channel of stop signals and a function that ends
	// their delivery.
	NotifySignals func() (<-chan os.Signal, func())
}

// ProcessSystem returns the System of the current process.
func ProcessSystem() System {
	return System{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, LookupEnv: os.LookupEnv,
		NotifySignals: func() (<-chan os.Signal, func()) {
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			return signals, func() { signal.Stop(signals) }
		},
	}
}

// usageError reports wrong arguments, flags or settings of a command.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// errAlreadyReported fails a command that has already printed the cause.
var errAlreadyReported = errors.New("failed")

// Main runs a command and returns its exit code: 0 for success, 1 for a failure,
// and 2 for wrong arguments or settings.
func Main(args []string, s System) int {
	root := newRootCommand(&s)
	root.SetArgs(args)
	root.SetIn(s.Stdin)
	root.SetOut(s.Stdout)
	root.SetErr(s.Stderr)
	err := root.ExecuteContext(context.Background())
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errAlreadyReported):
		return exitFailure
	case errors.As(err, &usage):
		fmt.Fprintf(s.Stderr, "shedpath: %v\n", err)
		return exitUsage
	default:
		fmt.Fprintf(s.Stderr, "shedpath: %v\n", err)
		return exitFailure
	}
}

func newRootCommand(s *System) *cobra.Command {
	root := &cobra.Command{
		Use:   "shedpath",
		Short: "Serve language model generations and service calls",
		Long: `shedpath serves language model generations and plain service calls from
small entry hosts in several availability zones.

Every setting is a flag and an environment variable: --peer-key is also
SHEDPATH_PEER_KEY. A flag takes precedence over its variable.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageError{fmt.Errorf("%w; see '%s --help'", err, cmd.CommandPath())}
	})
	root.AddCommand(
		newEntryCommand(s), newServeCommand(s), newDevCommand(s), newDemoCommand(s), newApplyCommand(s), newGetCommand(s),
		newWatchCommand(s), newDeleteCommand(s), newDrainCommand(s), newUndrainCommand(s), newStatusCommand(s), newQuarantineCommand(s), newRolloutCommand(s), newLoadCommand(s), newExplainCommand(s),
	)
	wrapArgErrors(root)
	return root
}

// wrapArgErrors turns the argument errors of cmd and its subcommands into usage
// errors.
func wrapArgErrors(cmd *cobra.Command) {
	check := cmd.Args
	if check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
				return usageError{fmt.Errorf("%w; see '%s --help'", err, cmd.CommandPath())}
			}
			return nil
		}
	}
	for _, child := range cmd.Commands() {
		wrapArgErrors(child)
	}
}

// logLevels maps the values of --log-level to filters.
var logLevels = map[string]level.Option{
	"debug": level.AllowDebug(), "info": level.AllowInfo(), "warn": level.AllowWarn(), "error": level.AllowError(),
}

func newLogger(w io.Writer, name string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, logLevels[name])
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// signalContexts returns two contexts: the first signal cancels stop, the second
// cancels cut. The caller must call release.
func (s *System) signalContexts(parent context.Context) (stop, cut context.Context, release func()) {
	stop, cancelStop := context.WithCancel(parent)
	cut, cancelCut := context.WithCancel(parent)
	signals, unsubscribe := s.NotifySignals()
	done := make(chan struct{})
	go func() {
		for _, cancel := range []context.CancelFunc{cancelStop, cancelCut} {
			select {
			case <-signals:
				cancel()
			case <-done:
				return
			}
		}
	}()
	return stop, cut, func() {
		unsubscribe()
		close(done)
		cancelStop()
		cancelCut()
	}
}
