// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bufio"
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"github.com/tmaxmax/go-sse"

	platformclient "github.com/shedpath/shedpath/internal/consul"
	"github.com/shedpath/shedpath/internal/daemon"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/standin/engine"
	"github.com/shedpath/shedpath/standin/platform"
	"github.com/shedpath/shedpath/standin/service"
)

// demoConfiguration is the configuration that the demo applies; it equals
// examples/site.yaml.
//
//go:embed site.yaml
var demoConfiguration []byte

// Keys of the demo's site, which listens on loopback only.
const (
	demoPeerKey    = "demo-peer-key-not-for-real-use"
	demoAdminToken = "demo-operator"
	demoAccountKey = "demo-counter"
)

// demoTimeout bounds the demo's configuration and calls.
const demoTimeout = 30 * time.Second

func newDemoCommand(system *System) *cobra.Command {
	var once bool
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a small site of three zones in one process",
		Long: `demo runs stand-ins for the platform, an engine for each of three zones and a
plain service, with one entry a zone, on loopback ports. It applies a sample
configuration, sends one generation and one service call, and keeps running until
it is interrupted.`,
		Example: "  shedpath demo\n  shedpath demo --once",
		Args:    cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.boolean("once", "end after the two calls", &once)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		stop, cut, release := system.signalContexts(cmd.Context())
		defer release()
		return runDemo(stop, cut, system.Stdout, once)
	}
	return cmd
}

// demo is a running site: the stand-ins and one entry for each zone.
type demo struct {
	out     io.Writer
	zones   []string
	daemons []*daemon.Daemon
	// dialUpstream is each daemon's DialUpstream, by its number; nil for the default.
	dialUpstream func(n int) func(ctx context.Context, network, address string) (net.Conn, error)
	goroutines   conc.WaitGroup
}

func runDemo(stop, cut context.Context, out io.Writer, once bool) error {
	ctx, cancel := context.WithCancel(stop)
	d := &demo{out: out, zones: []string{"az1", "az2", "az3"}}
	defer d.goroutines.Wait()
	defer cancel()
	if err := d.start(ctx, cut); err != nil {
		return err
	}
	if err := d.applyAndCall(ctx); err != nil {
		return err
	}
	if once {
		return nil
	}
	fmt.Fprintln(out, "\nInterrupt to stop.")
	<-stop.Done()
	return nil
}

// serve serves the handler on a free loopback port until ctx ends, and returns
// the address.
func (d *demo) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	d.goroutines.Go(func() { _ = server.Serve(listener) })
	d.goroutines.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	return listener.Addr().String(), nil
}

func (d *demo) start(ctx, cut context.Context) error {
	address, err := d.serve(ctx, platform.New())
	if err != nil {
		return err
	}
	platformURL := "http://" + address
	for i, zone := range d.zones {
		if err := d.startZone(ctx, cut, platformURL, zone, i+1); err != nil {
			return err
		}
	}
	address, err = d.serve(ctx, &service.Server{})
	if err != nil {
		return err
	}
	registerUpstream(ctx, platformURL, member.Upstream{
		ID: "s1", Zone: "az1", Address: address, Pool: "stock", Kind: member.KindService,
	})
	return ctx.Err()
}

// startZone starts an engine stand-in and an entry in a zone; n numbers both.
func (d *demo) startZone(ctx, cut context.Context, platformURL, zone string, n int) error {
	engineServer := engine.New()
	d.goroutines.Go(func() { engineServer.Run(ctx) })
	address, err := d.serve(ctx, engineServer)
	if err != nil {
		return err
	}
	registerUpstream(ctx, platformURL, member.Upstream{
		ID: member.UpstreamID(fmt.Sprintf("g%d", n)), Zone: member.Zone(zone), Address: address,
		Pool: "desk", Kind: member.KindEngine,
	})
	if err := ctx.Err(); err != nil {
		return err
	}
	settings := daemon.Settings{
		Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Host: member.HostID(fmt.Sprintf("e%d", n)), Zone: member.Zone(zone), Platform: platformURL,
		PlatformWriteRate: platformclient.PlatformWritesPerSecond, PlatformReadRate: platformclient.PlatformReadsPerSecond,
		Register: true, PeerKey: demoPeerKey, AdminToken: demoAdminToken,
		HostListInterval: time.Second,
	}
	if d.dialUpstream != nil {
		settings.DialUpstream = d.dialUpstream(n)
	}
	entry, err := daemon.New(ctx, settings, log.NewNopLogger(), d.out)
	if err != nil {
		return err
	}
	d.daemons = append(d.daemons, entry)
	d.goroutines.Go(func() { _ = entry.Run(ctx, cut) })
	return nil
}

