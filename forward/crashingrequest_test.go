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

// These tests guard against a request that crashes each engine which runs it, some 0.1 s after its
// first token. Its caller gets 502 and retries it, with another request ID and at any host: two such
// requests ended 21 engines within 40 s, and with them the streams that ran beside.
//
// Hosts counted lost requests per upstream and bounded the retries of a service, but didn't count
// ended upstreams per request: to each host, and to the same host later, each retry was a new request.

// maxPropagationDelay is within how long hosts that can reach each other must know what one of
// them observed.
const maxPropagationDelay = 3 * time.Second

// newCrashSite returns a site of three zones with two hosts each, with the given number of
// engines and as many plain upstreams.
func newCrashSite(fleet *fakeFleet, engines int) *site { return newCrashSiteWith(fleet, 3, 2, engines) }

// newCrashSiteWith is newCrashSite with the given numbers of zones and hosts per zone.
func newCrashSiteWith(fleet *fakeFleet, zones, hostsPerZone, engines int) *site {
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
		f.transport = &fakeTransport{send: fleet.Send, checkReachable: fleet.checkReachable, instance: fleet.instance}
		f.settings.DrainTime = 2 * time.Second
		f.SetRetryLimit(RetryLimit{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second})
	}
	return s
}

// hostAt returns the nth host of a site of three zones with two hosts each; consecutive hosts are
// in different zones.
func (s *site) hostAt(n int) *Forwarder {
	return s.hosts[fmt.Sprintf("10.%d.0.%d:1", n%3+1, n/3%2+1)]
}

// serveAll starts every host of the site, including its placement.
func (s *site) serveAll(ctx context.Context) {
	s.startAll(ctx)
	for _, f := range s.hosts {
		go f.Run(ctx)
	}
}

// crashCall returns a call with the given body and with a request ID made from the body and n.
func crashCall(path, body string, n int) *Call {
	c := call(path)
	c.ID, c.Body = RequestID(fmt.Sprint(body, n)), []byte(body)
	return c
}

// TestRequestThatCrashesUpstreams checks that a request which has crashed three upstreams reaches
// upstreams at most three times more once hosts have had time to tell each other. This must hold
// at every host, and for each way in which a host sends requests.
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
				late, all := fleet.arrivalsAfter(crashingPrefix, 3, maxPropagationDelay)
				if late > 3 {
					t.Errorf("the request reached upstreams %d times after it had ended three of them, at most 3 are allowed; it ended %d in all", late, all)
				}
				is.True(all >= 3)
				cancel()
				synctest.Wait()
			})
		})
	}
}
