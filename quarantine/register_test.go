// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// TestRegisterSendsMarks checks that each process of a peer is sent every change once, and a
// restarted peer all of them again.
func TestRegisterSendsMarks(t *testing.T) {
	is := is.New(t)
	var r Register
	r.PeerSeen("h2", 1)
	is.True(!r.LacksLocalChanges("h2")) // the list is empty
	identity := RequestIdentity{Caller: "counter", Target: "/x"}
	r.RecordCrash(start, identity, identity.Fingerprint(), Origin{}, testUpstream(1))
	is.True(r.LacksLocalChanges("h2"))
	marks, upTo := r.UnsentMarks(start, "h2")
	is.Equal(len(marks), 1)
	r.MarksSent("h2", 1, upTo)
	is.True(!r.LacksLocalChanges("h2"))
	marks, _ = r.UnsentMarks(start, "h2")
	is.Equal(len(marks), 0)
	r.PeerSeen("h2", 2)        // the peer has restarted
	r.MarksSent("h2", 1, upTo) // late acknowledgment of the previous process
	is.True(r.LacksLocalChanges("h2"))
	marks, _ = r.UnsentMarks(start, "h2")
	is.Equal(len(marks), 1)
	var other Register
	other.Receive(start, marks)
	other.PeerSeen("h1", 1)
	is.True(!other.LacksLocalChanges("h1")) // changes received from peers go with the usual shares
	marks, _ = other.UnsentMarks(start, "h1")
	is.Equal(len(marks), 1)
}

// TestRegisterPrunes checks that the progress of unknown peers is pruned, and that records are
// kept until they expire.
func TestRegisterPrunes(t *testing.T) {
	is := is.New(t)
	var r Register
	for _, peer := range []member.HostID{"h1", "h2"} {
		r.PeerSeen(peer, 1)
	}
	identity := RequestIdentity{Caller: "counter", Target: "/x"}
	r.RecordCrash(start, identity, identity.Fingerprint(), Origin{}, testUpstream(1))
	r.Prune(start.Add(time.Minute), func(id member.HostID) bool { return id == "h1" })
	is.Equal(r.knownPeers(), []member.HostID{"h1"})
	is.Equal(len(r.Entries(start)), 1)
	later := start.Add(2 * crashRetention)
	r.Prune(later, func(member.HostID) bool { return true })
	is.Equal(len(r.Entries(later)), 0)
	e, fingerprint := r.Evaluate(later, identity, nil)
	is.Equal(e, Finding{})
	is.Equal(fingerprint, nil) // no fingerprint was computed
}
