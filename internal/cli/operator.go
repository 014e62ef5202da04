// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"sigs.k8s.io/yaml"

	"github.com/shedpath/shedpath/resource"
)

// newOperatorCommand completes cmd as a command that calls an entry's operator
// API. addSettings, if not nil, declares the command's own settings.
func newOperatorCommand(system *System, cmd *cobra.Command, addSettings func(s *settings), run func(ctx context.Context, c *apiClient, args []string) error) *cobra.Command {
	var flags clientFlags
	s := newSettings(cmd)
	flags.declare(s)
	if addSettings != nil {
		addSettings(s)
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		return run(cmd.Context(), flags.newClient(), args)
	}
	return cmd
}

// parseKind parses the plural or singular name of a resource kind.
func parseKind(text string) (resource.Kind, error) {
	for _, kind := range resource.Kinds() {
		if text == string(kind) || text+"s" == string(kind) {
			return kind, nil
		}
	}
	return "", usageError{fmt.Errorf("there is no kind %q; the kinds are %v", text, resource.Kinds())}
}

func newApplyCommand(system *System) *cobra.Command {
	var file string
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Declare resources from a YAML or JSON file",
		Long: `apply checks all documents of a file first, then declares them in order. A
document with a resourceVersion is accepted only if the resource is still at
that version.`,
		Example: "  shedpath apply -f examples/site.yaml --wait 5s\n  cat route.yaml | shedpath apply -f -",
		Args:    cobra.NoArgs,
	}
	return newOperatorCommand(system, cmd, func(s *settings) {
		s.markRequired(s.text("file", "", "YAML or JSON file; - reads the standard input", &file))
		s.duration("wait", 0, "how long to wait until the entry is ready, and until the resources are in force in every zone", &wait)
	}, func(ctx context.Context, c *apiClient, _ []string) error {
		documents, err := readDocuments(system, file)
		if err != nil {
			return err
		}
		return apply(ctx, system.Stdout, c, documents, wait)
	})
}

// apply declares the documents in order. If wait is above zero, it first waits up
// to that time until the entry is ready, and afterwards up to the same time again
// until the resources are in force in every zone.
func apply(ctx context.Context, out io.Writer, c *apiClient, documents []document, wait time.Duration) error {
	if wait > 0 {
		if err := c.waitUntilReady(ctx, wait); err != nil {
			return err
		}
	}
	for _, d := range documents {
		revision, err := c.put(ctx, d)
		if err != nil {
			return fmt.Errorf("%s/%s: %w", d.Kind, d.Name, err)
		}
		fmt.Fprintf(out, "%s/%s accepted at revision %d\n", d.Kind, d.Name, revision)
	}
	if wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, d := range documents {
		if err := c.waitUntilInForce(ctx, d.Kind, d.Name); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "in force in every zone")
	return nil
}

// Values of --output.
const (
	outputTable = "table"
	outputYAML  = "yaml"
	outputJSON  = "json"
)

func newGetCommand(system *System) *cobra.Command {
	var format string
	cmd := &cobra.Command{
		Use: "get KIND [NAME]", Short: "Show resources and whether they are in force",
		Example: "  shedpath get routes\n  shedpath get route quote -o yaml",
		Args:    cobra.RangeArgs(1, 2),
	}
	return newOperatorCommand(system, cmd, func(s *settings) {
		s.choice("output", outputTable, "form of the output", []string{outputTable, outputYAML, outputJSON}, &format)
	}, func(ctx context.Context, c *apiClient, args []string) error {
		kind, err := parseKind(args[0])
		if err != nil {
			return err
		}
		if len(args) == 2 {
			d, err := c.get(ctx, kind, resource.Name(args[1]))
			if err != nil {
				return err
			}
			return writeOutput(system.Stdout, format, d, []document{d})
		}
		list, err := c.list(ctx, kind)
		if err != nil {
			return err
		}
		return writeOutput(system.Stdout, format, list, list.Items)
	})
}

