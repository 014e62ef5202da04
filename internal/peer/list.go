// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"compress/flate"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/forward"
)

const (
	// minPackedChanges is how many changes are compressed: a host that starts is told of every upstream.
	minPackedChanges = 64
	// packedListTTL is for how long a list is passed on as it was packed. What of it is told as the
	// time that is left is late by as much at most.
	packedListTTL = time.Second
)

// listPacker packs a list once for all peers that ask for it. The zero value works.
type listPacker struct {
	mu sync.Mutex
	// generation and count are of the list that was packed last, at a time.
	generation uint64
	count      int
	packedAt   time.Time
	packed     []byte
}

// pack returns a reply's changes compressed; nil for few of them.
func (p *listPacker) pack(now time.Time, r forward.FollowReply) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.packedAt) >= packedListTTL {
		p.packed, p.count = nil, 0
	}
	if len(r.Changes) < minPackedChanges {
		return nil, nil
	}
	if r.Complete && p.generation == r.Generation && p.count == len(r.Changes) && now.Sub(p.packedAt) < packedListTTL {
		return p.packed, nil
	}
	packed, err := packChanges(now, r.Changes)
	if err == nil && r.Complete {
		p.generation, p.count, p.packedAt, p.packed = r.Generation, len(r.Changes), now, packed
	}
	return packed, err
}

func packChanges(now time.Time, changes []forward.Change) ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	encoder := msgpack.NewEncoder(compressor)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.EncodeInt(int64(len(changes))); err != nil {
		return nil, trace.Wrap(err)
	}
	for _, c := range changes {
		if err := encoder.Encode(toWireChange(now, c)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := compressor.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return packed.Bytes(), nil
}

// maxPackedChanges bounds the changes that are believed to be in a reply.
const maxPackedChanges = 1 << 20

func unpackChanges(now time.Time, packed []byte) ([]forward.Change, error) {
	decoder := msgpack.NewDecoder(flate.NewReader(bytes.NewReader(packed)))
	count, err := decoder.DecodeInt()
	if err != nil {
		return nil, trace.Wrap(err, "the peer's list can't be read")
	}
	if count < 0 || count > maxPackedChanges {
		return nil, trace.BadParameter("the peer's list of %d can't be read", count)
	}
	interned := map[string]string{}
	var changes []forward.Change
	for range count {
		var w wireChange
		if err := decoder.Decode(&w); err != nil {
			return nil, trace.Wrap(err, "the peer's list can't be read")
		}
		// Thousands of upstreams have few services, zones and versions.
		for _, name := range []*string{&w.Service, &w.Zone, &w.Version} {
			if existing, found := interned[*name]; found {
				*name = existing
			} else {
				interned[*name] = *name
			}
		}
		changes = append(changes, w.change(now))
	}
	return changes, nil
}
