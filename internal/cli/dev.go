// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/internal/bench"
	platformclient "github.com/shedpath/shedpath/internal/consul"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/standin/engine"
	"github.com/shedpath/shedpath/standin/platform"
	"github.com/shedpath/shedpath/standin/service"
)

func newDevCommand(system *System) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run stand-ins for the platform, an engine or a plain service",
		Long: `dev runs small stand-ins, one process each, for tests and trials. PUT
/standin/faults makes them inject faults.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newDevPlatformCommand(system), newDevEngineCommand(system), newDevServiceCommand(system), newDevBenchCommand(system))
	return cmd
}

// serveUntilSignal serves a stand-in until the first signal. It runs background,
// if given, meanwhile and waits for it to return.
func serveUntilSignal(system *System, parent context.Context, listener net.Listener, handler http.Handler, background func(ctx context.Context)) {
	stop, _, release := system.signalContexts(parent)
	defer release()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	var goroutines conc.WaitGroup
	goroutines.Go(func() { _ = server.Serve(listener) })
	if background != nil {
		goroutines.Go(func() { background(stop) })
	}
	<-stop.Done()
	_ = server.Close()
	goroutines.Wait()
}

func newDevPlatformCommand(system *System) *cobra.Command {
	var listen string
	var writes, reads float64
	cmd := &cobra.Command{
		Use: "platform", Short: "Run a stand-in for the platform's service", Args: cobra.NoArgs,
		Example: "  shedpath dev platform --listen 127.0.0.1:8500",
	}
	s := newSettings(cmd)
	s.listenAddress("listen", "127.0.0.1:8500", "IP:port to listen on", &listen)
	s.number("writes", platformclient.PlatformWritesPerSecond, "writes a second that are taken; 0 takes any number", &writes)
	s.number("reads", platformclient.PlatformReadsPerSecond, "reads a second that are taken; 0 takes any number", &reads)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		fmt.Fprintf(system.Stdout, "listen=%s\n", listener.Addr())
		serveUntilSignal(system, cmd.Context(), listener, platform.New(platform.WithRates(writes, reads)), nil)
		return nil
	}
	return cmd
}

// upstreamFlags are the settings that the stand-ins for engines and services share.
type upstreamFlags struct {
	listen, id, zone, pool, platform string
}

func (f *upstreamFlags) declare(s *settings, defaultPool string) {
	s.listenAddress("listen", "127.0.0.1:0", "IP:port to listen on", &f.listen)
	s.markRequired(s.text("id", "", "name of this upstream, unique in the site", &f.id))
	s.markRequired(s.text("zone", "", "availability zone of this upstream", &f.zone))
	s.text("pool", defaultPool, "engine pool or service that it belongs to", &f.pool)
	s.markRequired(s.url("platform", "", "URL of the platform, to be put on the host list", &f.platform))
}

func (f *upstreamFlags) upstream(kind member.UpstreamKind, address string) member.Upstream {
	return member.Upstream{
		ID: member.UpstreamID(f.id), Zone: member.Zone(f.zone), Pool: f.pool, Kind: kind, Address: address,
	}
}

// registerUpstream registers an upstream with the platform and retries until that
// succeeds or ctx ends.
func registerUpstream(ctx context.Context, platformURL string, u member.Upstream) {
	client := platformclient.New(platformURL)
	for client.RegisterUpstream(ctx, u) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func newDevEngineCommand(system *System) *cobra.Command {
	var flags upstreamFlags
	settings := engine.DefaultSettings()
	linger := engine.DefaultUnreadTimeout
	cmd := &cobra.Command{
		Use: "engine", Short: "Run a stand-in for a model engine", Args: cobra.NoArgs,
		Example: "  shedpath dev engine --id g1 --zone az1 --pool desk --platform http://127.0.0.1:8500",
	}
	s := newSettings(cmd)
	flags.declare(s, "desk")
	s.count("memory", settings.MemoryTokens, "tokens that its memory holds", &settings.MemoryTokens)
	s.count("max-batch", settings.MaxBatch, "runs that decode at once", &settings.MaxBatch)
	s.duration("step", settings.StepBase, "time of an empty step", &settings.StepBase)
	s.duration("step-per-run", settings.StepPerRun, "time that each run adds to a step", &settings.StepPerRun)
	s.duration("linger", linger, "how long a run goes on that nobody reads", &linger)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		listener, err := net.Listen("tcp", flags.listen)
		if err != nil {
			return err
		}
		server := engine.New(engine.WithSettings(settings), engine.WithUnreadTimeout(linger))
		fmt.Fprintf(system.Stdout, "listen=%s\n", listener.Addr())
		serveUntilSignal(system, cmd.Context(), listener, server, func(ctx context.Context) {
			var goroutines conc.WaitGroup
			defer goroutines.Wait()
			goroutines.Go(func() { server.Run(ctx) })
			registerUpstream(ctx, flags.platform, flags.upstream(member.KindEngine, listener.Addr().String()))
		})
		return nil
	}
	return cmd
}

func newDevServiceCommand(system *System) *cobra.Command {
	var flags upstreamFlags
	cmd := &cobra.Command{
		Use: "service", Short: "Run a stand-in for a plain service", Args: cobra.NoArgs,
		Example: "  shedpath dev service --id s1 --zone az1 --pool stock --platform http://127.0.0.1:8500",
	}
	s := newSettings(cmd)
	flags.declare(s, "stock")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		listener, err := net.Listen("tcp", flags.listen)
		if err != nil {
			return err
		}
		fmt.Fprintf(system.Stdout, "listen=%s\n", listener.Addr())
		serveUntilSignal(system, cmd.Context(), listener, &service.Server{}, func(ctx context.Context) {
			registerUpstream(ctx, flags.platform, flags.upstream(member.KindService, listener.Addr().String()))
		})
		return nil
	}
	return cmd
}

func newDevBenchCommand(system *System) *cobra.Command {
	var policies, workloads, loads string
	var seeds int
	cmd := &cobra.Command{
		Use: "bench", Short: "Measure placement policies in virtual time", Args: cobra.NoArgs,
		Long: `bench simulates engines with the stand-in engine's model, without a network.
Several entries place requests from delayed load reports. Every policy gets the
same seeded arrivals; the results are medians over the seeds.`,
		Example: "  shedpath dev bench --policies least-loaded,ours,oracle --workloads counter --loads 0.9,1.2",
	}
	s := newSettings(cmd)
	s.text("policies", "random,least-loaded,reserve-20,ours,oracle", "policies: "+strings.Join(bench.PolicyNames(), ", "), &policies)
	s.text("workloads", "counter,statement,mixture", "workloads: "+strings.Join(bench.WorkloadNames(), ", "), &workloads)
	s.text("loads", "0.7,0.9,1.1,1.5", "multiples of what the pool can carry", &loads)
	s.count("seeds", 5, "seeds for each combination", &seeds)
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		benchSettings := bench.Settings{
			Policies: strings.Split(policies, ","), Workloads: strings.Split(workloads, ","), Seeds: max(seeds, 1),
		}
		for text := range strings.SplitSeq(loads, ",") {
			load, err := strconv.ParseFloat(text, 64)
			if err != nil || load <= 0 {
				return usageError{fmt.Errorf("--loads: want numbers above 0, not %q", text)}
			}
			benchSettings.Loads = append(benchSettings.Loads, load)
		}
		return bench.Run(system.Stdout, benchSettings)
	}
	return cmd
}
