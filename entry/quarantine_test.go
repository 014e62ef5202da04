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
	"github.com/shedpath/shedpath/quarantine"
)

// These tests guard against a request that crashes every engine that starts it. An entry starts a
// lost generation on up to three engines, so three engines crash each time the caller sends the
// request, to whatever entry. Judging only engines and accounts, but not the request, doesn't stop
// this.

// fixedProber reports every upstream as closed, or none.
type fixedProber struct{ closed bool }

func (c fixedProber) Closed(context.Context, member.Upstream) (bool, error) { return c.closed, nil }

// runInCrashSite runs a test on two entries in each of two zones and on six engines, all of which
// follow the script. closed is what the prober reports.
func runInCrashSite(t *testing.T, s script, closed bool, test func(is *is.I, s *fakeSite, entries []*Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		site := newFakeSite(ctx)
		defer site.running.Wait()
		defer cancel()
		site.upstreams = fixedProber{closed}
		var entries []*Entry
		for n := range 4 {
			entries = append(entries, site.addEntry(member.HostID(fmt.Sprint("e", n)), member.Zone(fmt.Sprint("az", n%2))))
		}
		for n := range 6 {
			site.addEngine(member.UpstreamID(fmt.Sprint("g", n)), member.Zone(fmt.Sprint("az", n%2)))
		}
		site.addService("s1", "az0")
		site.engines.scripts = []script{s}
		if err := site.declareSampleConfig(entries[0]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		test(is.New(t), site, entries)
	})
}

// TestRequestThatCrashesEngines checks that a request under which three engines ended is started on
// no further engine by any entry, and that its caller gets the failure at once.
func TestRequestThatCrashesEngines(t *testing.T) {
	runInCrashSite(t, script{startErr: errLinkBroken, crashes: true}, true, func(is *is.I, s *fakeSite, entries []*Entry) {
		for n := range 12 {
			began := time.Now()
			_, err := entries[n%len(entries)].Generate(s.ctx, quoteRequest(), &fakeSink{})
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
		is.Equal(s.engines.totalStarts(), 3)
	})
}

// TestPartThatCrashesEngines guards against a part of prompts that crashes engine after engine because
// each request around it is another one.
func TestPartThatCrashesEngines(t *testing.T) {
	sound := script{events: append(tokenEvents(1, 5), endEvent(5))}
	runInCrashSite(t, sound, true, func(is *is.I, s *fakeSite, entries []*Entry) {
		generate := func(n int, parts ...quarantine.PartID) error {
			request := quoteRequest()
			request.Body, request.SharedParts = fmt.Append(nil, "another ", n), parts
			_, err := entries[n%len(entries)].Generate(s.ctx, request, &fakeSink{})
			return err
		}
		for n := range entries {
			is.NoErr(generate(n, "system"))
		}
		soundStarts := s.engines.totalStarts()
		s.engines.scripts = []script{{startErr: errLinkBroken, crashes: true}}
		for n := range 12 {
			err := generate(n, "system", "crashing", quarantine.PartID(fmt.Sprint("topic", n)))
			var failure *Failure
			is.True(errors.As(err, &failure))
			if n > 2 {
				is.Equal(failure.Code, CodeQuarantined)
				is.Equal(failure.RunState, NotRun)
			}
			time.Sleep(2 * time.Second)
		}
		is.True(s.engines.totalStarts()-soundStarts <= 5)
		s.engines.scripts = []script{sound}
		clear(s.engines.crashed) // they are back
		for n := range entries {
			is.NoErr(generate(n, "system", "topic3"))
		}
	})
}

// TestServiceCallThatCrashesUpstreams checks that a service call under which three upstreams ended
// is sent to no further upstream, while other calls are served.
func TestServiceCallThatCrashesUpstreams(t *testing.T) {
	runInCrashSite(t, script{}, true, func(is *is.I, s *fakeSite, entries []*Entry) {
		s.addService("s2", "az1")
		s.addService("s3", "az0")
		time.Sleep(5 * time.Second)
		s.services.err = errLinkBroken
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
		is.NoErr(err) // a different request to the same route is served
	})
}

// TestFailedServiceCallClearsNothing guards against a call that goes on to crash upstreams because one
// of them failed it before.
func TestFailedServiceCallClearsNothing(t *testing.T) {
	runInCrashSite(t, script{}, true, func(is *is.I, s *fakeSite, entries []*Entry) {
		s.addService("s2", "az1")
		s.addService("s3", "az0")
		time.Sleep(5 * time.Second)
		call := ServiceRequest{Account: "counter", Route: "stock", Method: "GET", Path: "/x"}
		s.services.err, s.services.failNth = errLinkBroken, 3
		for n := range 12 {
			_, err := entries[n%len(entries)].CallService(s.ctx, call)
			is.Equal(err == nil, n == 0) // its third upstream answers
			time.Sleep(2 * time.Second)
		}
		is.Equal(s.services.count(""), 4) // three that ended, one that failed
	})
}

// TestBrokenLinksAreNotQuarantined checks that requests whose links broke while their engines kept
// running are still started again.
func TestBrokenLinksAreNotQuarantined(t *testing.T) {
	runInCrashSite(t, script{startErr: errLinkBroken}, false, func(is *is.I, s *fakeSite, entries []*Entry) {
		for n := range 6 {
			_, err := entries[n%len(entries)].Generate(s.ctx, quoteRequest(), &fakeSink{})
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Code, CodeUpstreamLost)
			time.Sleep(2 * time.Second)
		}
		is.True(s.engines.totalStarts() > 6)
	})
}
