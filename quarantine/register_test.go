// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// TestRegisterTells has each process of a peer be told everything once, and one that starts
// again all of it anew.
func TestRegisterTells(t *testing.T) {
	is := is.New(t)
	var r Register
	r.Met("h2", 1)
	is.True(!r.Behind("h2")) // nothing is known
	asked := Asked{Caller: "counter", Target: "/x"}
	r.Crashed(start, asked.Fingerprint(), Origin{}, upstream(1))
	is.True(r.Behind("h2"))
	marks, upTo := r.Tell(start, "h2")
	is.Equal(len(marks), 1)
	r.Told("h2", 1, upTo)
	is.True(!r.Behind("h2"))
	marks, _ = r.Tell(start, "h2")
	is.Equal(len(marks), 0)
	r.Met("h2", 2)        // its process has started again
	r.Told("h2", 1, upTo) // late word of the one before
	is.True(r.Behind("h2"))
	marks, _ = r.Tell(start, "h2")
	is.Equal(len(marks), 1)
	var other Register
	other.Receive(start, marks)
	other.Met("h1", 1)
	is.True(!other.Behind("h1")) // what was only heard goes with the usual shares
	marks, _ = other.Tell(start, "h1")
	is.Equal(len(marks), 1)
}

// TestRegisterForgets has what was told to peers that are gone be forgotten, and what is
// kept still be known.
func TestRegisterForgets(t *testing.T) {
	is := is.New(t)
	var r Register
	for _, peer := range []member.HostID{"h1", "h2"} {
		r.Met(peer, 1)
	}
	asked := Asked{Caller: "counter", Target: "/x"}
	r.Crashed(start, asked.Fingerprint(), Origin{}, upstream(1))
	r.Forget(start.Add(time.Minute), func(id member.HostID) bool { return id == "h1" })
	is.Equal(r.met(), []member.HostID{"h1"})
	is.Equal(len(r.Entries(start)), 1)
	later := start.Add(2 * keptFor)
	r.Forget(later, func(member.HostID) bool { return true })
	is.Equal(len(r.Entries(later)), 0)
	e, print := r.Judge(later, asked, nil)
	is.Equal(e, Evidence{})
	is.Equal(print, nil) // nothing had to be worked out
}
