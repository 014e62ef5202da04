// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Command shedpath serves model generations and plain service calls from entry
// hosts. Its help lists the subcommands.
package main

import (
	"os"

	"github.com/shedpath/shedpath/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.ProcessSystem()))
}
