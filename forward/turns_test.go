// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// TestTurns checks that runs leave an engine one at a time, the highest priority first, and
// that a turn that is not released expires.
func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var line turnQueues
		var mu sync.Mutex
		var order []string
		for _, r := range []TurnRequest{{"e", "small", 3, false}, {"e", "big", 1, false}, {"e", "mid", 2, false}} {
			go func() {
				if line.acquire(t.Context(), r) == nil {
					mu.Lock()
					order = append(order, string(r.Run))
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					line.release(time.Now(), r.Engine, r.Run)
				}
			}()
		}
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(order, []string{"small", "mid", "big"})
		is.True(line.tryAcquire(time.Now(), TurnRequest{Engine: "e", Run: "now", NoWait: true}))
		is.True(!line.tryAcquire(time.Now(), TurnRequest{Engine: "e", Run: "other", NoWait: true}))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		is.True(line.acquire(ctx, TurnRequest{Engine: "e", Run: "late"}) != nil)
		cancel()
		time.Sleep(time.Second) // the turn of "now" is not released and expires
		is.True(line.tryAcquire(time.Now(), TurnRequest{Engine: "e", Run: "other", NoWait: true}))
	})
}

// remoteArbiter requests turns from another host, which does not learn that a caller has left,
// as over the network.
type remoteArbiter struct {
	fakeFollowedPeer
	arbiter *Forwarder
}

func (p *remoteArbiter) Turn(ctx context.Context, _ Peer, r TurnRequest) error {
	granted := make(chan error, 1)
	go func() {
		atArbiter, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		granted <- p.arbiter.OnTurn(atArbiter, r)
	}()
	select {
	case err := <-granted:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *remoteArbiter) EndTurn(_ context.Context, _ Peer, r TurnRequest) error {
	p.arbiter.OnEndTurn(r)
	return nil
}

// TestCanceledTurnRequest checks that a run that ends while it waits for its turn at another
// host does not hold up the runs behind it.
func TestCanceledTurnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, arbiter := newForwarder(t, &fakeTransport{}), newForwarder(t, &fakeTransport{})
		f.peerTransport = &remoteArbiter{arbiter: arbiter}
		f.peers.recordShare(time.Now(), Share{From: Peer{ID: "h2", Zone: "z2", PeerAddress: "10.0.0.2:1"}})
		at := Upstream{ID: "e", Zone: "z2"}
		endFirst, err := f.acquireTurn(t.Context(), at, TurnRequest{Engine: "e", Run: "first", Priority: 3})
		is.NoErr(err)
		ending, end := context.WithCancel(t.Context())
		go func() {
			_, err := f.acquireTurn(ending, at, TurnRequest{Engine: "e", Run: "ends by itself", Priority: 2})
			is.True(err != nil)
		}()
		var got time.Time
		go func() {
			endNext, err := f.acquireTurn(t.Context(), at, TurnRequest{Engine: "e", Run: "next", Priority: 1})
			is.NoErr(err)
			got = time.Now()
			endNext()
		}()
		time.Sleep(100 * time.Millisecond)
		end()
		synctest.Wait()
		ended := time.Now()
		endFirst()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.True(got.Sub(ended) <= 2*turnCheckInterval) // not a whole turn later
	})
}

// TestArbiterStays guards against an engine whose runs are all copied at once, each too slowly, because the host that grants
// their turns has stopped.
func TestArbiterStays(t *testing.T) {
	now := time.Now()
	share := func(id member.HostID, stopping bool) Share {
		return Share{From: Peer{ID: id, Zone: "z1"}, Stopping: stopping}
	}
	for name, c := range map[string]struct {
		selfStops bool
		shares    []Share
		// want are the hosts of which each grants the turns of some engine.
		want map[member.HostID]bool
	}{
		"all stay":         {false, []Share{share("h2", false), share("h3", false)}, map[member.HostID]bool{"h1": true, "h2": true, "h3": true}},
		"a peer stops":     {false, []Share{share("h2", false), share("h2", true), share("h3", false)}, map[member.HostID]bool{"h1": true, "h3": true}},
		"this host stops":  {true, []Share{share("h2", false), share("h3", false)}, map[member.HostID]bool{"h2": true, "h3": true}},
		"all peers stop":   {false, []Share{share("h2", true), share("h3", true)}, map[member.HostID]bool{"h1": true}},
		"all hosts stop":   {true, []Share{share("h2", true)}, map[member.HostID]bool{"h1": true, "h2": true}},
		"a peer is back":   {true, []Share{share("h2", true), share("h2", false)}, map[member.HostID]bool{"h2": true}},
		"alone, and stops": {true, nil, map[member.HostID]bool{"h1": true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeerSet(Peer{ID: "h1", Zone: "z1"}, nil)
			for _, s := range c.shares {
				p.recordShare(now, s)
			}
			if c.selfStops {
				p.markStopping()
			}
			got := map[member.HostID]bool{}
			for n := range 100 {
				got[p.arbiter(now, Upstream{ID: member.UpstreamID(fmt.Sprint("llm", n)), Zone: "z1"}).ID] = true
			}
			is.Equal(got, c.want)
		})
	}
}
