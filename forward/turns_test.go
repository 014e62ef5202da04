// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestTurns has runs leave an engine one at a time, the worthiest first, and a
// turn that isn't ended run out.
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
		time.Sleep(time.Second) // nobody ends the turn of "now"
		is.True(line.tryAcquire(time.Now(), TurnRequest{Engine: "e", Run: "other", NoWait: true}))
	})
}

// remoteArbiter asks another host's line, which doesn't learn that a caller has left,
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

// TestCanceledTurnRequest has a run that ends while it waits for its turn at another host
// not hold up the runs behind it.
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
