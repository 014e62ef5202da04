// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/clock/clocktest"
)

// TestAnswerOfEndedUpstreamIsNotComplete guards against an answer without a declared end that is passed on
// as complete although its upstream ended under it, and against a whole one that isn't.
func TestAnswerOfEndedUpstreamIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		// endAt is when the upstream ends, after the request; zero for never.
		endAt time.Duration
		// replaced says that another upstream has the address at once.
		replaced bool
		// leaving says that a peer has reported by then that the upstream leaves.
		leaving bool
	}{
		"call":                              {"/order/", fakeCallDuration / 2, false, false},
		"stream before its first event":     {"/llm/", fakeFirstEventDelay / 2, false, false},
		"stream that has begun":             {"/llm/", fakeFirstEventDelay + 3*fakeEventGap/2, false, false},
		"stream that has gone on for long":  {"/llm/", fakeFirstEventDelay + 2*crashAttributionWindow, false, false},
		"whole call":                        {"/order/", 0, false, false},
		"whole stream":                      {"/llm/", 0, false, false},
		"whole call of one that leaves":     {"/order/", 0, false, true},
		"whole stream of one that leaves":   {"/llm/", 0, false, true},
		"stream whose upstream ends later":  {"/llm/", 10 * time.Second, false, false},
		"call whose upstream ends just now": {"/order/", fakeCallDuration + 10*time.Second, false, false},
		"call, then another upstream":       {"/order/", fakeCallDuration / 2, true, false},
		"stream, then another upstream":     {"/llm/", fakeFirstEventDelay + 3*fakeEventGap/2, true, false},
		"call, then another is known":       {"/order/", fakeCallDuration / 2, true, true},
		"stream, then another is known":     {"/llm/", fakeFirstEventDelay + 3*fakeEventGap/2, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			runCrashScenario(t, func(d *crashScenario) {
				d.fleet.unframed, d.fleet.eventCount = true, 60
				ends := c.endAt > 0
				if ends {
					time.AfterFunc(c.endAt, func() {
						for _, u := range d.origin.list {
							d.fleet.endUpstream(u.ID)
						}
					})
				}
				d.fleet.replaceAtOnce = c.replaced
				if c.leaving {
					time.AfterFunc(fakeCallDuration/4, func() {
						for _, u := range d.origin.list {
							d.hostAt(0).receiveLeaving(time.Now(), "z1-h01", LeavingMark{Upstream: u.ID})
						}
					})
				}
				sink := d.send(d.hostAt(0), c.path, "a")
				cut := sink.refused != nil || sink.truncated
				if want := ends && c.endAt < 10*time.Second; cut != want {
					d.Errorf("the answer %q is cut: %v, want %v; refused: %v", sink.body.String(), cut, want, sink.refused)
				}
			})
		})
	}
}

// TestUnframedAnswerAfterSuspension guards against a broken answer that counts as complete after a suspension because it isn't known
// who has its upstream's address, and against a whole one that doesn't without a suspension.
func TestUnframedAnswerAfterSuspension(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		// backoff says that the upstream mayn't be asked; otherwise it doesn't give its ID.
		backoff bool
		slept   time.Duration
		cut     bool
	}{
		"call, backoff":              {"/order/", true, time.Second, true},
		"call, backoff, not slept":   {"/order/", true, 0, false},
		"call, no ID":                {"/order/", false, time.Second, true},
		"call, no ID, not slept":     {"/order/", false, 0, false},
		"stream, backoff":            {"/llm/", true, 5 * time.Second, true},
		"stream, backoff, not slept": {"/llm/", true, 0, false},
		"stream, no ID":              {"/llm/", false, 5 * time.Second, true},
		"stream, no ID, not slept":   {"/llm/", false, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			transport := &fakeTransport{}
			withSuspendableHost(t, transport, func(is *is.I, f *Forwarder, s *clocktest.Machine) {
				transport.send = func(_ context.Context, u Upstream, _ *UpstreamRequest) (*Response, error) {
					if c.backoff {
						f.recordBackoff(f.now(), u, time.Minute)
					}
					s.Suspend(c.slept)
					a := answer(200, sseEvent(1))
					a.ContentLength, a.Framed = -1, false
					return a, nil
				}
				config := testConfig(2)
				for n := range config.Routes {
					config.Routes[n].Timeout = time.Minute
				}
				f.Configure(f.now(), config)
				request, sink := call(c.path), &fakeSink{}
				request.Arrived = f.now()
				f.Serve(context.Background(), request, sink)
				is.Equal(sink.refused != nil || sink.truncated, c.cut)
			})
		})
	}
}
