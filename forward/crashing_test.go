// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// What happened: a request ended each engine that began to run it, some 0.1 s after its
// first token. Its caller got 502 and sent it anew, with another request id, to any host:
// 21 engines ended under two such requests within 40 s, and with them 33 streams that
// only ran beside and 7 requests that hadn't begun. Ten and eleven ends under one request
// are on record, seven and eight of them after the third.
//
// The cause: hosts judged upstreams by the requests that they lost, and bounded a
// service's repeats, but nobody judged a request by the upstreams that ended under it.
// Each arrival was a new request to each host, and to one host when it came again there.
//
// Evidence: each of the 21 ends has exactly one run with one of two prompt sizes, which no
// other request had more than twice; the engines' record has it begin 75 to 110 ms before
// the end. Six hosts in three zones placed them, none of them twice.

// contactBound is within how long hosts that reach each other are to know what one saw.
const contactBound = 3 * time.Second

// newCrashSite returns three zones of two hosts before some engines and plain upstreams.
func newCrashSite(fleet *fakeFleet, engines int) *site { return newCrashSiteOf(fleet, 3, 2, engines) }

// newCrashSiteOf is newCrashSite with other zones and hosts.
func newCrashSiteOf(fleet *fakeFleet, zones, hostsPerZone, engines int) *site {
	s := newSite(zones, hostsPerZone, true)
	s.origin.list = nil
	for _, service := range []ServiceName{"llm", "app"} {
		for n := range engines {
			s.origin.list = append(s.origin.list, Upstream{
				ID: member.UpstreamID(fmt.Sprintf("%s%02d", service, n)), Service: service, Address: fmt.Sprintf("10.9.%d.1:80", n),
				Zone: member.Zone(fmt.Sprint("z", n%zones+1)), Slots: 6, Revision: rev(3),
			})
		}
	}
	for _, f := range s.hosts {
		f.transport = &fakeTransport{send: fleet.Send, checkReachable: fleet.checkReachable}
		f.settings.DrainTime = 2 * time.Second
		f.SetRetryLimit(RetryLimit{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second})
	}
	return s
}

// hostAt is the nth host of a site, in an order that leads from zone to zone.
func (s *site) hostAt(n int) *Forwarder {
	return s.hosts[fmt.Sprintf("10.%d.0.%d:1", n%3+1, n/3%2+1)]
}

// serveAll starts every host, with the placement.
func (s *site) serveAll(ctx context.Context) {
	s.startAll(ctx)
	for _, f := range s.hosts {
		go f.Run(ctx)
	}
}

// crashCall is a request that ends upstreams; each has an id of its own.
func crashCall(path, body string, n int) *Call {
	c := call(path)
	c.ID, c.Body = RequestID(fmt.Sprint(body, n)), []byte(body)
	return c
}

// TestRequestThatCrashesUpstreams has a request under which three upstreams ended reach
// upstreams three times more at most, later than the hosts have had time to tell each
// other; wherever it comes to, and by whatever way a host would send it.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	for name, path := range map[string]string{
		"stream": "/llm/", "stream that may be resumed": "/resumable/",
		"call that may be repeated": "/status/", "call that may not": "/order/",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				fleet := newFakeFleet()
				s := newCrashSite(fleet, 12)
				s.serveAll(ctx)
				time.Sleep(3 * time.Second)
				for n := range 30 {
					go s.hostAt(n).Serve(ctx, crashCall(path, crashingPrefix, n), &fakeSink{})
					time.Sleep(900 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				late, all := fleet.arrivalsAfter(crashingPrefix, 3, contactBound)
				if late > 3 {
					t.Errorf("after three upstreams had ended it reached upstreams %d times more; %d ended", late, all)
				}
				is.True(all >= 3)
				cancel()
				synctest.Wait()
			})
		})
	}
}
