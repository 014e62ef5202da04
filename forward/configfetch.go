// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"sync"
	"time"
)

// A configuration is fetched from a peer by a separate call in a separate goroutine. It takes half a
// megabyte with 1,500 routes, while the other messages between peers are small and urgent. Sent in
// the same reply, frequent configurations delayed by seconds the news that an upstream leaves on
// links of 10 Mbit/s.

// ConfigReply holds a peer's configuration.
type ConfigReply struct {
	// Config is nil if the peer has none that is newer than the requested version.
	Config *Config
	// Age is how long ago the configuration was proved to be the newest.
	Age time.Duration
}

// configFetchTimeout bounds one call for a configuration: half a megabyte takes 0.4 s over 10
// Mbit/s, and the peer may be sending it to several hosts.
const configFetchTimeout = 3 * time.Second

// configOffer says that a peer has a newer configuration.
type configOffer struct {
	from    Peer
	version Version
}

// configOffers holds the offer to fetch next and the versions offered so far. Use newConfigOffers.
type configOffers struct {
	// pending has room for one offer: a version older than another offered one needn't be fetched.
	pending chan configOffer

	mu sync.Mutex
	// offered holds the offered versions, each newer than the one before.
	offered []offeredVersion
}

// offeredVersion is a version and when it was first offered.
type offeredVersion struct {
	version        Version
	firstOfferedAt time.Time
}

// maxOfferedVersions bounds how many offered versions are remembered.
const maxOfferedVersions = 64

func newConfigOffers() *configOffers { return &configOffers{pending: make(chan configOffer, 1)} }

// record remembers an offered version if it is newer than all offered before.
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

// newest returns the newest version that was ever offered; zero if none was.
func (o *configOffers) newest() Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.offered); n > 0 {
		return o.offered[n-1].version
	}
	return 0
}

// newerOfferedAt returns when a version newer than v was first offered, and whether one was.
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

// handleConfigOffer queues an offer of a peer's configuration to be fetched if that is newer than
// the one in force. Of the new and the pending offer it keeps the better one.
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

// prefersOffer reports whether one offer is better than another: newer, or of the same version and
// from the own zone, because traffic between zones costs money.
func (f *Forwarder) prefersOffer(a, b configOffer) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	return a.from.Zone == f.peers.self.Zone
}

// newestKnownVersion returns the newest version that this host has or was offered.
func (f *Forwarder) newestKnownVersion() Version {
	return max(f.configOffers.newest(), f.versionInForce())
}

// fetchConfigs fetches what peers offer, one after another, until the context ends. A failed fetch
// isn't retried: peers repeat their offer with each share and each reply.
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

// fetchConfig fetches a newer configuration from a peer and puts it in force.
func (f *Forwarder) fetchConfig(ctx context.Context, peers Peers, from Peer) {
	current := f.versionInForce()
	if current >= f.newestKnownVersion() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	askedAt := f.now()
	reply, err := peers.Config(callCtx, from, current)
	if err != nil {
		f.journal.HostEvent("configuration not fetched", "peer", from.ID, "offered", f.newestKnownVersion(), "took", f.now().Sub(askedAt), "err", err)
		return
	}
	now := f.now()
	if reply.Config == nil || !f.Configure(now, *reply.Config) {
		return
	}
	f.journal.HostEvent("configuration fetched", "peer", from.ID, "version", reply.Config.Version, "took", now.Sub(askedAt))
	// The age was taken after the call began, so counting it from askedAt never makes the proof too
	// recent.
	f.ContactProved(askedAt.Add(-reply.Age))
}

// OnConfig answers a peer that asks for a configuration newer than its own.
func (f *Forwarder) OnConfig(have Version) ConfigReply {
	// The age is taken first, so that the configuration is no older than its proof.
	reply := ConfigReply{Age: f.ContactAge(f.now())}
	if c := f.newestConfig.Load(); c != nil && c.Version > have {
		reply.Config = c
	}
	return reply
}
