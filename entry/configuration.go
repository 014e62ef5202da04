// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// configuration keeps this entry's catalog up to date with the configuration log in the platform's
// store, and writes proposed changes to that log. The catalog's revision only rises, except when
// the log has diverged after a restore of the platform and is read again.
type configuration struct {
	entry   *Entry
	catalog atomic.Pointer[resource.Catalog]

	// mu guards the application of log entries; readers of the catalog don't need it.
	mu sync.Mutex
	// recentEntries are the last entries applied, in order. They serve peers that are behind, and a
	// restored platform that has lost them.
	recentEntries []resource.LogEntry
	// lastLogEnd is the point of the platform's history at which the end of the log was last read;
	// zero before that. Only the goroutine of run uses it.
	lastLogEnd history.Point
	// changed is closed and replaced whenever the catalog changes.
	changed chan struct{}

	// loaded is closed when the first configuration was read from a peer or the platform.
	loaded     chan struct{}
	loadedOnce sync.Once
	proposals  chan *proposal
}

const (
	// minRecentEntries is how many log entries remain after trimming; more than twice as many are
	// trimmed.
	minRecentEntries        = 1024
	watchTimeout            = 30 * time.Second
	configPollInterval      = 20 * time.Second
	revisionsPerSnapshot    = 200
	initialConfigRetryDelay = 200 * time.Millisecond
	maxConfigRetryDelay     = 5 * time.Second
	snapshotKey             = "shedpath/config/snapshot"
	proposalQueueSize       = 256
)

// logKey returns the platform key of a log entry.
func logKey(r resource.Revision) string { return fmt.Sprintf("shedpath/config/log/%020d", r) }

func newConfiguration(e *Entry) *configuration {
	c := &configuration{
		entry: e, changed: make(chan struct{}), loaded: make(chan struct{}),
		proposals: make(chan *proposal, proposalQueueSize),
	}
	c.catalog.Store(&resource.Catalog{})
	return c
}

// Catalog returns the catalog in force.
func (c *configuration) Catalog() *resource.Catalog { return c.catalog.Load() }

// Changed returns a channel that is closed when the catalog changes next.
func (c *configuration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *configuration) setLoaded() { c.loadedOnce.Do(func() { close(c.loaded) }) }

// apply applies the entries that follow the current revision in order, and skips all others.
func (c *configuration) apply(entries ...resource.LogEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		next, err := c.catalog.Load().Apply(e)
		if err != nil {
			continue
		}
		c.setCatalog(next)
		c.recentEntries = append(c.recentEntries, e)
	}
	if excess := len(c.recentEntries) - minRecentEntries; excess > minRecentEntries {
		c.recentEntries = append([]resource.LogEntry(nil), c.recentEntries[excess:]...)
	}
}

// applySnapshot replaces the catalog by a snapshot if the snapshot is newer.
func (c *configuration) applySnapshot(s resource.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Revision <= c.catalog.Load().Revision() {
		return
	}
	c.setCatalog(resource.FromSnapshot(s))
	c.recentEntries = nil
}

// setCatalog puts a catalog into force and closes the changed channel. The caller holds the mutex.
func (c *configuration) setCatalog(next *resource.Catalog) {
	c.catalog.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
}

// OnLog returns what a peer at the given revision lacks: the later entries, or a snapshot if they
// are no longer kept.
func (c *configuration) OnLog(after resource.Revision) LogTail {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after >= c.catalog.Load().Revision() {
		return LogTail{}
	}
	if len(c.recentEntries) == 0 || c.recentEntries[0].Revision > after+1 {
		snapshot := c.catalog.Load().Snapshot()
		return LogTail{Snapshot: &snapshot}
	}
	start := int(after + 1 - c.recentEntries[0].Revision)
	return LogTail{Entries: append([]resource.LogEntry(nil), c.recentEntries[start:]...)}
}

// pull fetches the configuration that this entry lacks from a peer. After an error the entry stays
// as it is.
func (c *configuration) pull(ctx context.Context, peer member.Entry) {
	tail, err := c.entry.peers.Log(ctx, peer, c.Catalog().Revision())
	if err != nil {
		return
	}
	c.applyTail(tail)
	if c.Catalog().Revision() > 0 {
		c.setLoaded()
	}
}

// applyTail applies what a peer sent: its snapshot, if there is one, and then its entries.
func (c *configuration) applyTail(tail LogTail) {
	if tail.Snapshot != nil {
		c.applySnapshot(*tail.Snapshot)
	}
	c.apply(tail.Entries...)
}

