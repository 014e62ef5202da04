// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// reachTimeout bounds the probe of an upstream whose connection broke. An upstream that has
// ended refuses the connection within a round trip; over a link that is cut there is no answer.
const reachTimeout = 50 * time.Millisecond

// closedByUpstream reports whether an error means that the upstream ended the connection, as
// opposed to a link without traffic or an invalid answer.
func closedByUpstream(err error) bool {
	for _, closeErr := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closeErr) {
			return true
		}
	}
	return false
}

// requestIdentity is what identifies the content of the request, so that repeats of it under
// other request IDs, and other requests with the same parts in their prompts, are recognised.
func (x *exchange) requestIdentity() quarantine.RequestIdentity {
	if known := x.identity.Load(); known != nil {
		return *known
	}
	a := quarantine.RequestIdentity{
		Caller: string(x.account.Name), Method: x.call.Method, Host: normalizeHost(x.call.Host), Target: x.call.Target, Body: x.call.Body,
		Service: string(x.service.Name), SharedParts: x.call.Prompt.SharedParts,
	}
	if a.Caller == "" {
		a.Caller = x.call.APIKey
	}
	return a
}

// joinParts returns the parts that quarantine looks at as one value of a log line.
func joinParts(parts []quarantine.PartID) string {
	var text strings.Builder
	for n, part := range parts[:min(len(parts), quarantine.MaxParts)] {
		if n > 0 {
			text.WriteByte(',')
		}
		text.WriteString(string(part))
	}
	return text.String()
}

// recordBrokenConnection finds out whether an upstream ended when its connection broke before
// the end of the answer. It logs that with the request's fingerprint, because two requests with
// different IDs may have the same content. If the upstream ended without notice while the
// request was beginning to run there, the request is recorded as a possible cause. firstEventAt
// is when the upstream's first event arrived; zero if none did.
func (x *exchange) recordBrokenConnection(ctx context.Context, now time.Time, u Upstream, firstEventAt time.Time, cause error) {
	if !closedByUpstream(cause) || ctx.Err() != nil {
		return
	}
	ended, err := x.checkUpstreamEnded(ctx, u, reachTimeout)
	x.observer.ConnectionBroken(ended)
	x.recordBrokenDeparture(now, u, ended)
	// An upstream that had announced that it leaves ended as announced.
	announced := x.fleet.LeavingFor(now, u.ID) >= minLeavingNotice
	keyvals := []any{"upstream", u.ID, "life", u.Incarnation, "ended", ended, "leaving", announced, "asks", x.fingerprint(), "account", x.account.Name, "parts", joinParts(x.call.Prompt.SharedParts), "runs_beside", x.engines.otherRuns(x.service.Name, u.ID, x.runID())}
	if !firstEventAt.IsZero() {
		keyvals = append(keyvals, "first_event_ago", now.Sub(firstEventAt))
	}
	x.journal.Request(x.call.ID, "connection broke", append(keyvals, "looked", err)...)
	if ended && !announced && (firstEventAt.IsZero() || now.Sub(firstEventAt) < crashAttributionWindow) {
		x.recordCrash(now, u)
	}
}
