// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"time"
)

const (
	// silentStreamCheck is how long a stream may be silent before its engine's link is checked. The
	// engine itself may be silent for a second and go on.
	silentStreamCheck = time.Second
	// carriedStreamSilence is how long a stream that a peer carries may be silent before its run moves:
	// this host can't check the peer's link.
	carriedStreamSilence = 2 * time.Second
	// carrierLeaveTime is how long after the carrier's stop was noticed a run may take to move. It is well
	// below a grace period.
	carrierLeaveTime = 2 * time.Second
	// linkCheckTimeout bounds the check of a link.
	linkCheckTimeout = 400 * time.Millisecond
	// sourceEndTimeout is how long the stream of a run that has left its engine may stay open. It
	// normally ends before the final copy is done.
	sourceEndTimeout = 250 * time.Millisecond
)

// leaveBrokenLink moves the run off an engine that works but whose events don't arrive, because this
// host's own link to it broke, or that of the peer that carries the stream. The calls for the move go
// through a peer. If the engine no longer has the run and the stream stays silent, the answer is closed.
func (m *mover) leaveBrokenLink(ctx context.Context, x *exchange, run *ownRun) *handover {
	now := x.now()
	if made := run.generatedTokens.Load(); made != m.progress || m.progressAt.IsZero() {
		m.progress, m.progressAt = made, now
		return nil
	}
	carried := m.answer.Signals.Via != ""
	if silence := now.Sub(m.progressAt); silence < silentStreamCheck || carried && silence < carriedStreamSilence {
		return nil
	}
	m.progressAt = now
	if !carried && !x.linkBroken(ctx, m.source) {
		return nil
	}
	next, err := m.tryMove(ctx, x, run, x.now().Add(moveTimeout))
	if next == nil {
		x.journal.Request(x.call.ID, "not moved off a broken link", "from", m.source.ID, "err", err)
	}
	if errors.Is(err, ErrRunNotFound) {
		// The run has ended. Unless the rest of its events was on its way, it is lost with the connection.
		PauseFor(ctx, sourceEndTimeout)
		if ctx.Err() == nil && run.generatedTokens.Load() == m.progress {
			closeBody(m.answer)
		}
	}
	return next
}

// leaveStoppingCarrier moves the run to another engine because the peer that carries the stream stops,
// and ends the tunnel at the end of its grace period. Connections for the move go over this host's own
// link or through other peers. leaving is closed when the engine itself leaves.
func (m *mover) leaveStoppingCarrier(ctx context.Context, x *exchange, run *ownRun, leaving <-chan struct{}) *handover {
	carrier := m.answer.Signals.Via
	if carrier == "" || !x.peers.isStopping(carrier) {
		return nil
	}
	if m.carrierStopSeen.IsZero() {
		m.carrierStopSeen = x.now()
	}
	by := m.carrierStopSeen.Add(carrierLeaveTime)
	for {
		next, err := m.tryMove(ctx, x, run, by)
		if next != nil || m.isRunStopping() {
			return next
		}
		x.journal.Request(x.call.ID, "not moved off a stopping carrier", "from", m.source.ID, "carrier", carrier, "err", err)
		if errors.Is(err, ErrRunNotFound) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-leaving:
			return nil
		case <-time.After(moveRetryDelay):
		}
		if !x.now().Before(by) {
			return nil
		}
	}
}

// linkBroken reports whether an upstream is reached, but only through a peer.
func (x *exchange) linkBroken(ctx context.Context, u Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, linkCheckTimeout)
	defer cancel()
	direct, err := x.transport.CheckReachable(ctx, u)
	return err == nil && !direct
}

// endBrokenStream closes the stream of a run that was moved if its end doesn't arrive because the
// link is broken. The context ends when the stream has ended.
func (m *mover) endBrokenStream(ctx context.Context, x *exchange) {
	PauseFor(ctx, sourceEndTimeout)
	if ctx.Err() == nil && (m.answer.Signals.Via != "" || x.linkBroken(ctx, m.source)) {
		closeBody(m.answer)
	}
}
