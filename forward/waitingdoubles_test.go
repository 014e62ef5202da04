// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/shedpath/shedpath/permit"
)

// waitingPeers are the connections of a host of a waitingSite.
type waitingPeers struct {
	sitePeers
	w *waitingSite
}

func (p waitingPeers) Permit(ctx context.Context, to Peer, a permit.GrantRequest) (permit.GrantReply, error) {
	if err := p.w.waitAt(ctx, atPermit); err != nil {
		return permit.GrantReply{}, err
	}
	return p.sitePeers.Permit(ctx, to, a)
}

func (p waitingPeers) Ask(ctx context.Context, to Peer, r PlacementRequest) (PlacementGrant, error) {
	if err := p.w.waitAt(ctx, atOtherZone); err != nil {
		return PlacementGrant{}, err
	}
	return p.sitePeers.Ask(ctx, to, r)
}

func (p waitingPeers) Turn(ctx context.Context, to Peer, r TurnRequest) error {
	if err := p.w.waitAt(ctx, atTurn); err != nil {
		return err
	}
	if f := p.w.reachHost(ctx, p.address, to); f != nil {
		return f.OnTurn(ctx, r)
	}
	return errConnectionLost
}

func (p waitingPeers) EndTurn(ctx context.Context, to Peer, r TurnRequest) error {
	if f := p.w.reachHost(ctx, p.address, to); f != nil {
		f.OnEndTurn(r)
		return nil
	}
	return errConnectionLost
}

func (p waitingPeers) Admit(ctx context.Context, to Peer, r AdmitRequest) (AdmitReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replied := make(chan AdmitReply, 1)
	failed := make(chan error, 1)
	go func() {
		reply, err := p.sitePeers.Admit(ctx, to, r)
		if err != nil {
			failed <- err
			return
		}
		if p.w.reachHost(ctx, p.address, to) != nil {
			replied <- reply
		}
	}()
	select {
	case reply := <-replied:
		return reply, nil
	case err := <-failed:
		return AdmitReply{}, err
	case <-p.w.killed:
		return AdmitReply{}, errConnectionLost
	case <-ctx.Done():
		return AdmitReply{}, ctx.Err()
	}
}

// waitingEventCount is how many events a stream has.
const waitingEventCount = 40

// send plays the upstreams: plain ones that answer after 20 ms, and engines that make an event each 50 ms.
func (w *waitingSite) send(fails bool) func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
	return func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
		attempt := 0
		if r.Continue == nil || r.Continue.Handle == "" {
			w.mu.Lock()
			w.ran++
			attempt = w.ran
			w.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
		if err := w.waitAt(ctx, atUpstream); err != nil {
			return nil, err
		}
		if attempt > 1 {
			if err := w.waitAt(ctx, atSecond); err != nil {
				return nil, err
			}
		}
		breaks := fails && attempt == 1
		if u.Service != "llm" {
			if breaks {
				return nil, errConnectionLost
			}
			return answer(http.StatusOK, "ok"), nil
		}
		stopped := w.stopped
		begin := 1
		if r.Continue != nil {
			if r.Continue.Handle != "" {
				stopped = nil
			}
			last, _ := strconv.Atoi(r.Continue.LastEventID)
			begin += last
		}
		read, write := io.Pipe()
		go func() {
			defer context.AfterFunc(ctx, func() { write.CloseWithError(context.Cause(ctx)) })()
			if w.waitAt(ctx, atFirstEvent) != nil {
				return
			}
			for n := begin; n <= waitingEventCount; n++ {
				_, err := fmt.Fprintf(write, "id: %d\ndata: x\n\n", n)
				if err != nil || breaks {
					write.CloseWithError(errConnectionLost)
					return
				}
				select {
				case <-stopped:
					write.CloseWithError(io.ErrUnexpectedEOF)
					return
				case <-time.After(50 * time.Millisecond):
				}
				if w.waitAt(ctx, atNextEvent) != nil {
					return
				}
			}
			_ = write.Close()
		}()
		a := answer(http.StatusOK, "")
		a.ContentLength, a.Body = -1, read
		return a, nil
	}
}

func (w *waitingSite) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran
}

func (w *waitingSite) move(ctx context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
	at := atCopy
	if r.StopSource {
		at = atFinalCopy
		w.stopSource.Do(func() { close(w.stopped) })
	}
	time.Sleep(10 * time.Millisecond)
	if err := w.waitAt(ctx, at); err != nil {
		return MoveResult{}, err
	}
	return MoveResult{Handle: "copy"}, nil
}

// waitingSink counts the answers to a request, and how they end.
type waitingSink struct {
	w                              *waitingSite
	began, refused, cut, succeeded int
	refusal                        Refusal
	// missing counts the events that a stream still lacks.
	missing int
	aborted chan struct{}
	abort   sync.Once
}

func (s *waitingSink) SendResponse(a *Response, _ []byte) error {
	s.began++
	if a.Status == http.StatusOK {
		s.succeeded++
	}
	return nil
}

func (s *waitingSink) BeginResponse(a *Response) error {
	s.missing = waitingEventCount
	return s.SendResponse(a, nil)
}

func (s *waitingSink) Write([]byte) error {
	ctx, cancel := context.WithCancel(s.w.t.Context())
	defer cancel()
	go func() {
		select {
		case <-s.aborted:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := s.w.waitAt(ctx, atReader); err != nil {
		return err
	}
	s.missing--
	return nil
}
func (s *waitingSink) Abort() { s.abort.Do(func() { close(s.aborted) }) }
func (s *waitingSink) Refuse(r Refusal) error {
	s.refused++
	s.refusal = r
	return nil
}
func (s *waitingSink) Truncate() { s.cut++ }
