// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// regionCase is a request that is restricted to regions, and what happens to it.
type regionCase struct {
	path string
	// route and account are the regions that the request's route and account allow.
	route, account []member.Region
	// send responds to the nth send, counted from one; nil stands for a successful response.
	send func(n int, u Upstream) (*Response, error)
	// duringStream is called while a stream from upstream at runs.
	duringStream func(f *Forwarder, at Upstream)
}

// TestRequestOutsideItsRegions checks that no way of sending a request reaches an upstream outside
// the regions that the request's route and account allow.
func TestRequestOutsideItsRegions(t *testing.T) {
	lost := func(n int, _ Upstream) (*Response, error) {
		if n == 1 {
			return nil, io.ErrUnexpectedEOF
		}
		return answer(http.StatusOK, "id: 1\ndata: x\n\n"), nil
	}
	notRun := func(n int, _ Upstream) (*Response, error) {
		if n < 3 {
			a := answer(http.StatusServiceUnavailable, "")
			a.NotRun = true
			return a, nil
		}
		return answer(http.StatusOK, "fine"), nil
	}
	unreachable := func(n int, _ Upstream) (*Response, error) {
		if n < 3 {
			return nil, ErrNotSent
		}
		return answer(http.StatusOK, "fine"), nil
	}
	slow := func(n int, _ Upstream) (*Response, error) {
		if n == 1 {
			time.Sleep(400 * time.Millisecond)
		}
		return answer(http.StatusOK, "fine"), nil
	}
	west := []member.Region{"west"}
	cases := map[string]regionCase{
		"first try of a call":             {path: "/order/", route: west},
		"first try, by the account":       {path: "/order/", account: west},
		"both bound":                      {path: "/order/", route: []member.Region{"west", "east"}, account: west},
		"repeat of a call":                {path: "/status/", route: west, send: lost},
		"call that was turned away":       {path: "/status/", route: west, send: notRun},
		"call to an unreachable upstream": {path: "/order/", route: west, send: unreachable},
		"second try of a slow call":       {path: "/status/", route: west, send: slow},
		"first try of a stream":           {path: "/llm/", route: west},
		"stream that was turned away":     {path: "/llm/", route: west, send: notRun},
		"stream of an unreachable engine": {path: "/llm/", route: west, send: unreachable},
		"stream that is resumed":          {path: "/resumable/", route: west, send: lost},
		"stream whose engine leaves": {path: "/llm/", route: west, duringStream: func(f *Forwarder, at Upstream) {
			f.fleet.MarkLeaving(time.Now(), at.ID, 0, true)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// run serves the request several times on a host of another region.
func (c regionCase) run(t *testing.T) {
	var f *Forwarder
	var sends atomic.Int64
	var moved []string // not locked: one stream at a time moves
	transport := &fakeTransport{}
	transport.send = func(ctx context.Context, u Upstream, _ *UpstreamRequest) (*Response, error) {
		n := int(sends.Add(1))
		if c.duringStream == nil {
			if c.send == nil {
				return answer(http.StatusOK, "id: 1\ndata: x\n\n"), nil
			}
			return c.send(n, u)
		}
		read, write := io.Pipe()
		go func() {
			for n := range 20 {
				if _, err := fmt.Fprintf(write, "id: %d\ndata: x\n\n", n+1); err != nil {
					return
				}
				if n == 5 {
					c.duringStream(f, u)
				}
				time.Sleep(20 * time.Millisecond)
			}
			_ = write.Close()
		}()
		a := answer(http.StatusOK, "")
		a.ContentLength, a.Body = -1, read
		return a, nil
	}
	transport.move = func(_ context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
		moved = append(moved, r.TargetAddress)
		return MoveResult{}, ErrTargetUnavailable
	}
	f = newForwarder(t, transport)
	f.settings.Regions = map[member.Zone]member.Region{"z1": "east", "z2": "west", "z3": "west"}
	config := testConfig(2)
	for i := range config.Routes {
		config.Routes[i].Regions = c.route
	}
	config.Accounts[0].Regions = c.account
	now := time.Now()
	var changes []Change
	for _, service := range []ServiceName{"app", "llm"} {
		for zone := 2; zone <= 3; zone++ {
			for n := range 2 {
				id := fmt.Sprintf("%s-z%d-%d", service, zone, n)
				changes = append(changes, Change{Upstream: Upstream{
					ID: member.UpstreamID(id), Service: service, Address: "10.1.0.1:" + id, Zone: member.Zone(fmt.Sprint("z", zone)), Slots: 6, Revision: rev(2),
				}})
			}
		}
	}
	f.fleet.Apply(now, changes, rev(2))
	f.Configure(now, config)
	for range 4 {
		sends.Store(0)
		f.Serve(t.Context(), call(c.path), &fakeSink{})
		time.Sleep(time.Second) // lets goroutines left by the request end
	}
	if len(transport.sentTo()) == 0 {
		t.Errorf("no upstream received the request to %s in 4 attempts", c.path)
	}
	for _, id := range transport.sentTo() {
		if u, _ := f.fleet.Upstream(id); u.Zone == "z1" {
			t.Errorf("request to %s sent to upstream %s in zone %s, outside its regions", c.path, id, u.Zone)
		}
	}
	for _, to := range moved {
		if !strings.Contains(to, "-z2-") && !strings.Contains(to, "-z3-") {
			t.Errorf("run moved to %s, want an upstream of z2 or z3", to)
		}
	}
	if c.duringStream != nil && len(moved) == 0 {
		t.Errorf("the run of %s was not moved after its engine began to leave", c.path)
	}
}

// TestNoUpstreamInRegion checks that a request is refused at once, with CodeRegion, if no upstream
// in its regions accepts work.
func TestNoUpstreamInRegion(t *testing.T) {
	for name, regions := range map[string][]member.Region{
		"a region without upstreams": {"west"}, "a region that isn't known": {"north"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport := &fakeTransport{}
			f := newForwarder(t, transport)
			f.settings.Regions = map[member.Zone]member.Region{"z1": "east", "z2": "west"}
			config := testConfig(2)
			for i := range config.Routes {
				config.Routes[i].Regions = regions
			}
			f.Configure(time.Now(), config)
			for _, path := range []string{"/order/", "/status/", "/llm/", "/resumable/"} {
				sink := &fakeSink{}
				f.Serve(t.Context(), call(path), sink)
				is.True(sink.refused != nil)
				is.Equal(sink.refused.Code, CodeRegion)
				is.True(!sink.refused.MayHaveRun)
			}
			is.Equal(len(transport.sentTo()), 0)
		})
	}
}

// TestEmptyRegionsSetNoBound checks that a request without allowed regions may be served in any zone.
func TestEmptyRegionsSetNoBound(t *testing.T) {
	x := &exchange{Forwarder: newForwarder(t, &fakeTransport{})}
	if !slices.Equal(x.allowedZones(), nil) || !x.zoneAllowed("z9") {
		t.Errorf("request without regions is restricted to zones %v, want no restriction", x.allowedZones())
	}
}
