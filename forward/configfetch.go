// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"sync"
	"time"
)

// A configuration is fetched from a peer by a call and a goroutine of its own. It has
// half a megabyte where there are 1,500 routes, and what else peers tell each other
// is small and urgent: when both came in one reply, hosts behind 10 Mbit/s heard up to
// 8.2 s late that an upstream leaves, while configurations came every 0.1 s.

// ConfigReply is a peer's configuration.
type ConfigReply struct {
	// Config is nil when the peer has none that is newer than asked for.
	Config *Config
	// Age is how long ago it was proved to be the newest.
	Age time.Duration
}

// configFetchTimeout bounds one call for a configuration: half a megabyte takes 0.4 s over
// 10 Mbit/s, and the peer may be sending it to several hosts.
const configFetchTimeout = 3 * time.Second

// configOffer says that a peer has a newer configuration.
type configOffer struct {
	from    Peer
	version Version
}

// configOffers holds the offer to be taken up next. Use newConfigOffers.
type configOffers struct {
	// pending has room for one: what is older than another offer needn't be fetched.
	pending chan configOffer

	mu sync.Mutex
	// offered are the versions that were offered, each newer than the one before.
	offered []offeredVersion
}

// offeredVersion is a version that was offered, and when that was first.
type offeredVersion struct {
	version        Version
	firstOfferedAt time.Time
}

// maxOfferedVersions bounds how many are remembered.
const maxOfferedVersions = 64

func newConfigOffers() *configOffers { return &configOffers{pending: make(chan configOffer, 1)} }

// record takes in that a version was offered.
func (o *configOffers) record(now time.Time, v Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.offered); n > 0 && o.offered[n-1].version >= v {
		return
	}
	o.offered = append(o.offered, offeredVersion{v, now})
	if len(o.offered) > maxOfferedVersions {
		o.offered = slices.Delete(o.offered, 0, 1)
	}
}

// newest is the newest version that was ever offered.
func (o *configOffers) newest() Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.offered); n > 0 {
		return o.offered[n-1].version
	}
	return 0
}

// newerOfferedAt tells since when a version is known that is newer than another, if one is.
func (o *configOffers) newerOfferedAt(v Version) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range o.offered {
		if k.version > v {
			return k.firstOfferedAt, true
		}
	}
	return time.Time{}, false
}

// handleConfigOffer takes in that a peer has a configuration of a version, which is fetched if
// it is newer than the one in force.
func (f *Forwarder) handleConfigOffer(from Peer, v Version) {
	if v <= f.versionInForce() {
		return
	}
	f.configOffers.record(f.now(), v)
	offer := configOffer{from: from, version: v}
	for {
		select {
		case f.configOffers.pending <- offer:
			return
		case old := <-f.configOffers.pending:
			if f.prefersOffer(old, offer) {
				offer = old
			}
		}
	}
}

// prefersOffer reports whether one offer is better than another: newer, or as new and of the
// own zone, for bytes between zones have a price.
func (f *Forwarder) prefersOffer(a, b configOffer) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	return a.from.Zone == f.peers.self.Zone
}

// newestKnownVersion is the newest version that this host has or was offered.
func (f *Forwarder) newestKnownVersion() Version {
	return max(f.configOffers.newest(), f.versionInForce())
}

// fetchConfigs takes up what peers offer, one after another, until the context ends.
// An offer that fails isn't tried again: peers offer anew with all that they tell.
func (f *Forwarder) fetchConfigs(ctx context.Context, peers Peers) {
	for {
		select {
		case <-ctx.Done():
			return
		case offer := <-f.configOffers.pending:
			f.fetchConfig(ctx, peers, offer.from)
		}
	}
}

// fetchConfig takes a newer configuration over from a peer.
func (f *Forwarder) fetchConfig(ctx context.Context, peers Peers, from Peer) {
	have := f.versionInForce()
	if have >= f.newestKnownVersion() {
		return
	}
	call, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	asked := f.now()
	reply, err := peers.Config(call, from, have)
	if err != nil {
		f.journal.HostEvent("configuration not fetched", "peer", from.ID, "offered", f.newestKnownVersion(), "took", f.now().Sub(asked), "err", err)
		return
	}
	now := f.now()
	if reply.Config == nil || !f.Configure(now, *reply.Config) {
		return
	}
	f.journal.HostEvent("configuration fetched", "peer", from.ID, "version", reply.Config.Version, "took", now.Sub(asked))
	// The peer's proof was no older than this when it began to answer.
	f.ContactProved(asked.Add(-reply.Age))
}

// OnConfig serves a peer that asks for a configuration newer than its own.
func (f *Forwarder) OnConfig(have Version) ConfigReply {
	// The age first: the configuration is then no older than its proof.
	reply := ConfigReply{Age: f.ContactAge(f.now())}
	if c := f.newestConfig.Load(); c != nil && c.Version > have {
		reply.Config = c
	}
	return reply
}
