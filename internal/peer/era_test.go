// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
)

// TestEraRoundTrip checks that points keep their era when sent. A revision that loses its era
// counts as one of another history.
func TestEraRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	orders := []forward.ZoneOrder{
		{Zone: "z1", OutOfService: true, Revision: history.NewPoint(3, 5)}, {Zone: "z2", Revision: history.NewPoint(4, 6), BelievedFrom: now.Add(30 * time.Second)},
	}
	sent := forward.FollowReply{
		Complete: true, ListRevision: history.NewPoint(4, 9), EraFirstSeen: history.NewPoint(4, 7), Zones: orders,
		Changes: []forward.Change{{Upstream: forward.Upstream{ID: "u", Revision: history.NewPoint(3, 8)}, BelievedFrom: now.Add(5 * time.Second)}},
	}
	wire, err := toWireFollowReply(now, sent, &listPacker{})
	is.NoErr(err)
	text, err := msgpack.Marshal(wire)
	is.NoErr(err)
	var got wireFollowReply
	is.NoErr(msgpack.Unmarshal(text, &got))
	reply, err := got.reply(now)
	is.NoErr(err)
	is.Equal([]history.Point{reply.ListRevision, reply.EraFirstSeen, reply.Changes[0].Revision}, []history.Point{sent.ListRevision, sent.EraFirstSeen, sent.Changes[0].Revision})
	is.Equal(reply.Changes[0].BelievedFrom, sent.Changes[0].BelievedFrom)
	is.Equal(reply.Zones, orders)
	share := toWireShare(now, forward.Share{List: history.NewPoint(4, 9), Zones: orders}).share(now)
	is.Equal(share.List, history.NewPoint(4, 9))
	is.Equal(share.Zones, orders)
}
