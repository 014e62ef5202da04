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

// maxUnreadShown is how many unreadable lines of a file are listed; the others are
// only counted.
const maxUnreadShown = 10

func newExplainCommand(system *System) *cobra.Command {
	var request string
	var failed bool
	cmd := &cobra.Command{
		Use:   "explain [FILE...]",
		Short: "Show from hosts' logs how requests ended and why",
		Long: `explain reads the decision lines of one or more hosts, from files or, without any,
from its standard input. With --request it prints the lines about one request and how
it ended; without, a table of how requests ended, by cause and route.

Text before a line's first field, such as a name added by a log collector, identifies
its host; without such text the file name does. Lines that aren't decision lines are
reported by file and line number.`,
		Example: "  shedpath explain host-1.log host-2.log\n  shedpath explain --request 2468b8ce7c66d151 *.log",
	}
	s := newSettings(cmd)
	s.text("request", "", "id of the request to tell about", &request)
	s.boolean("failed", "leave out the requests that were answered or whose callers left", &failed)
	cmd.RunE = func(_ *cobra.Command, files []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		lines, err := readLogs(system, files)
		if err != nil {
			return err
		}
		return writeExplanation(system.Stdout, explain.Timelines(lines), request, failed)
	}
	return cmd
}

// writeExplanation writes the story of one request, or a table of all requests if
// request is empty.
func writeExplanation(out io.Writer, stories []explain.Timeline, request string, failed bool) error {
	if request == "" {
		return explain.WriteTable(out, filterStories(stories, failed))
	}
	for _, s := range stories {
		if s.Request == request {
			return explain.WriteTimeline(out, s)
		}
	}
	return fmt.Errorf("no line is about request %s; above 300 request lines a second a host logs only some requests", request)
}

// filterStories returns all stories, or only those of failed requests.
func filterStories(stories []explain.Timeline, failed bool) []explain.Timeline {
	if !failed {
		return stories
	}
	var failures []explain.Timeline
	for _, s := range stories {
		if s.Cause.Failed() {
			failures = append(failures, s)
		}
	}
	return failures
}

// readLogs reads the files, or standard input if there are none, and reports
// unreadable lines on standard error.
func readLogs(system *System, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		lines, unread, err := explain.Read("stdin", system.Stdin)
		reportUnread(system.Stderr, unread)
		return lines, err
	}
	var all []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, unread, err := explain.Read(name, file)
		_ = file.Close() // the file was only read
		reportUnread(system.Stderr, unread)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func reportUnread(out io.Writer, unread []explain.UnreadableLine) {
	for _, u := range unread[:min(len(unread), maxUnreadShown)] {
		fmt.Fprintf(out, "shedpath: %s\n", u)
	}
	if more := len(unread) - maxUnreadShown; more > 0 {
		fmt.Fprintf(out, "shedpath: %s: %d more lines can't be read\n", unread[0].File, more)
	}
}
