// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// What happened, before the other entry of the product: a request ended each engine that
// began to run it, and its caller sent it anew to any host. Here the entry itself starts a
// generation that was lost on up to three engines, so that one arrival ended three.
//
// The cause: engines and accounts were judged, but not what was asked.

// closedUpstreams have all ended, or none.
type closedUpstreams struct{ ended bool }

func (c closedUpstreams) Closed(context.Context, member.Upstream) (bool, error) { return c.ended, nil }

// inCrashSite plays a test on two entries in each of two zones before six engines; the
// engines do what the script says.
func inCrashSite(t *testing.T, s script, ended bool, play func(is *is.I, s *fakeSite, entries []*Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		site := newFakeSite(ctx)
		defer site.wait.Wait()
		defer cancel()
		site.upstreams = closedUpstreams{ended}
		var entries []*Entry
		for n := range 4 {
			entries = append(entries, site.add(member.HostID(fmt.Sprint("e", n)), member.Zone(fmt.Sprint("az", n%2))))
		}
		for n := range 6 {
			site.addEngine(member.UpstreamID(fmt.Sprint("g", n)), member.Zone(fmt.Sprint("az", n%2)))
		}
		site.addService("s1", "az0")
		site.engines.scripts = []script{s}
		if err := site.declare(entries[0]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		play(is.New(t), site, entries)
	})
}

// TestRequestThatCrashesEngines has a request under which three engines ended be started on
// no further one, at any entry, and its caller be told so at once.
func TestRequestThatCrashesEngines(t *testing.T) {
	inCrashSite(t, script{startErr: errLink, ends: true}, true, func(is *is.I, s *fakeSite, entries []*Entry) {
		for n := range 12 {
			began := time.Now()
			_, err := entries[n%len(entries)].Generate(s.ctx, quote(), &fakeSink{})
			var failure *Failure
			is.True(errors.As(err, &failure))
			if n > 2 {
				is.Equal(failure.Code, CodeQuarantined)
				is.Equal(failure.RunState, NotRun)
				is.Equal(failure.RetryAfter, time.Duration(0))
				is.Equal(time.Since(began), time.Duration(0))
			}
			time.Sleep(2 * time.Second)
		}
		is.Equal(s.engines.totalStarted(), 3)
	})
}

// TestServiceCallThatCrashes is the same for calls of plain services.
func TestServiceCallThatCrashes(t *testing.T) {
	inCrashSite(t, script{}, true, func(is *is.I, s *fakeSite, entries []*Entry) {
		s.addService("s2", "az1")
		s.addService("s3", "az0")
		time.Sleep(5 * time.Second)
		s.services.err = errLink
		call := ServiceRequest{Account: "counter", Route: "stock", Method: "GET", Path: "/x"}
		for n := range 12 {
			_, err := entries[n%len(entries)].CallService(s.ctx, call)
			is.True(err != nil)
			time.Sleep(2 * time.Second)
		}
		is.Equal(s.services.count(""), 3)
		call.Path = "/y"
		s.services.err = nil
		_, err := entries[0].CallService(s.ctx, call)
		is.NoErr(err) // another call is served
	})
}

// TestLostLinksHoldNothing has requests whose links broke, while their engines live, be
// started again as ever.
func TestLostLinksHoldNothing(t *testing.T) {
	inCrashSite(t, script{startErr: errLink}, false, func(is *is.I, s *fakeSite, entries []*Entry) {
		for n := range 6 {
			_, err := entries[n%len(entries)].Generate(s.ctx, quote(), &fakeSink{})
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Code, CodeUpstreamLost)
			time.Sleep(2 * time.Second)
		}
		is.True(s.engines.totalStarted() > 6)
	})
}