// writeOutput writes value as JSON or YAML, or rows as a table.
func writeOutput(out io.Writer, format string, value any, rows []document) error {
	switch format {
	case outputJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case outputYAML:
		text, err := yaml.Marshal(value)
		if err != nil {
			return err
		}
		_, err = out.Write(text)
		return err
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tNAME\tREVISION\tIN FORCE\tSPEC")
	for _, d := range rows {
		version := resource.Revision(0)
		if d.ResourceVersion != nil {
			version = *d.ResourceVersion
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", d.Kind, d.Name, version, inForceSummary(d.Status), d.Spec)
	}
	return table.Flush()
}

// inForceSummary returns "everywhere" for a resource that is in force in every
// zone, a list of the zones where it isn't, or "-" without a status.
func inForceSummary(s *documentStatus) string {
	if s == nil {
		return "-"
	}
	if s.InForceEverywhere {
		return "everywhere"
	}
	var pending []string
	for zone, state := range s.Zones {
		if state.InForce != "yes" {
			pending = append(pending, zone+":"+state.InForce)
		}
	}
	slices.Sort(pending)
	return strings.Join(pending, ",")
}

func newWatchCommand(system *System) *cobra.Command {
	var since int
	cmd := &cobra.Command{
		Use: "watch KIND [NAME]", Short: "Show changes of resources as they happen",
		Long: `watch writes a line of JSON for each change, and for each change of whether a
resource is in force, until it is interrupted.`,
		Example: "  shedpath watch routes --since 12",
		Args:    cobra.RangeArgs(1, 2),
	}
	return newOperatorCommand(system, cmd, func(s *settings) {
		s.count("since", 0, "show only what changed after this revision", &since)
	}, func(ctx context.Context, c *apiClient, args []string) error {
		kind, err := parseKind(args[0])
		if err != nil {
			return err
		}
		name := resource.Name("")
		if len(args) == 2 {
			name = resource.Name(args[1])
		}
		stop, _, release := system.signalContexts(ctx)
		defer release()
		path := fmt.Sprintf("%s?watch=1&since=%d", resourcePath(kind, name), since)
		resp, err := c.request(stop, http.MethodGet, path, nil, nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(system.Stdout, resp.Body)
		if stop.Err() != nil {
			return nil
		}
		return err
	})
}

func newDeleteCommand(system *System) *cobra.Command {
	cmd := &cobra.Command{
		Use: "delete KIND NAME", Short: "Remove a resource",
		Example: "  shedpath delete route quote", Args: cobra.ExactArgs(2),
	}
	return newOperatorCommand(system, cmd, nil, func(ctx context.Context, c *apiClient, args []string) error {
		kind, err := parseKind(args[0])
		if err != nil {
			return err
		}
		if err := c.delete(ctx, kind, resource.Name(args[1])); err != nil {
			return err
		}
		fmt.Fprintf(system.Stdout, "%s/%s removed\n", kind, args[1])
		return nil
	})
}

// entryStatus is an entry's response to GET /status.
type entryStatus struct {
	Host        string                `json:"host"`
	Zone        string                `json:"zone"`
	Revision    resource.Revision     `json:"revision"`
	Ready       bool                  `json:"ready"`
	Leaving     bool                  `json:"leaving"`
	InFlight    int                   `json:"inFlight"`
	PlatformEra uint64                `json:"platformEra"`
	Zones       map[string]zoneStatus `json:"zones"`
	// OutOfService lists the zones whose upstreams get no new work.
	OutOfService []string `json:"outOfService"`
	Entries      []struct {
		Host    string `json:"host"`
		Zone    string `json:"zone"`
		Address string `json:"peerAddress"`
	} `json:"entries"`
	Upstreams []struct {
		Upstream string `json:"upstream"`
		Kind     string `json:"kind"`
		Pool     string `json:"pool"`
		Zone     string `json:"zone"`
		Address  string `json:"address"`
		Leaving  bool   `json:"leaving"`
	} `json:"upstreams"`
	Coordinators map[string]string `json:"coordinators"`
	Pools        []struct {
		Pool       string `json:"pool"`
		FreeTokens int    `json:"freeTokens"`
		Waiting    int    `json:"waiting"`
		Engines    int    `json:"engines"`
	} `json:"pools"`
}

func newStatusCommand(system *System) *cobra.Command {
	var format string
	cmd := &cobra.Command{
		Use: "status", Short: "Show what an entry knows of the site",
		Example: "  shedpath status --server http://10.0.0.5:8081", Args: cobra.NoArgs,
	}
	return newOperatorCommand(system, cmd, func(s *settings) {
		s.choice("output", outputTable, "form of the output", []string{outputTable, outputYAML, outputJSON}, &format)
	}, func(ctx context.Context, c *apiClient, _ []string) error {
		var status entryStatus
		if err := c.call(ctx, http.MethodGet, "/status", nil, nil, &status); err != nil {
			return err
		}
		if format != outputTable {
			return writeOutput(system.Stdout, format, status, nil)
		}
		return writeStatus(system.Stdout, status)
	})
}

func writeStatus(out io.Writer, s entryStatus) error {
	state := "ready"
	switch {
	case s.Leaving:
		state = "stopping"
	case !s.Ready:
		state = "not ready"
	}
	fmt.Fprintf(out, "%s in %s: %s, revision %d, platform era %d, %d calls in flight\n\n", s.Host, s.Zone, state, s.Revision, s.PlatformEra, s.InFlight)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tENTRIES\tREVISION\tUP TO DATE\tIN SERVICE")
	for _, zone := range sortedKeys(s.Zones) {
		z := s.Zones[zone]
		inService := !slices.Contains(s.OutOfService, zone)
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%t\n", zone, z.Entries, z.Revision, z.InForce, inService)
	}
	fmt.Fprintln(table, "\nUPSTREAM\tKIND\tPOOL\tZONE\tADDRESS\tTAKES WORK")
	for _, u := range s.Upstreams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%t\n", u.Upstream, u.Kind, u.Pool, u.Zone, u.Address, !u.Leaving)
	}
	fmt.Fprintln(table, "\nPOOL\tCOORDINATOR")
	for _, pool := range sortedKeys(s.Coordinators) {
		fmt.Fprintf(table, "%s\t%s\n", pool, s.Coordinators[pool])
	}
	return table.Flush()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