// applyAndCall applies the configuration, makes the two calls, and prints the
// entries' addresses and commands to try.
func (d *demo) applyAndCall(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	admin := "http://" + d.daemons[0].Addresses().Admin
	documents, findings, err := parseDocuments(bytes.NewReader(demoConfiguration))
	if err := errors.Join(err, findings.Err()); err != nil {
		return err
	}
	client := (&clientFlags{server: admin, token: demoAdminToken}).newClient()
	if err := d.waitForAllZones(ctx, client); err != nil {
		return err
	}
	if err := apply(ctx, d.out, client, documents, demoTimeout); err != nil {
		return err
	}
	caller := "http://" + d.daemons[0].Addresses().Caller
	if err := d.generate(ctx, caller); err != nil {
		return err
	}
	if err := d.callService(ctx, caller); err != nil {
		return err
	}
	d.printAddresses(caller, admin)
	return nil
}

// waitForAllZones waits until the first entry has the state of every zone. Before
// that, "in force in every zone" covers only the zones known so far.
func (d *demo) waitForAllZones(ctx context.Context, c *apiClient) error {
	for {
		var status entryStatus
		err := c.call(ctx, http.MethodGet, "/status", nil, nil, &status)
		upToDate := 0
		for _, z := range status.Zones {
			if z.InForce == "yes" {
				upToDate++
			}
		}
		if err == nil && upToDate == len(d.zones) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the first entry saw only %d of %d zones up to date before the deadline", upToDate, len(d.zones))
		case <-time.After(pollInterval):
		}
	}
}

const demoPrompt = `{"model":"quote","stream":true,"max_tokens":24,"ignore_eos":true,"messages":[{"role":"user","content":"12 chains and 4 hubs, please"}]}`

// sendUntilAccepted repeats a request while it is answered with status 503: the
// entries of a new site answer so until they know the upstreams.
func sendUntilAccepted(ctx context.Context, newRequest func() (*http.Request, error)) (*http.Response, error) {
	for {
		req, err := newRequest()
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+demoAccountKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode != http.StatusServiceUnavailable {
			return resp, nil
		}
		_ = resp.Body.Close()
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%s %s: still answered with status 503 at the deadline", req.Method, req.URL)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (d *demo) generate(ctx context.Context, caller string) error {
	resp, err := sendUntilAccepted(ctx, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, caller+"/v1/chat/completions", strings.NewReader(demoPrompt))
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Fprintf(d.out, "\nA generation by model \"quote\" (status %d):\n ", resp.StatusCode)
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return err
		}
		fmt.Fprint(d.out, chunkContent(event.Data))
	}
	fmt.Fprintln(d.out)
	return nil
}

// chunkContent returns the text of a chat chunk, or the event's data if it isn't
// a chunk with choices.
func chunkContent(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return " " + data
	}
	return chunk.Choices[0].Delta.Content
}

func (d *demo) callService(ctx context.Context, caller string) error {
	resp, err := sendUntilAccepted(ctx, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, caller+"/services/stock/lines/chain-11", nil)
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	fmt.Fprintf(d.out, "\nA call of service \"stock\" (status %d):\n  %s\n", resp.StatusCode, strings.TrimSpace(line))
	return nil
}

func (d *demo) printAddresses(caller, admin string) {
	fmt.Fprintln(d.out, "\nThe entries:")
	for i, entry := range d.daemons {
		addresses := entry.Addresses()
		fmt.Fprintf(d.out, "  %s  callers http://%s  operators http://%s\n", d.zones[i], addresses.Caller, addresses.Admin)
	}
	fmt.Fprintf(d.out, `
Try:
  curl -N %s/v1/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"quote","prompt":"brake pads","stream":true,"max_tokens":40}'
  go run ./cmd/shedpath status --server %s --token %s
`, caller, demoAccountKey, admin, demoAdminToken)
}
