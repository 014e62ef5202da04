// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/forward"
)

// wireConfigReply encodes forward.ConfigReply. Config is gzipped JSON, empty for no configuration;
// Age is in milliseconds.
type wireConfigReply struct {
	Config []byte
	Age    int64
}

// maxConfigBytes bounds a configuration before it is compressed. The platform's documents have up to 1 MB.
const maxConfigBytes = 32 << 20

func (w wireConfigReply) reply() (forward.ConfigReply, error) {
	r := forward.ConfigReply{Age: time.Duration(w.Age) * time.Millisecond}
	if len(w.Config) == 0 {
		return r, nil
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(w.Config))
	if err != nil {
		return r, trace.Wrap(err, "decompressing the peer's configuration")
	}
	text, err := readBounded(decompressor, maxConfigBytes)
	if err != nil {
		return r, trace.Wrap(err, "decompressing the peer's configuration")
	}
	r.Config = &forward.Config{}
	if err := json.Unmarshal(text, r.Config); err != nil {
		return r, trace.Wrap(err, "decoding the peer's configuration")
	}
	return r, nil
}

// configPacker compresses a configuration once for all peers that request it. The zero value is
// ready for use.
type configPacker struct {
	mu sync.Mutex
	// packedConfig is the last compressed configuration, and packed its compressed JSON; both are
	// nil before the first.
	packedConfig *forward.Config
	packed       []byte
}

// wireReply encodes a reply and reuses the compressed JSON if the configuration is unchanged.
func (p *configPacker) wireReply(r forward.ConfigReply) (wireConfigReply, error) {
	w := wireConfigReply{Age: r.Age.Milliseconds()}
	if r.Config == nil {
		return w, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packedConfig != r.Config {
		text, err := packConfig(r.Config)
		if err != nil {
			return w, err
		}
		p.packedConfig, p.packed = r.Config, text
	}
	w.Config = p.packed
	return w, nil
}

// packConfig returns the configuration as gzipped JSON.
func packConfig(c *forward.Config) ([]byte, error) {
	var text bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&text, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := json.NewEncoder(compressor).Encode(c); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := compressor.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return text.Bytes(), nil
}

// Config fetches a peer's configuration if it is newer than the version that this host has.
func (m *Mesh) Config(ctx context.Context, to forward.Peer, have forward.Version) (forward.ConfigReply, error) {
	var answer wireConfigReply
	if err := m.call(ctx, to.PeerAddress, kindConfig, uint64(have), &answer); err != nil {
		return forward.ConfigReply{}, err
	}
	return answer.reply()
}
