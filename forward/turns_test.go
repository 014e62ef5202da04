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
		var line turns
		var mu sync.Mutex
		var order []string
		for _, r := range []TurnRequest{{"e", "small", 3, false}, {"e", "big", 1, false}, {"e", "mid", 2, false}} {
			go func() {
				if line.take(t.Context(), r) == nil {
					mu.Lock()
					order = append(order, string(r.Run))
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					line.end(time.Now(), r.Engine, r.Run)
				}
			}()
		}
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(order, []string{"small", "mid", "big"})
		is.True(line.try(time.Now(), TurnRequest{Engine: "e", Run: "now", AtOnce: true}))
		is.True(!line.try(time.Now(), TurnRequest{Engine: "e", Run: "other", AtOnce: true}))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		is.True(line.take(ctx, TurnRequest{Engine: "e", Run: "late"}) != nil)
		cancel()
		time.Sleep(time.Second) // nobody ends the turn of "now"
		is.True(line.try(time.Now(), TurnRequest{Engine: "e", Run: "other", AtOnce: true}))
	})
}

// turnPeers asks another host's line, which doesn't learn that a caller has left,
// as over the network.
type turnPeers struct {
	fakeFollowedPeer
	arbiter *Forwarder
}

func (p *turnPeers) Turn(ctx context.Context, _ Peer, r TurnRequest) error {
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

func (p *turnPeers) EndTurn(_ context.Context, _ Peer, r TurnRequest) error {
	p.arbiter.OnEndTurn(r)
	return nil
}

// TestTurnGivenUp has a run that ends while it waits for its turn at another host
// not hold up the runs behind it.
func TestTurnGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, arbiter := newForwarder(t, &fakeTransport{}), newForwarder(t, &fakeTransport{})
		f.peerTransport = &turnPeers{arbiter: arbiter}
		f.peers.recordShare(time.Now(), Share{From: Peer{ID: "h2", Zone: "z2", PeerAddress: "10.0.0.2:1"}})
		at := Upstream{ID: "e", Zone: "z2"}
		endFirst, err := f.takeTurn(t.Context(), at, TurnRequest{Engine: "e", Run: "first", Worth: 3})
		is.NoErr(err)
		ending, end := context.WithCancel(t.Context())
		go func() {
			_, err := f.takeTurn(ending, at, TurnRequest{Engine: "e", Run: "ends by itself", Worth: 2})
			is.True(err != nil)
		}()
		var got time.Time
		go func() {
			endNext, err := f.takeTurn(t.Context(), at, TurnRequest{Engine: "e", Run: "next", Worth: 1})
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
		is.True(got.Sub(ended) <= 2*turnCheck) // not a whole turn later
	})
}
