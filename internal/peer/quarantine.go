// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
)

// wireCrashMark encodes quarantine.Mark. Head and Body are the two parts of the request's
// fingerprint.
type wireCrashMark struct {
	Head, Body    []byte
	Caller, Route string
	Ended         []wireCrash
	Cleared       []wireCrash
}

// wireCrash encodes quarantine.CrashAge or, without Ago, quarantine.Upstream; Ago is in
// milliseconds.
type wireCrash struct {
	ID        string
	Life, Ago int64
}

func toWireCrashMarks(marks []quarantine.Mark) []wireCrashMark {
	var all []wireCrashMark
	for _, m := range marks {
		w := wireCrashMark{Head: m.Request.Head[:], Body: m.Request.Body[:], Caller: m.Origin.Caller, Route: m.Origin.Route}
		for _, c := range m.Crashes {
			w.Ended = append(w.Ended, wireCrash{ID: string(c.ID), Life: c.Incarnation, Ago: c.Age.Milliseconds()})
		}
		for _, u := range m.Cleared {
			w.Cleared = append(w.Cleared, wireCrash{ID: string(u.ID), Life: u.Incarnation})
		}
		all = append(all, w)
	}
	return all
}

// crashMarks decodes marks and skips those without a valid fingerprint.
func crashMarks(all []wireCrashMark) []quarantine.Mark {
	var marks []quarantine.Mark
	for _, w := range all {
		m := quarantine.Mark{Origin: quarantine.Origin{Caller: w.Caller, Route: w.Route}}
		if len(w.Head) != len(m.Request.Head) || len(w.Body) != len(m.Request.Body) {
			continue
		}
		copy(m.Request.Head[:], w.Head)
		copy(m.Request.Body[:], w.Body)
		for _, c := range w.Ended {
			m.Crashes = append(m.Crashes, quarantine.CrashAge{Upstream: c.upstream(), Age: time.Duration(c.Ago) * time.Millisecond})
		}
		for _, c := range w.Cleared {
			m.Cleared = append(m.Cleared, c.upstream())
		}
		marks = append(marks, m)
	}
	return marks
}

func (w wireCrash) upstream() quarantine.Upstream {
	return quarantine.Upstream{ID: member.UpstreamID(w.ID), Incarnation: w.Life}
}

// wireQuarantineEntry encodes quarantine.Entry; Ago is in milliseconds.
type wireQuarantineEntry struct {
	Request, Caller, Route string
	Standing, Ended        int
	Ago                    int64
}

// wireQuarantineReply encodes the results of OnQuarantine.
type wireQuarantineReply struct {
	Entries  []wireQuarantineEntry
	Released bool
}

func toWireQuarantineReply(entries []quarantine.Entry, released bool) wireQuarantineReply {
	w := wireQuarantineReply{Released: released}
	for _, e := range entries {
		w.Entries = append(w.Entries, wireQuarantineEntry{
			Request: e.Request.String(), Caller: e.Caller, Route: e.Route, Standing: int(e.Standing), Ended: e.UpstreamsEnded, Ago: e.SinceLastEnd.Milliseconds(),
		})
	}
	return w
}

func (w wireQuarantineReply) entries() ([]quarantine.Entry, error) {
	var entries []quarantine.Entry
	for _, q := range w.Entries {
		f, err := quarantine.ParseFingerprint(q.Request)
		if err != nil {
			return nil, err
		}
		entries = append(entries, quarantine.Entry{
			Request: f, Origin: quarantine.Origin{Caller: q.Caller, Route: q.Route},
			Evidence: quarantine.Evidence{Standing: quarantine.Standing(q.Standing), UpstreamsEnded: q.Ended, SinceLastEnd: time.Duration(q.Ago) * time.Millisecond},
		})
	}
	return entries, nil
}

// Quarantine fetches from the host at an address the requests during which upstreams crashed. If
// release isn't nil, the host first releases that request from quarantine. The bool reports
// whether it was released.
func (m *Mesh) Quarantine(ctx context.Context, address string, release *quarantine.Fingerprint) ([]quarantine.Entry, bool, error) {
	fingerprint := ""
	if release != nil {
		fingerprint = release.String()
	}
	var answer wireQuarantineReply
	if err := m.call(ctx, address, kindQuarantine, fingerprint, &answer); err != nil {
		return nil, false, err
	}
	entries, err := answer.entries()
	return entries, answer.Released, err
}

func onQuarantine(f forwardHandler, body []byte) (any, error) {
	var fingerprint string
	if err := msgpack.Unmarshal(body, &fingerprint); err != nil {
		return nil, trace.Wrap(err)
	}
	if fingerprint == "" {
		return toWireQuarantineReply(f.OnQuarantine(nil)), nil
	}
	release, err := quarantine.ParseFingerprint(fingerprint)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return toWireQuarantineReply(f.OnQuarantine(&release)), nil
}
