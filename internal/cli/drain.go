// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/resource"
)

// drainTarget is the upstream or the zone that a drain order names.
type drainTarget struct {
	order resource.DrainOrder
	// name is the name of the order's resource.
	name resource.Name
}

// zoneArgument is the argument that precedes a zone's name.
const zoneArgument = "zone"

// parseDrainTarget parses the arguments "UPSTREAM" or "zone ZONE".
func parseDrainTarget(args []string) (drainTarget, error) {
	switch {
	case len(args) == 1:
		return drainTarget{resource.DrainOrder{Upstream: args[0]}, resource.Name(strings.ToLower(args[0]))}, nil
	case args[0] == zoneArgument:
		return drainTarget{resource.DrainOrder{Zone: args[1]}, resource.Name(zoneArgument + "-" + strings.ToLower(args[1]))}, nil
	default:
		return drainTarget{}, usageError{fmt.Errorf("%q: give an upstream, or the word %q and a zone", strings.Join(args, " "), zoneArgument)}
	}
}

// String returns the target as the operator wrote it.
func (t drainTarget) String() string {
	if t.order.Zone != "" {
		return zoneArgument + " " + t.order.Zone
	}
	return t.order.Upstream
}

func newDrainCommand(system *System) *cobra.Command {
	var undo bool
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "drain {UPSTREAM | zone ZONE}", Short: "Send no new work to an upstream, or to any upstream of a zone",
		Long:    `drain declares a drain order: running work continues, and no new work is sent.`,
		Example: "  shedpath drain g1 --wait 5s\n  shedpath drain zone recife-a", Args: cobra.RangeArgs(1, 2),
	}
	return newOperatorCommand(system, cmd, func(s *settings) {
		s.boolean("undo", "remove the drain order, as undrain does", &undo)
		s.duration("wait", 5*time.Second, "how long to wait until the order is in force in every zone", &wait)
	}, func(ctx context.Context, c *apiClient, args []string) error {
		target, err := parseDrainTarget(args)
		if err != nil {
			return err
		}
		if undo {
			return undrain(ctx, system, c, target)
		}
		spec, err := json.Marshal(target.order)
		if err != nil {
			return err
		}
		return apply(ctx, system.Stdout, c, []document{{Kind: resource.DrainOrders, Name: target.name, Spec: spec}}, wait)
	})
}

func newUndrainCommand(system *System) *cobra.Command {
	cmd := &cobra.Command{
		Use: "undrain {UPSTREAM | zone ZONE}", Short: "Send work to an upstream or a zone again",
		Long:    `undrain removes the drain order of an upstream or a zone.`,
		Example: "  shedpath undrain g1\n  shedpath undrain zone recife-a", Args: cobra.RangeArgs(1, 2),
	}
	return newOperatorCommand(system, cmd, nil, func(ctx context.Context, c *apiClient, args []string) error {
		target, err := parseDrainTarget(args)
		if err != nil {
			return err
		}
		return undrain(ctx, system, c, target)
	})
}

func undrain(ctx context.Context, system *System, c *apiClient, target drainTarget) error {
	if err := c.delete(ctx, resource.DrainOrders, target.name); err != nil {
		return err
	}
	_, err := fmt.Fprintf(system.Stdout, "%s takes work again\n", target)
	return err
}
