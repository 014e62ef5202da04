// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// TestFailingEngine checks that an engine that loses requests or does not answer gets no new
// streams for a while, longer each time, and is then tried again.
func TestFailingEngine(t *testing.T) {
	for name, loseStream := range map[string]func(ctx context.Context) (*Response, error){
		"resets": func(context.Context) (*Response, error) { return nil, io.ErrUnexpectedEOF },
		"breaks streams off": func(context.Context) (*Response, error) {
			a := answer(200, "")
			a.Body = io.NopCloser(io.MultiReader(&chunkedReader{source: &oneEventReader{}, size: 64}, errReader{}))
			return a, nil
		},
		"is silent": func(ctx context.Context) (*Response, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &fakeTransport{send: func(ctx context.Context, u Upstream, _ *UpstreamRequest) (*Response, error) {
					if u.ID == "llm1" {
						return loseStream(ctx)
					}
					return answer(200, "id: 1\n\n"), nil
				}}
				f := newForwarder(t, transport)
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				lostStreams := func(streams int) int {
					before := len(transport.sentTo())
					for n := range streams {
						c := call("/llm/")
						c.ID = RequestID(fmt.Sprint("r", time.Now().UnixNano(), n))
						left, leave := context.WithTimeout(ctx, 4*time.Second)
						f.Serve(left, c, &fakeSink{})
						leave()
						synctest.Wait()
					}
					lost := 0
					for _, id := range transport.sentTo()[before:] {
						if id == "llm1" {
							lost++
						}
					}
					return lost
				}
				f.fleet.Suspect(time.Now(), "llm2")
				f.fleet.Suspect(time.Now(), "llm3")
				synctest.Wait()
				is.Equal(lostStreams(1), 1)
				is.Equal(len(f.fleet.FailingMarks(time.Now())), 1) // the loss was recorded
				time.Sleep(suspectDuration)                        // llm2 and llm3 are available again
				f.fleet.RecordFailure(time.Now(), "llm1")
				synctest.Wait()
				is.Equal(lostStreams(6), 0)
				time.Sleep(maxFailingHold)
				synctest.Wait()
				is.True(!f.fleet.IsFailing(time.Now(), "llm1")) // llm1 is tried again
				cancel()
				synctest.Wait()
			})
		})
	}
}

// oneEventReader yields one event and then io.EOF.
type oneEventReader struct{ read bool }

func (e *oneEventReader) Read(p []byte) (int, error) {
	if e.read {
		return 0, io.EOF
	}
	e.read = true
	return copy(p, "id: 1\n\n"), nil
}

// TestReceiveFailing checks that a host accepts a finding about an upstream from a peer of its
// zone, but not from a host of another zone, which has other links to the upstream.
func TestReceiveFailing(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	marks := []FailingMark{{Upstream: "llm1", Remaining: time.Second}, {Upstream: "unknown", Remaining: time.Second}}
	f.receiveShare(Share{From: Peer{ID: "h2", Zone: "z2"}, Failing: marks})
	is.True(!f.fleet.IsFailing(time.Now(), "llm1"))
	f.receiveShare(Share{From: Peer{ID: "h3", Zone: "z1"}, Failing: marks})
	is.True(f.fleet.IsFailing(time.Now(), "llm1"))
	is.Equal(len(f.fleet.FailingMarks(time.Now())), 0) // peers' findings are not forwarded; the host that made them shares them
}

// TestFailedHold checks that the period without new work doubles with each failure in a row, up
// to a maximum, and starts over once the upstream has answered.
func TestFailedHold(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	now := time.Now()
	hold := func(id member.UpstreamID) time.Duration { return f.fleet.RecordFailure(now, id) }
	is.Equal([]time.Duration{hold("llm1"), hold("llm1"), hold("llm1"), hold("llm1")}, []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second})
	f.fleet.RecordSuccess("llm1")
	is.Equal(hold("llm1"), initialFailingHold)
	f.fleet.MarkLeaving(now, "llm2", 0, true)
	is.Equal(hold("llm2"), time.Duration(0)) // a leaving upstream gets no new work anyway
}

// TestZoneUnreachable checks that a failed connection to another zone keeps new work from all
// upstreams of that zone, on this host and on its peers in the own zone.
func TestZoneUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{send: func(_ context.Context, u Upstream, _ *UpstreamRequest) (*Response, error) {
			if u.Zone != "z1" {
				return nil, ErrNotSent
			}
			return answer(200, "id: 1\n\n"), nil
		}}
		f := newForwarder(t, transport)
		var list []Upstream
		for n, zone := range []member.Zone{"z2", "z2", "z2", "z1", "z3"} {
			list = append(list, Upstream{ID: member.UpstreamID(fmt.Sprint("e", n)), Service: "llm", Zone: zone, Slots: 24, Revision: rev(2)})
		}
		f.fleet.Replace(time.Now(), list, rev(2))
		f.fleet.Suspect(time.Now(), "e3") // the engine of the own zone is tried last
		f.fleet.Suspect(time.Now(), "e4")
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		synctest.Wait()
		f.Serve(ctx, call("/llm/"), &fakeSink{})
		is.Equal(len(f.fleet.FailingMarks(time.Now())), 3)
		peer := newForwarder(t, transport)
		peer.fleet.Replace(time.Now(), list, rev(2))
		peer.receiveShare(f.newShare(time.Now()))
		is.Equal(len(peer.fleet.Available(time.Now(), "llm")), 2) // e3 and e4
		cancel()
		synctest.Wait()
	})
}

// TestLateButWorking checks that an engine whose first event is late counts as failing only if
// none of its other runs makes progress.
func TestLateButWorking(t *testing.T) {
	for name, c := range map[string]struct {
		// progressFor is for how long a peer reports progress of another run on the engine.
		progressFor time.Duration
		// failingAfter is the time within which the engine must count as failing; zero if it
		// must not.
		failingAfter time.Duration
	}{
		"nothing there gets on":        {0, 3 * time.Second},
		"another run gets on":          {20 * time.Second, 0},
		"another run gets on at first": {4 * time.Second, 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &fakeTransport{send: func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
					<-ctx.Done()
					return nil, context.Cause(ctx)
				}}
				f := newForwarder(t, transport)
				f.fleet.Suspect(time.Now(), "llm2")
				f.fleet.Suspect(time.Now(), "llm3")
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				synctest.Wait()
				go f.Serve(ctx, call("/llm/"), &fakeSink{})
				synctest.Wait()
				engine := transport.sentTo()[0]
				began := time.Now()
				var failed time.Duration
				for made := policy.Tokens(100); time.Since(began) < 10*time.Second; made += 50 {
					if time.Since(began) < c.progressFor {
						f.engines.replacePeerRuns(time.Now(), "h2", []RunState{{Run: "other", Service: "llm", Engine: engine, Prompt: 100, Made: made, Limit: 5000}}, nil)
					}
					if len(f.fleet.FailingMarks(time.Now())) > 0 && failed == 0 {
						failed = time.Since(began)
					}
					time.Sleep(shareInterval)
				}
				is.Equal(failed > 0, c.failingAfter > 0)
				is.True(failed <= c.failingAfter)
				cancel()
				synctest.Wait()
			})
		})
	}
}
