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
	// minPackedChanges is the number of changes from which a reply is compressed: a host that
	// starts receives every upstream.
	minPackedChanges = 64
	// packedListTTL is how long a compressed list is reused. The remaining times in it are too
	// long by at most as much.
	packedListTTL = time.Second
)

// listPacker compresses the list of upstreams once for all peers that request it. The zero value is
// ready for use.
type listPacker struct {
	mu sync.Mutex
	// generation and count are the generation and length of the last compressed list, and
	// packedAt is when it was compressed.
	generation uint64
	count      int
	packedAt   time.Time
	packed     []byte
}

// pack returns a reply's changes compressed, or nil if they are fewer than minPackedChanges.
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

// packChanges returns the number of changes and the changes, encoded and compressed.
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

const (
	// maxPackedChanges bounds the number of changes that a reply may announce.
	maxPackedChanges = 1 << 20
	// maxListBytes bounds a list before it is compressed, which has about 100 bytes a change.
	maxListBytes = 128 << 20
	// valuesPerChange is more than a change has fields, in this version or a later one.
	valuesPerChange = 32
)

// unpackChanges decodes what packChanges returned.
func unpackChanges(now time.Time, packed []byte) ([]forward.Change, error) {
	list, err := readBounded(flate.NewReader(bytes.NewReader(packed)), maxListBytes)
	if err != nil {
		return nil, trace.Wrap(err, "decompressing the peer's list")
	}
	if err := checkNesting(list, maxPackedChanges*valuesPerChange); err != nil {
		return nil, trace.Wrap(err, "the peer's list")
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(list))
	count, err := decoder.DecodeInt()
	if err != nil {
		return nil, trace.Wrap(err, "decoding the length of the peer's list")
	}
	if count < 0 || count > maxPackedChanges {
		return nil, trace.BadParameter("the peer's list has %d changes, expected 0 to %d", count, maxPackedChanges)
	}
	interned := map[string]string{}
	var changes []forward.Change
	for range count {
		var w wireChange
		if err := decoder.Decode(&w); err != nil {
			return nil, trace.Wrap(err, "decoding change %d of %d of the peer's list", len(changes)+1, count)
		}
		// Thousands of upstreams share a few services, zones and versions: keep one copy of each.
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
