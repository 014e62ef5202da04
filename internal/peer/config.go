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

// wireConfig is forward.ConfigReply: the configuration as compressed JSON, and its age
// in milliseconds.
type wireConfig struct {
	Config []byte
	Age    int64
}

func (w wireConfig) reply() (forward.ConfigReply, error) {
	r := forward.ConfigReply{Age: time.Duration(w.Age) * time.Millisecond}
	if len(w.Config) == 0 {
		return r, nil
	}
	from, err := gzip.NewReader(bytes.NewReader(w.Config))
	if err != nil {
		return r, trace.Wrap(err, "the peer's configuration can't be read")
	}
	r.Config = &forward.Config{}
	if err := json.NewDecoder(from).Decode(r.Config); err != nil {
		return r, trace.Wrap(err, "the peer's configuration can't be read")
	}
	return r, nil
}

// configPacker packs a configuration once for all peers that ask for it. The zero value
// works.
type configPacker struct {
	mu sync.Mutex
	// of is the configuration that was packed last, and text that; nil before the first.
	of   *forward.Config
	text []byte
}

// wire returns a reply as it travels.
func (p *configPacker) wire(r forward.ConfigReply) (wireConfig, error) {
	w := wireConfig{Age: r.Age.Milliseconds()}
	if r.Config == nil {
		return w, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of != r.Config {
		text, err := pack(r.Config)
		if err != nil {
			return w, err
		}
		p.of, p.text = r.Config, text
	}
	w.Config = p.text
	return w, nil
}

func pack(c *forward.Config) ([]byte, error) {
	var text bytes.Buffer
	to, err := gzip.NewWriterLevel(&text, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := json.NewEncoder(to).Encode(c); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := to.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return text.Bytes(), nil
}

// Config asks a peer for its configuration, if that is newer than a version.
func (m *Mesh) Config(ctx context.Context, to forward.Peer, have forward.Version) (forward.ConfigReply, error) {
	var answer wireConfig
	if err := m.call(ctx, to.PeerAddress, kindConfig, uint64(have), &answer); err != nil {
		return forward.ConfigReply{}, err
	}
	return answer.reply()
}
