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

// regionCase is a request that is bound to regions, and what befalls it.
type regionCase struct {
	path string
	// route and account are what the request is bound by.
	route, account []member.Region
	// send answers each send by its number, from one on; nil answers well.
	send func(n int, u Upstream) (*Response, error)
	// duringStream happens duringStream a stream runs.
	duringStream func(f *Forwarder, at Upstream)
}

// TestRequestOutsideItsRegions has no way of sending reach an upstream of another region than
// those that the request's route and account allow.
func TestRequestOutsideItsRegions(t *testing.T) {
	lost := func(n int, _ Upstream) (*Response, error) {
		if n == 1 {
			return nil, io.ErrUnexpectedEOF
		}
		return answer(http.StatusOK, "id: 1\ndata: x\n\n"), nil
	}
	turnedAway := func(n int, _ Upstream) (*Response, error) {
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
		"call that was turned away":       {path: "/status/", route: west, send: turnedAway},
		"call to an unreachable upstream": {path: "/order/", route: west, send: unreachable},
		"second try of a slow call":       {path: "/status/", route: west, send: slow},
		"first try of a stream":           {path: "/llm/", route: west},
		"stream that was turned away":     {path: "/llm/", route: west, send: turnedAway},
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

// run has the request come again and again at a host of another region.
func (c regionCase) run(t *testing.T) {
	var f *Forwarder
	var sends atomic.Int64
	var moved []string // one stream at a time moves
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
	var more []Change
	for _, service := range []ServiceName{"app", "llm"} {
		for zone := 2; zone <= 3; zone++ {
			for n := range 2 {
				id := fmt.Sprintf("%s-z%d-%d", service, zone, n)
				more = append(more, Change{Upstream: Upstream{
					ID: member.UpstreamID(id), Service: service, Address: "10.1.0.1:" + id, Zone: member.Zone(fmt.Sprint("z", zone)), Slots: 6, Revision: rev(2),
				}})
			}
		}
	}
	f.fleet.Apply(now, more, rev(2))
	f.Configure(now, config)
	for range 4 {
		sends.Store(0)
		f.Serve(t.Context(), call(c.path), &fakeSink{})
		time.Sleep(time.Second) // what was left behind ends
	}
	if len(transport.sentTo()) == 0 {
		t.Error("nothing was sent")
	}
	for _, id := range transport.sentTo() {
		if u, _ := f.fleet.Upstream(id); u.Zone == "z1" {
			t.Errorf("sent to %s, which is in %s", id, u.Zone)
		}
	}
	for _, to := range moved {
		if !strings.Contains(to, "-z2-") && !strings.Contains(to, "-z3-") {
			t.Errorf("moved to %s, which is in z1", to)
		}
	}
	if c.duringStream != nil && len(moved) == 0 {
		t.Error("no move was tried")
	}
}

// TestNoUpstreamInRegion has a request be refused at once, and be told why, when none of its
// regions has an upstream that takes work.
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

// TestEmptyRegionsSetNoBound has a request without allowed regions be served anywhere.
func TestEmptyRegionsSetNoBound(t *testing.T) {
	x := &exchange{Forwarder: newForwarder(t, &fakeTransport{})}
	if !slices.Equal(x.allowedZones(), nil) || !x.zoneAllowed("z9") {
		t.Error("bound to", x.allowedZones())
	}
}
