// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// reachTimeout bounds the look at an upstream whose connection broke: one that ended
// refuses a connection within a round trip, and a link that is cut says nothing.
const reachTimeout = 50 * time.Millisecond

// closedByUpstream reports whether an error says that the other side ended the connection. A link
// that fell silent, and bytes that are no answer, are something else.
func closedByUpstream(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// requestIdentity is what the request asks, for telling it from others.
func (x *exchange) requestIdentity() quarantine.Asked {
	a := quarantine.Asked{
		Caller: string(x.account.Name), Method: x.call.Method, Host: normalizeHost(x.call.Host), Target: x.call.Target, Body: x.call.Body,
	}
	if a.Caller == "" {
		a.Caller = x.call.APIKey
	}
	return a
}

// recordBrokenConnection looks what became of an upstream whose connection broke before its answer
// had ended, and notes it with what the request asks: two requests with different ids may
// ask the same. begun is when the upstream's first event came; zero before that.
func (x *exchange) recordBrokenConnection(ctx context.Context, now time.Time, u Upstream, begun time.Time, cause error) {
	if !closedByUpstream(cause) || ctx.Err() != nil {
		return
	}
	ended, err := x.upstreamEnded(ctx, u)
	x.observer.ConnectionBroken(ended)
	// One that had said that it leaves has ended as it said.
	left := x.fleet.LeavingFor(now, u.ID) >= noticeLeast
	keyvals := []any{"upstream", u.ID, "life", u.Incarnation, "ended", ended, "leaving", left, "asks", x.fingerprint(), "runs_beside", x.engines.otherRuns(x.service.Name, u.ID, x.runID())}
	if !begun.IsZero() {
		keyvals = append(keyvals, "first_event_ago", now.Sub(begun))
	}
	x.journal.Request(x.call.ID, "connection broke", append(keyvals, "looked", err)...)
	if ended && !left && (begun.IsZero() || now.Sub(begun) < beginsFor) {
		x.crashedUnder(now, u)
	}
}
