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

// fullListReply returns a reply with the complete list of a fleet.
func fullListReply(now time.Time, upstreams int) forward.FollowReply {
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

// TestWholeListIsPackedOnce checks that a long list is decoded unchanged, that it is compressed only
// once for all peers while it doesn't change, and that it is small.
func TestWholeListIsPackedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := fullListReply(now, 10000)
	var packer listPacker
	w, err := toWireFollowReply(now, sent, &packer)
	is.NoErr(err)
	again, err := toWireFollowReply(now.Add(packedListTTL/2), sent, &packer)
	is.NoErr(err)
	is.True(&w.Packed[0] == &again.Packed[0])
	text, err := msgpack.Marshal(w)
	is.NoErr(err)
	t.Logf("the reply with %d changes has %d bytes", len(sent.Changes), len(text))
	is.True(len(text) < 64*len(sent.Changes))
	var got wireFollowReply
	is.NoErr(msgpack.Unmarshal(text, &got))
	reply, err := got.reply(now)
	is.NoErr(err)
	is.Equal(len(reply.Changes), len(sent.Changes))
	for i := range reply.Changes {
		if reply.Changes[i] != sent.Changes[i] {
			t.Fatalf("change %d: sent %+v, received %+v", i, sent.Changes[i], reply.Changes[i])
		}
	}
	sent.Generation++
	changed, err := toWireFollowReply(now, sent, &packer)
	is.NoErr(err)
	is.True(&w.Packed[0] != &changed.Packed[0])
}

// TestBrokenPackedList checks that a list which can't be decoded is an error.
func TestBrokenPackedList(t *testing.T) {
	is := is.New(t)
	whole, err := packChanges(time.Now(), fullListReply(time.Now(), 200).Changes)
	is.NoErr(err)
	for name, packed := range map[string][]byte{"cut": whole[:len(whole)/2], "noise": []byte("no list"), "start missing": whole[3:]} {
		_, err := wireFollowReply{Packed: packed}.reply(time.Now())
		if err == nil {
			t.Errorf("%s: decoding %d bytes returned no error", name, len(packed))
		}
	}
}
