// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package hostsignal receives the signals of an entry host from the first moments of its process on, when most other
// packages aren't initialised yet. Until then a SIGHUP ends the process, although it only asks to reread the settings.
// The package imports only what it needs to be initialised early.
package hostsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// Command is the subcommand that runs an entry host. The signals of other commands keep their default actions until
// Subscribe is called.
const Command = "serve"

var (
	// Hangups receives SIGHUP, and Stops SIGTERM and SIGINT. What arrives in a channel before the first signal is
	// received counts as one.
	Hangups = make(chan os.Signal, 1)
	Stops   = make(chan os.Signal, 1)
)

func init() {
	if len(os.Args) > 1 && os.Args[1] == Command {
		Subscribe()
	}
}

// Subscribe has the channels receive signals until the process ends, so that no signal changes its exit status.
func Subscribe() {
	signal.Notify(Hangups, syscall.SIGHUP)
	signal.Notify(Stops, syscall.SIGTERM, syscall.SIGINT)
}
