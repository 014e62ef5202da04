// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/platform"
	"github.com/shedpath/shedpath/rollout"
)

// rolloutTimeout bounds the wait for a host's response.
const rolloutTimeout = 5 * time.Second

func newRolloutCommand(system *System) *cobra.Command {
	cmd := &cobra.Command{
		Use: "rollout", Short: "Show the rollouts of services to other versions",
		Long: `rollout lists the rollouts of services to upstreams of another version that this host of
shedpath serve knows (SHEDPATH_NODE_FILE is set), and the host that decides on each.`,
		Example: "  shedpath rollout\n  shedpath rollout show orders", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := fetchRollouts(cmd.Context(), system)
			if err != nil {
				return err
			}
			return writeRollouts(system.Stdout, all)
		},
	}
	cmd.AddCommand(&cobra.Command{
		Use: "show SERVICE", Short: "Show what this host has observed of a service's versions",
		Long: `show lists how the versions of a service have answered this host since the rollout was ordered.
The deciding host adds up the observations of all hosts; run the command there to see the
evidence.`,
		Example: "  shedpath rollout show orders", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all, err := fetchRollouts(cmd.Context(), system)
			if err != nil {
				return err
			}
			for _, r := range all {
				if string(r.Service) == args[0] {
					return writeRolloutEvidence(system.Stdout, r)
				}
			}
			return fmt.Errorf("no rollout of %s is known here", args[0])
		},
	})
	return cmd
}

// fetchRollouts queries the local host of shedpath serve for its rollouts.
func fetchRollouts(ctx context.Context, system *System) ([]forward.RolloutEntry, error) {
	path, err := platform.SettingsPath(system.LookupEnv)
	if err != nil {
		return nil, usageError{err}
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, usageError{err}
	}
	if err := settings.ApplyEnvironment(system.LookupEnv); err != nil {
		return nil, usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	all, err := platform.Rollouts(ctx, settings)
	if err != nil {
		return nil, fmt.Errorf("%s can't be queried: %w; is shedpath serve running here?", settings.PeerAddress, err)
	}
	return all, nil
}

func writeRollouts(out io.Writer, all []forward.RolloutEntry) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tVERSION\tPHASE\tAGE\tOF\tEVIDENCE AGAINST\tDECIDED BY")
	for _, r := range all {
		phase := r.Phase.String()
		if r.Withdrawn {
			phase = "withdrawn"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%.1f\t%s\n", r.Service, r.Target, phase, r.Age.Round(time.Millisecond), r.Duration, r.EvidenceAgainst, r.DecidingHost)
	}
	return w.Flush()
}

func writeRolloutEvidence(out io.Writer, r forward.RolloutEntry) error {
	if err := writeRollouts(out, []forward.RolloutEntry{r}); err != nil {
		return err
	}
	measureNames := map[rollout.Measure]string{rollout.ResponseTime: "answer", rollout.TimeToFirstEvent: "first event", rollout.TimeBetweenEvents: "between events"}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nROUTE\tMEASURE\tVERSION\tGOOD\tFAILED\tMEDIAN")
	for _, e := range r.Evidence {
		version := "others"
		if e.Target {
			version = string(r.Target)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%v\n", e.Route, measureNames[e.Measure], version, e.Succeeded, e.Failed, e.Median().Round(time.Millisecond))
	}
	return w.Flush()
}
