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

// configuration is the duty that keeps this entry's catalog up to date. The
// catalog's revision only rises.
type configuration struct {
	entry   *Entry
	catalog atomic.Pointer[resource.Catalog]

	// mu guards the fold; readers use the catalog alone.
	mu sync.Mutex
	// recentEntries are the last entries applied, in order, for peers that are behind and for a platform
	// that has lost them.
	recentEntries []resource.LogEntry
	// lastLogEnd is where the platform's history was read last. It is for the goroutine that follows.
	lastLogEnd history.Point
	// changed is closed and replaced at every new revision.
	changed chan struct{}

	// loaded closes when a first state was had from a peer or the platform.
	loaded     chan struct{}
	loadedOnce sync.Once
	proposals  chan *proposal
}

const (
	minRecentEntries        = 1024
	watchTimeout            = 30 * time.Second
	configPollInterval      = 20 * time.Second
	revisionsPerSnapshot    = 200
	initialConfigRetryDelay = 200 * time.Millisecond
	maxConfigRetryDelay     = 5 * time.Second
	snapshotKey             = "shedpath/config/snapshot"
	proposalQueueSize       = 256
)

func logKey(r resource.Revision) string { return fmt.Sprintf("shedpath/config/log/%020d", r) }

func newConfiguration(e *Entry) *configuration {
	c := &configuration{
		entry: e, changed: make(chan struct{}), loaded: make(chan struct{}),
		proposals: make(chan *proposal, proposalQueueSize),
	}
	c.catalog.Store(&resource.Catalog{})
	return c
}

// Catalog returns the configuration in force.
func (c *configuration) Catalog() *resource.Catalog { return c.catalog.Load() }

// Changed returns a channel that closes at the next revision.
func (c *configuration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *configuration) setLoaded() { c.loadedOnce.Do(func() { close(c.loaded) }) }

// apply folds the entries that follow the present revision; others change
// nothing.
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
	if over := len(c.recentEntries) - minRecentEntries; over > minRecentEntries {
		c.recentEntries = append([]resource.LogEntry(nil), c.recentEntries[over:]...)
	}
}

// applySnapshot takes a snapshot in if it is newer.
func (c *configuration) applySnapshot(s resource.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Revision <= c.catalog.Load().Revision() {
		return
	}
	c.setCatalog(resource.FromSnapshot(s))
	c.recentEntries = nil
}

// setCatalog brings a catalog into force. The mutex is held.
func (c *configuration) setCatalog(next *resource.Catalog) {
	c.catalog.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
}

// OnLog serves a peer that is behind.
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
	from := int(after + 1 - c.recentEntries[0].Revision)
	return LogTail{Entries: append([]resource.LogEntry(nil), c.recentEntries[from:]...)}
}

// pull fetches from a peer what this entry doesn't have yet.
func (c *configuration) pull(ctx context.Context, from member.Entry) {
	tail, err := c.entry.peers.Log(ctx, from, c.Catalog().Revision())
	if err != nil {
		return
	}
	c.applyTail(tail)
	if c.Catalog().Revision() > 0 {
		c.setLoaded()
	}
}

func (c *configuration) applyTail(tail LogTail) {
	if tail.Snapshot != nil {
		c.applySnapshot(*tail.Snapshot)
	}
	c.apply(tail.Entries...)
}

// run follows the log: by the platform's watch while this entry is among its
// zone's watchers, and by a slow poll as a backstop otherwise.
func (c *configuration) run(ctx context.Context) {
	wait := initialConfigRetryDelay
	failing := false
	for ctx.Err() == nil {
		err := c.followOnce(ctx)
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			logChange(c.entry.logger, "following the configuration", failing, err)
		}
		if err == nil {
			wait = initialConfigRetryDelay
			continue
		}
		if !pause(ctx, jitter(wait)) {
			return
		}
		wait = min(2*wait, maxConfigRetryDelay)
	}
}

// followOnce does one step: it catches up with the log, then waits for news.
func (c *configuration) followOnce(ctx context.Context) error {
	at, err := c.catchUp(ctx)
	if err != nil {
		return err
	}
	c.setLoaded()
	if !c.entry.members.Watches(c.entry.now()) {
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

// waitForPollOrChange waits for the slow poll, or for a peer to bring news.
func (c *configuration) waitForPollOrChange(ctx context.Context) {
	timer := time.NewTimer(jitter(c.entry.settings.ConfigPollInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.Changed():
	case <-ctx.Done():
	}
}

// catchUp reads the log to its present end and returns the platform's index
// there.
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
			if err := c.restoreLog(ctx, item.at()); err != nil {
				return 0, err
			}
			continue
		}
		if !item.Found() {
			c.lastLogEnd = item.at()
			return item.Index, nil
		}
		if err := c.applyItem(next, item); err != nil {
			return 0, err
		}
	}
}

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

func decodeEntry(r resource.Revision, text []byte) (resource.LogEntry, error) {
	var e resource.LogEntry
	if err := json.Unmarshal(text, &e); err != nil {
		return e, trace.Wrap(err, "log entry %d can't be read", r)
	}
	if e.Revision != r {
		return e, trace.BadParameter("the key of log entry %d holds entry %d", r, e.Revision)
	}
	return e, nil
}

func (c *configuration) readSnapshot(ctx context.Context) error {
	item, err := c.entry.store.Get(ctx, snapshotKey)
	if err != nil || !item.Found() {
		return err
	}
	var s resource.Snapshot
	if err := json.Unmarshal(item.Value, &s); err != nil {
		return trace.Wrap(err, "the snapshot can't be read")
	}
	c.applySnapshot(s)
	return nil
}

// saveSnapshot writes the catalog out every so many revisions, so that a fresh
// entry needn't read the whole log. It is called by the entry that wrote the
// revision, at that revision. Losing a race is fine: another wrote one.
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
