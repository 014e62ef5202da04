// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// wholeList is a reply with the list of a large fleet.
func wholeList(now time.Time, upstreams int) forward.FollowReply {
	r := forward.FollowReply{Complete: true, Generation: 1, ListRevision: history.NewPoint(2, 90)}
	for n := range upstreams {
		c := forward.Change{Upstream: forward.Upstream{
			ID: member.UpstreamID(fmt.Sprintf("i-%08x", n*2654435761%(1<<32))), Service: "llm", Address: fmt.Sprintf("10.9.%d.%d:80", n/250, n%250),
			Zone: member.Zone(fmt.Sprint("z", n%5)), Slots: 24, Version: "v1", Incarnation: forward.Incarnation(1700000000000 + n), Revision: history.NewPoint(2, history.Revision(n)),
		}}
		if n%100 == 0 {
			c.Leaving, c.ColdUntil = true, now.Add(time.Second)
		}
		r.Changes = append(r.Changes, c)
	}
	return r
}

// TestWholeListIsPackedOnce has a long list arrive as it was sent, be packed once for all who ask
// while it is the same, and be small.
func TestWholeListIsPackedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := wholeList(now, 10000)
	var packer listPacker
	w, err := toWireFollowed(now, sent, &packer)
	is.NoErr(err)
	again, err := toWireFollowed(now.Add(packedFor/2), sent, &packer)
	is.NoErr(err)
	is.True(&w.Packed[0] == &again.Packed[0])
	text, err := msgpack.Marshal(w)
	is.NoErr(err)
	t.Logf("%d bytes", len(text))
	is.True(len(text) < 64*len(sent.Changes))
	var got wireFollowed
	is.NoErr(msgpack.Unmarshal(text, &got))
	reply, err := got.reply(now)
	is.NoErr(err)
	is.Equal(len(reply.Changes), len(sent.Changes))
	for i := range reply.Changes {
		if reply.Changes[i] != sent.Changes[i] {
			t.Fatalf("%+v was sent, %+v came", sent.Changes[i], reply.Changes[i])
		}
	}
	sent.Generation++
	changed, err := toWireFollowed(now, sent, &packer)
	is.NoErr(err)
	is.True(&w.Packed[0] != &changed.Packed[0])
}

// TestBrokenPackedList has a list that can't be read be refused.
func TestBrokenPackedList(t *testing.T) {
	is := is.New(t)
	whole, err := packChanges(time.Now(), wholeList(time.Now(), 200).Changes)
	is.NoErr(err)
	for name, packed := range map[string][]byte{"cut": whole[:len(whole)/2], "noise": []byte("no list"), "start missing": whole[3:]} {
		_, err := wireFollowed{Packed: packed}.reply(time.Now())
		if err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
