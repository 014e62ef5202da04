// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// silentBody yields some events, and then nothing until it is closed.
type silentBody struct {
	io.Reader
	closeOnce sync.Once
	closed    chan struct{}
	// silence is how long it yields nothing; then it yields rest and ends.
	silence time.Duration
	rest    io.Reader
}

func (b *silentBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	select {
	case <-b.closed:
		return 0, io.ErrClosedPipe
	case <-time.After(b.silence):
		b.silence = 0
		return b.rest.Read(p)
	}
}

func (b *silentBody) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	return nil
}

// TestStreamOverBrokenLink guards against streams that get no further events after their host's link to
// the engine broke, and against moves off an engine that is merely silent for a while.
func TestStreamOverBrokenLink(t *testing.T) {
	events := func(from, to int) string {
		var text strings.Builder
		for i := from; i <= to; i++ {
			text.WriteString(sseEvent(i))
		}
		return text.String()
	}
	for name, c := range map[string]struct {
		linkBroken bool
		// carrier is the peer that carries the stream.
		carrier member.HostID
		// carrierStops says that the peer stops.
		carrierStops bool
		silence      time.Duration
		// copyTime is how long a copy takes.
		copyTime time.Duration
		// refused is how many copies targets refuse.
		refused int
		// pause is how long the engine is silent again after its next event.
		pause   time.Duration
		moveErr error
		// want is what the caller gets, and cut is whether its answer is incomplete.
		want  string
		cut   bool
		moves int
		// within is how long the answer takes at most.
		within time.Duration
	}{
		"link broken, moved":                {linkBroken: true, silence: time.Hour, want: events(1, 9), moves: 2, within: 3 * time.Second},
		"link broken, run not there":        {linkBroken: true, silence: time.Hour, moveErr: ErrRunNotFound, want: events(1, 4), cut: true, moves: 1, within: 3 * time.Second},
		"link broken, run just ended":       {linkBroken: true, silence: 1900 * time.Millisecond, moveErr: ErrRunNotFound, want: events(1, 9), moves: 1, within: 2 * time.Second},
		"link broken, run ended, slow rest": {linkBroken: true, silence: 1900 * time.Millisecond, pause: 500 * time.Millisecond, moveErr: ErrRunNotFound, want: events(1, 9), moves: 1, within: 3 * time.Second},
		"a peer's link broke, moved":        {carrier: "h2", silence: time.Hour, want: events(1, 9), moves: 2, within: 4 * time.Second},
		"carried, silent for a second":      {carrier: "h2", silence: time.Second, want: events(1, 9), within: 1100 * time.Millisecond},
		"carrier stops, moved":              {carrier: "h2", carrierStops: true, silence: 1900 * time.Millisecond, want: events(1, 9), moves: 2, within: time.Second},
		"carrier stops, run not there":      {carrier: "h2", carrierStops: true, silence: 1900 * time.Millisecond, moveErr: ErrRunNotFound, want: events(1, 9), moves: 3, within: 2 * time.Second},
		"carrier stops, a target is full":   {carrier: "h2", carrierStops: true, silence: 1900 * time.Millisecond, refused: 1, want: events(1, 9), moves: 3, within: time.Second},
		"carrier stops, links are busy":     {carrier: "h2", carrierStops: true, silence: time.Hour, copyTime: 700 * time.Millisecond, want: events(1, 9), moves: 4, within: 3700 * time.Millisecond},
		"silent for a second":               {silence: time.Second, want: events(1, 9), within: 1100 * time.Millisecond},
		"silent for longer, then goes on":   {silence: 4 * time.Second, want: events(1, 9), within: 4100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				script := &engineScript{eventCount: 9}
				transport := &fakeTransport{}
				transport.linksBroken.Store(c.linkBroken)
				transport.send = func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
					if r.Continue != nil {
						return script.send(ctx, u, r)
					}
					a := answer(200, "")
					a.Signals.Via = c.carrier
					closed := make(chan struct{})
					rest := &silentBody{Reader: strings.NewReader(events(5, 5)), rest: strings.NewReader(events(6, 9)), silence: c.pause, closed: closed}
					a.Body = &silentBody{Reader: strings.NewReader(events(1, 4)), rest: rest, silence: c.silence, closed: closed}
					return a, nil
				}
				moves := 0
				transport.move = func(context.Context, Upstream, MoveRequest) (MoveResult, error) {
					moves++
					time.Sleep(c.copyTime)
					if moves <= c.refused {
						return MoveResult{}, ErrTargetUnavailable
					}
					return MoveResult{Handle: "h"}, c.moveErr
				}
				f, sink := newForwarder(t, transport), &fakeSink{}
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				f.peers.recordShare(time.Now(), Share{From: Peer{ID: "h2"}, Stopping: c.carrierStops})
				began := time.Now()
				f.Serve(t.Context(), call("/llm/"), sink)
				cancel()
				is.True(time.Since(began) <= c.within)
				is.Equal(sink.body.String(), c.want)
				is.Equal(sink.truncated, c.cut)
				is.Equal(moves, c.moves)
				if c.linkBroken {
					// The link is at fault, so the engine still gets work.
					is.True(!f.fleet.IsFailing(time.Now(), "llm1") && !f.fleet.IsFailing(time.Now(), "llm2") && !f.fleet.IsFailing(time.Now(), "llm3"))
				}
				synctest.Wait()
			})
		})
	}
}

// TestRunIsNotMovedToItsOwnEngine guards against copies of a run to the engine that it is on, when it moves off a link
// and the links of all other engines are in use.
func TestRunIsNotMovedToItsOwnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		script, transport := &engineScript{eventCount: 9}, &fakeTransport{}
		transport.linksBroken.Store(true)
		f, sink := newForwarder(t, transport), &fakeSink{}
		f.fleet.Suspect(time.Now(), "llm3")
		f.updatePlacementEngines(time.Now(), f.Table())
		transport.send = func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
			if r.Continue != nil {
				return script.send(ctx, u, r)
			}
			// The link is checked 1.8 s after the start; turns lapse.
			time.AfterFunc(1700*time.Millisecond, func() {
				for _, other := range f.fleet.Available(time.Now(), "llm") {
					if other.ID != u.ID {
						_, err := f.acquireTurn(ctx, other, TurnRequest{Engine: other.ID, Run: "another"})
						is.NoErr(err)
					}
				}
			})
			a := answer(200, "")
			a.Body = &silentBody{Reader: strings.NewReader(sseEvent(1)), rest: strings.NewReader(""), silence: time.Hour, closed: make(chan struct{})}
			return a, nil
		}
		moves := 0
		transport.move = func(_ context.Context, from Upstream, r MoveRequest) (MoveResult, error) {
			moves++
			is.True(r.TargetAddress != from.Address) // copied to its own engine
			return MoveResult{Handle: "h"}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		f.Serve(t.Context(), call("/llm/"), sink)
		cancel()
		is.Equal(moves, 2)
		is.True(!sink.truncated)
		synctest.Wait()
	})
}
