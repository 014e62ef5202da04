// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/platform"
	"github.com/shedpath/shedpath/quarantine"
)

// quarantineItem describes a request, or a part of prompts, during which upstreams ended.
type quarantineItem struct {
	Fingerprint         string  `json:"asks"`
	Part                string  `json:"part"`
	Account             string  `json:"account"`
	Route               string  `json:"route"`
	Held                bool    `json:"held"`
	UpstreamsEnded      int     `json:"upstreamsEnded"`
	LastEndedAgoSeconds float64 `json:"lastEndedAgoSeconds"`
}

// quarantineTimeout bounds the wait for a host's response.
const quarantineTimeout = 5 * time.Second

func newQuarantineCommand(system *System) *cobra.Command {
	cmd := newListOrReleaseCommand(system, &cobra.Command{
		Use: "quarantine", Short: "Show the requests and parts of prompts during which upstreams ended",
		Long: `quarantine lists the requests, and the parts of prompts, during which upstreams
ended; every host has the whole list. What has the standing "held" is sent to no
upstream. On a host of
shedpath serve (SHEDPATH_NODE_FILE is set) the command queries that host, otherwise
an entry's operator side.`,
		Example: "  shedpath quarantine\n  shedpath quarantine release 556781ddacdea7a6bcd06ac9cb55ae24fbff04418df9fb38", Args: cobra.NoArgs,
	})
	cmd.AddCommand(newListOrReleaseCommand(system, &cobra.Command{
		Use: "release ASKS", Short: "Let a request or part through again, after its upstreams are repaired",
		Long:    `release removes a request or part from the quarantine of every host; ASKS is the value in the list.`,
		Example: "  shedpath quarantine release 556781ddacdea7a6bcd06ac9cb55ae24fbff04418df9fb38", Args: cobra.ExactArgs(1),
	}))
	return cmd
}

// newListOrReleaseCommand completes cmd as a command that lists the quarantine, or
// releases the request whose fingerprint is the argument.
func newListOrReleaseCommand(system *System, cmd *cobra.Command) *cobra.Command {
	var flags clientFlags
	s := newSettings(cmd)
	flags.declare(s)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), quarantineTimeout)
		defer cancel()
		var release *quarantine.Fingerprint
		if len(args) > 0 {
			f, err := quarantine.ParseFingerprint(args[0])
			if err != nil {
				return usageError{err}
			}
			release = &f
		}
		if path, err := platform.SettingsPath(system.LookupEnv); err == nil {
			return runQuarantineOnHost(ctx, system.Stdout, system.LookupEnv, path, release)
		}
		if err := s.load(system); err != nil {
			return err
		}
		return runQuarantineByAPI(ctx, system.Stdout, flags.newClient(), release)
	}
	return cmd
}

// runQuarantineOnHost lists or releases through the host whose settings file is at path.
func runQuarantineOnHost(ctx context.Context, out io.Writer, environment func(string) (string, bool), path string, release *quarantine.Fingerprint) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return usageError{err}
	}
	if err := settings.ApplyEnvironment(environment); err != nil {
		return usageError{err}
	}
	entries, released, err := platform.Quarantine(ctx, settings, release)
	if err != nil {
		return fmt.Errorf("%s can't be queried: %w; is shedpath serve running here?", settings.PeerAddress, err)
	}
	if release != nil {
		return writeReleased(out, *release, released)
	}
	var items []quarantineItem
	for _, e := range entries {
		items = append(items, quarantineItem{e.Request.String(), string(e.Request.Part()), e.Caller, e.Route, e.Standing == quarantine.Held, e.UpstreamsEnded, e.SinceLastEnd.Seconds()})
	}
	return writeQuarantine(out, items)
}

// runQuarantineByAPI lists or releases through an entry's operator API.
func runQuarantineByAPI(ctx context.Context, out io.Writer, c *apiClient, release *quarantine.Fingerprint) error {
	if release != nil {
		resp, err := c.request(ctx, http.MethodDelete, "/quarantine/"+release.String(), nil, nil)
		if err != nil {
			return err
		}
		return closeBody(writeReleased(out, *release, true), resp.Body)
	}
	resp, err := c.request(ctx, http.MethodGet, "/quarantine", nil, nil)
	if err != nil {
		return err
	}
	var items []quarantineItem
	err = json.NewDecoder(resp.Body).Decode(&items)
	if err = closeBody(err, resp.Body); err != nil {
		return err
	}
	return writeQuarantine(out, items)
}

// closeBody closes body and returns err, or the error of closing if err is nil.
func closeBody(err error, body io.Closer) error {
	if closing := body.Close(); err == nil {
		return closing
	}
	return err
}

func writeReleased(out io.Writer, f quarantine.Fingerprint, released bool) error {
	if !released {
		return fmt.Errorf("nothing is against %s here", f)
	}
	_, err := fmt.Fprintf(out, "%s is let through again\n", f)
	return err
}

func writeQuarantine(out io.Writer, items []quarantineItem) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ASKS\tACCOUNT\tROUTE\tUPSTREAMS ENDED\tLAST\tSTANDING\tPART")
	for _, q := range items {
		standing := "suspect"
		if q.Held {
			standing = "held"
		}
		last := time.Duration(q.LastEndedAgoSeconds * float64(time.Second)).Round(time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v ago\t%s\t%s\n", q.Fingerprint, orDash(q.Account), orDash(q.Route), q.UpstreamsEnded, last, standing, orDash(q.Part))
	}
	return w.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
