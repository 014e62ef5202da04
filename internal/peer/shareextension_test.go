// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/pace"
)

// TestShareOfOtherVersion guards against shares that hosts of the version without an extension can't read,
// or whose shares this version can't read: while hosts are replaced one after another they would not know
// of each other's runs. A later version may add fields to the extension.
func TestShareOfOtherVersion(t *testing.T) {
	is, now := is.New(t), time.Now()
	sent := forward.Share{Epoch: 7, Paces: []pace.Mark{{Engine: "e", Incarnation: 5, BaseStep: 1000, Step: 2000, SlowStep: 3000, Samples: 4, Age: time.Second}}}
	read := func(body []byte) forward.Share {
		message, err := appendFrame(nil, &frame{ID: 1, Kind: kindShare, Body: body})
		is.NoErr(err)
		var first frame // as the previous version reads it
		is.NoErr(msgpack.Unmarshal(message[frameHeaderBytes:], &first))
		var old plainShare
		is.NoErr(msgpack.Unmarshal(first.Body, &old))
		is.Equal(old.Epoch, uint64(7))
		f, err := readFrame(bytes.NewReader(message))
		is.NoErr(err)
		var w wireShare
		is.NoErr(msgpack.Unmarshal(f.Body, &w))
		is.Equal(w.Epoch, uint64(7))
		return w.share(now)
	}
	extended, err := encode(toWireShare(now, sent))
	is.NoErr(err)
	is.Equal(read(extended).Paces, sent.Paces)
	plain, err := encode((*plainShare)(&wireShare{Epoch: 7}))
	is.NoErr(err)
	is.Equal(len(read(plain).Paces), 0)
	without, err := encode(toWireShare(now, forward.Share{Epoch: 7}))
	is.NoErr(err)
	same, err := encode(plainShare(toWireShare(now, forward.Share{Epoch: 7})))
	is.NoErr(err)
	is.Equal(without, same) // without marks, the bytes are those of the previous version
	later, err := msgpack.Marshal(map[string]any{"Later": 1, "Paces": []any{}})
	is.NoErr(err)
	is.Equal(len(read(append(plain, later...)).Paces), 0)
}

// TestShareExtensionTimes guards against times that become valid or impossible on the wire: one that doesn't
// fit a time.Duration must not wrap around to a recent age, and a request that still has some time left must
// not arrive as one that is over, which the peer would count as unusable.
func TestShareExtensionTimes(t *testing.T) {
	is := is.New(t)
	const wraps = 1 << 45 // milliseconds, more than a time.Duration holds
	marks := engineReports([]wireEngineReport{{Engine: "e", Age: wraps}, {Engine: "e", Age: -wraps}})
	is.Equal(marks[0].Age, time.Duration(math.MaxInt64))
	is.Equal(marks[1].Age, time.Duration(math.MinInt64))
	is.Equal(reportRequests([]wireReportRequest{{For: -wraps}})[0].Remaining, time.Duration(math.MinInt64))
	loads := zoneLoads([]wireZoneLoad{{Backlog: wraps, Age: -wraps}})
	is.Equal(loads[0].Backlog, time.Duration(math.MaxInt64))
	is.Equal(loads[0].Age, time.Duration(math.MinInt64))

	sent := []enginereport.Request{{Engine: "e", Remaining: 1}, {Engine: "f", Remaining: time.Second}}
	received := reportRequests(toWireReportRequests(sent))
	is.Equal(received, []enginereport.Request{{Engine: "e", Remaining: time.Millisecond}, {Engine: "f", Remaining: time.Second}})
}