// run follows the log until the context ends: through the platform's watch while this entry is
// among its zone's watchers, and otherwise through peers, with a slow poll as a fallback.
func (c *configuration) run(ctx context.Context) {
	wait := initialConfigRetryDelay
	failing := false
	for ctx.Err() == nil {
		err := c.followOnce(ctx)
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			logFailureChange(c.entry.logger, "following the configuration", failing, err)
		}
		if err == nil {
			wait = initialConfigRetryDelay
			continue
		}
		if !sleepContext(ctx, jitter(wait)) {
			return
		}
		wait = min(2*wait, maxConfigRetryDelay)
	}
}

// followOnce catches up with the log and then waits for the next change.
func (c *configuration) followOnce(ctx context.Context) error {
	at, err := c.catchUp(ctx)
	if err != nil {
		return err
	}
	c.setLoaded()
	if !c.entry.members.IsWatcher(c.entry.now()) {
		c.waitForPollOrChange(ctx)
		return nil
	}
	next := c.Catalog().Revision() + 1
	item, err := c.entry.store.Watch(ctx, logKey(next), max(at, 1), watchTimeout)
	if err != nil {
		return err
	}
	return c.applyItem(next, item)
}

// waitForPollOrChange waits until the next slow poll is due or the catalog changes, for example
// through a peer.
func (c *configuration) waitForPollOrChange(ctx context.Context) {
	timer := time.NewTimer(jitter(c.entry.settings.ConfigPollInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.Changed():
	case <-ctx.Done():
	}
}

// catchUp applies the log up to its current end and returns the platform's index there.
func (c *configuration) catchUp(ctx context.Context) (uint64, error) {
	if c.Catalog().Revision() == 0 {
		if err := c.readSnapshot(ctx); err != nil {
			return 0, err
		}
	}
	for {
		next := c.Catalog().Revision() + 1
		item, err := c.entry.store.Get(ctx, logKey(next))
		if err != nil {
			return 0, err
		}
		c.entry.observeEra(item.Era)
		if c.wasRestored(item) {
			if err := c.restoreLog(ctx, item.position()); err != nil {
				return 0, err
			}
			continue
		}
		if !item.Found() {
			c.lastLogEnd = item.position()
			return item.Index, nil
		}
		if err := c.applyItem(next, item); err != nil {
			return 0, err
		}
	}
}

// applyItem applies the log entry that a store item holds, if there is one.
func (c *configuration) applyItem(r resource.Revision, item Item) error {
	if !item.Found() {
		return nil
	}
	e, err := decodeEntry(r, item.Value)
	if err != nil {
		return err
	}
	c.apply(e)
	return nil
}

// decodeEntry decodes a log entry and checks that it has the revision of its key.
func decodeEntry(r resource.Revision, text []byte) (resource.LogEntry, error) {
	var e resource.LogEntry
	if err := json.Unmarshal(text, &e); err != nil {
		return e, trace.Wrap(err, "decoding configuration log entry %d", r)
	}
	if e.Revision != r {
		return e, trace.BadParameter("the key of configuration log entry %d holds entry %d", r, e.Revision)
	}
	return e, nil
}

// readSnapshot reads the stored snapshot and applies it if it is newer.
func (c *configuration) readSnapshot(ctx context.Context) error {
	item, err := c.entry.store.Get(ctx, snapshotKey)
	if err != nil || !item.Found() {
		return err
	}
	var s resource.Snapshot
	if err := json.Unmarshal(item.Value, &s); err != nil {
		return trace.Wrap(err, "decoding the configuration snapshot at %s", snapshotKey)
	}
	c.applySnapshot(s)
	return nil
}

// saveSnapshot stores the catalog once every revisionsPerSnapshot revisions, so that a new entry
// needn't read the whole log. The entry that wrote a revision calls it at that revision. If another
// entry stores a snapshot at the same time, either of the two will do.
func (c *configuration) saveSnapshot(catalog *resource.Catalog) {
	if catalog.Revision()%revisionsPerSnapshot != 0 {
		return
	}
	c.entry.spawn(func(ctx context.Context) {
		if err := c.writeSnapshot(ctx, catalog); err != nil {
			_ = level.Warn(c.entry.logger).Log("msg", "snapshot not written", "revision", catalog.Revision(), "err", err)
		}
	})
}

// writeSnapshot stores the catalog unless the stored snapshot is at least as new.
func (c *configuration) writeSnapshot(ctx context.Context, catalog *resource.Catalog) error {
	item, err := c.entry.store.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	var stored resource.Snapshot
	if item.Found() && json.Unmarshal(item.Value, &stored) == nil && stored.Revision >= catalog.Revision() {
		return nil
	}
	text, err := json.Marshal(catalog.Snapshot())
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.entry.store.Swap(ctx, snapshotKey, text, item.Version)
	return err
}
