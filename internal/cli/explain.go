// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/internal/explain"
)

// mostUnread is how many lines that can't be read are named; the rest is counted.
const mostUnread = 10

func newExplainCommand(system *System) *cobra.Command {
	var request string
	var failed bool
	cmd := &cobra.Command{
		Use:   "explain [FILE...]",
		Short: "Tell from hosts' logs how requests ended and why",
		Long: `explain reads the decision lines of one or more hosts, from files or, without any,
from its standard input. With --request it prints the lines about one request and how
it ended; without, a table of how requests ended, by cause and route.

What stands before a line's fields, such as the name that a log collector puts there,
names its host; else the file does. Lines that aren't decision lines are named by file
and number.`,
		Example: "  shedpath explain host-1.log host-2.log\n  shedpath explain --request 2468b8ce7c66d151 *.log",
	}
	s := newSettings(cmd)
	s.text("request", "", "id of the request to tell about", &request)
	s.truth("failed", "leave out the requests that were answered or whose callers left", &failed)
	cmd.RunE = func(_ *cobra.Command, files []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		lines, err := readLogs(system, files)
		if err != nil {
			return err
		}
		return explainTo(system.Stdout, explain.Timelines(lines), request, failed)
	}
	return cmd
}

func explainTo(to io.Writer, stories []explain.Timeline, request string, failed bool) error {
	if request == "" {
		return explain.WriteTable(to, chosen(stories, failed))
	}
	for _, s := range stories {
		if s.Request == request {
			return explain.WriteTimeline(to, s)
		}
	}
	return fmt.Errorf("no line is about request %s; above 300 request lines a second a host logs only some requests", request)
}

func chosen(stories []explain.Timeline, failed bool) []explain.Timeline {
	if !failed {
		return stories
	}
	var some []explain.Timeline
	for _, s := range stories {
		if s.Cause.Failed() {
			some = append(some, s)
		}
	}
	return some
}

// readLogs reads every file, or standard input, and names what couldn't be read.
func readLogs(system *System, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		lines, unread, err := explain.Read("stdin", system.Stdin)
		nameUnread(system.Stderr, unread)
		return lines, err
	}
	var all []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, unread, err := explain.Read(name, file)
		_ = file.Close() // it was only read
		nameUnread(system.Stderr, unread)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func nameUnread(to io.Writer, unread []explain.UnreadableLine) {
	for _, u := range unread[:min(len(unread), mostUnread)] {
		fmt.Fprintf(to, "shedpath: %s\n", u)
	}
	if more := len(unread) - mostUnread; more > 0 {
		fmt.Fprintf(to, "shedpath: %s: %d more lines can't be read\n", unread[0].File, more)
	}
}
