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

// demoSite is the configuration that the demo applies; it is also
// examples/site.yaml.
//
//go:embed site.yaml
var demoSite []byte

// Keys of the demo's site, which is on loopback only.
const (
	demoPeerKey    = "demo-peer-key-not-for-real-use"
	demoAdminToken = "demo-operator"
	demoCallerKey  = "demo-counter"
)

const demoWait = 30 * time.Second

func newDemoCommand(system *System) *cobra.Command {
	var once bool
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a small site of three zones in one process",
		Long: `demo runs stand-ins for the platform, an engine for each of three zones and a
plain service, with one entry a zone, on loopback ports. It applies a sample
configuration, sends one generation and one service call, and stays until it is
interrupted.`,
		Example: "  shedpath demo\n  shedpath demo --once",
		Args:    cobra.NoArgs,
	}
	s := newSettings(cmd)
	s.truth("once", "end after the two calls", &once)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		stop, cut, release := system.untilSignals(cmd.Context())
		defer release()
		return runDemo(stop, cut, system.Stdout, once)
	}
	return cmd
}

// demo is the running site.
type demo struct {
	out     io.Writer
	zones   []string
	daemons []*daemon.Daemon
	parts   conc.WaitGroup
}

func runDemo(stop, cut context.Context, out io.Writer, once bool) error {
	running, cancel := context.WithCancel(stop)
	d := &demo{out: out, zones: []string{"az1", "az2", "az3"}}
	defer d.parts.Wait()
	defer cancel()
	if err := d.start(running, cut); err != nil {
		return err
	}
	if err := d.show(running); err != nil {
		return err
	}
	if once {
		return nil
	}
	fmt.Fprintln(out, "\nInterrupt to stop.")
	<-stop.Done()
	return nil
}

func (d *demo) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	d.parts.Go(func() { _ = server.Serve(listener) })
	d.parts.Go(func() {
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
	client := platformclient.New(platformURL)
	for i, zone := range d.zones {
		if err := d.startZone(ctx, cut, client, platformURL, zone, i+1); err != nil {
			return err
		}
	}
	address, err = d.serve(ctx, &service.Server{})
	if err != nil {
		return err
	}
	return client.RegisterUpstream(ctx, member.Upstream{
		ID: "s1", Zone: "az1", Address: address, Pool: "stock", Kind: member.KindService,
	})
}

func (d *demo) startZone(ctx, cut context.Context, client *platformclient.Client, platformURL, zone string, n int) error {
	model := engine.New()
	d.parts.Go(func() { model.Run(ctx) })
	address, err := d.serve(ctx, model)
	if err != nil {
		return err
	}
	err = client.RegisterUpstream(ctx, member.Upstream{
		ID: member.UpstreamID(fmt.Sprintf("g%d", n)), Zone: member.Zone(zone), Address: address,
		Pool: "desk", Kind: member.KindEngine,
	})
	if err != nil {
		return err
	}
	one, err := daemon.New(ctx, daemon.Settings{
		Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Host: member.HostID(fmt.Sprintf("e%d", n)), Zone: member.Zone(zone), Platform: platformURL,
		PlatformWriteRate: platformclient.PlatformWrites, PlatformReadRate: platformclient.PlatformReads,
		Register: true, PeerKey: demoPeerKey, AdminToken: demoAdminToken,
		HostListInterval: time.Second,
	}, log.NewNopLogger(), d.out)
	if err != nil {
		return err
	}
	d.daemons = append(d.daemons, one)
	d.parts.Go(func() { _ = one.Run(ctx, cut) })
	return nil
}

// show applies the configuration, makes the two calls and prints how to go on.
func (d *demo) show(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoWait)
	defer cancel()
	admin := "http://" + d.daemons[0].Addresses().Admin
	documents, found, err := parseDocuments(bytes.NewReader(demoSite))
	if err := errors.Join(err, found.Err()); err != nil {
		return err
	}
	operator := (&clientFlags{server: admin, token: demoAdminToken}).client()
	if err := d.untilFormed(ctx, operator); err != nil {
		return err
	}
	if err := apply(ctx, d.out, operator, documents, demoWait); err != nil {
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

// untilFormed waits until the first entry hears from every zone: before that,
// "in force in every zone" would mean the zones known so far.
func (d *demo) untilFormed(ctx context.Context, c *apiClient) error {
	for {
		var status entryStatus
		err := c.call(ctx, http.MethodGet, "/status", nil, nil, &status)
		present := 0
		for _, z := range status.Zones {
			if z.InForce == "yes" {
				present++
			}
		}
		if err == nil && present == len(d.zones) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the zones did not hear of each other in time")
		case <-time.After(waitPause):
		}
	}
}

const demoPrompt = `{"model":"quote","stream":true,"max_tokens":24,"ignore_eos":true,"messages":[{"role":"user","content":"12 chains and 4 hubs, please"}]}`

// untilServed sends a request until the site takes it: a new site's entries
// need a moment to hear of the upstreams.
func untilServed(ctx context.Context, make func() (*http.Request, error)) (*http.Response, error) {
	for {
		req, err := make()
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+demoCallerKey)
		answer, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode != http.StatusServiceUnavailable {
			return answer, nil
		}
		_ = answer.Body.Close()
		select {
		case <-ctx.Done():
			return nil, errors.New("the site did not take the call in time")
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (d *demo) generate(ctx context.Context, caller string) error {
	answer, err := untilServed(ctx, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, caller+"/v1/chat/completions", strings.NewReader(demoPrompt))
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	fmt.Fprintf(d.out, "\nA generation by model \"quote\" (status %d):\n ", answer.StatusCode)
	for event, err := range sse.Read(answer.Body, nil) {
		if err != nil {
			return err
		}
		fmt.Fprint(d.out, contentOf(event.Data))
	}
	fmt.Fprintln(d.out)
	return nil
}

// contentOf returns the text of a chat chunk, or the event itself.
func contentOf(data string) string {
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
	answer, err := untilServed(ctx, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, caller+"/services/stock/lines/chain-11", nil)
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	line, err := bufio.NewReader(answer.Body).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	fmt.Fprintf(d.out, "\nA call of service \"stock\" (status %d):\n  %s\n", answer.StatusCode, strings.TrimSpace(line))
	return nil
}

func (d *demo) printAddresses(caller, admin string) {
	fmt.Fprintln(d.out, "\nThe entries:")
	for i, one := range d.daemons {
		at := one.Addresses()
		fmt.Fprintf(d.out, "  %s  callers http://%s  operators http://%s\n", d.zones[i], at.Caller, at.Admin)
	}
	fmt.Fprintf(d.out, `
Try:
  curl -N %s/v1/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"quote","prompt":"brake pads","stream":true,"max_tokens":40}'
  go run ./cmd/shedpath status --server %s --token %s
`, caller, demoCallerKey, admin, demoAdminToken)
}
