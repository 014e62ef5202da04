// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Command harness-2 has the stand-ins of the second review's cases and plays them. It needs nothing but the
// standard library, and talks to the project's programs over their published interfaces only.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: harness-2 worker ... | play CASE RECORD")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "worker":
		os.Exit(runWorker(os.Args[2:]))
	case "play":
		os.Exit(play(os.Args[2], os.Args[3]))
	}
	os.Exit(2)
}

// play plays a case. The result is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
func play(name, record string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.end()
	go func() {
		interrupts := make(chan os.Signal, 1)
		signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)
		<-interrupts
		s.end()
		os.Exit(2)
	}()
	broken, err := run(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.note("the case couldn't run", "", "", err.Error())
		fmt.Fprintln(os.Stderr, err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			s.note("rule broken", "", "", b)
			fmt.Println(b)
		}
		return 1
	}
	s.note("the rule held", "", "", nil)
	return 0
}
