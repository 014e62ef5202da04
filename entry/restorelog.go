// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/resource"
)

// wasRestored reports whether the platform may have come back from a copy since the log's end was
// read last: it tells another era, or its index at the end of the log has fallen. An entry that has
// its configuration from elsewhere hasn't read the log's end yet.
func (c *configuration) wasRestored(item Item) bool {
	if c.lastLogEnd.IsZero() {
		return c.Catalog().Revision() > 0 && !item.Found()
	}
	if item.Era != 0 && item.Era != c.lastLogEnd.Era() {
		return true
	}
	return !item.Found() && item.at().Before(c.lastLogEnd)
}

// restoreLog writes again what a platform that came back from an older copy has lost of the
// configuration log. Every entry that has the lost entries writes the same ones, so it doesn't
// matter who is first. Where another entry of the log has taken a lost one's revision meanwhile,
// the log decides, and the configuration is read anew.
func (c *configuration) restoreLog(ctx context.Context, at history.Point) error {
	newest := c.Catalog().Revision()
	missing, diverged, err := c.missingFromLog(ctx)
	if err != nil {
		return err
	}
	for _, e := range missing {
		if diverged {
			break
		}
		text, err := json.Marshal(e)
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := c.entry.store.Swap(ctx, logKey(e.Revision), text, 0); err != nil {
			return err
		}
		same, found, err := c.findInLog(ctx, e)
		if err != nil {
			return err
		}
		diverged = found && !same
	}
	if diverged {
		if err := c.reload(ctx); err != nil {
			return err
		}
	}
	if !c.lastLogEnd.IsZero() || len(missing) > 0 || diverged {
		_ = level.Warn(c.entry.logger).Log("msg", "the platform was restored from a copy", "from", c.lastLogEnd, "to", at,
			"revision", newest, "entries_written_again", len(missing), "log_diverged", diverged)
	}
	c.lastLogEnd = at
	return nil
}

// missingFromLog returns the newest entries that the log lacks, in order, and whether it has another
// in the place of one that is known here.
func (c *configuration) missingFromLog(ctx context.Context) (missing []resource.LogEntry, diverged bool, err error) {
	c.mu.Lock()
	recent := append([]resource.LogEntry(nil), c.recentEntries...)
	c.mu.Unlock()
	for i := len(recent) - 1; i >= 0; i-- {
		same, found, err := c.findInLog(ctx, recent[i])
		if err != nil {
			return nil, false, err
		}
		if found {
			return recent[i+1:], !same, nil
		}
	}
	return recent, false, nil
}

// findInLog reports whether the log has an entry at a revision, and whether it is this one.
func (c *configuration) findInLog(ctx context.Context, e resource.LogEntry) (same, found bool, err error) {
	item, err := c.entry.store.Get(ctx, logKey(e.Revision))
	if err != nil || !item.Found() {
		return false, false, err
	}
	there, err := decodeEntry(e.Revision, item.Value)
	if err != nil {
		return false, false, err
	}
	return there.Operation == e.Operation, true, nil
}

// reload replaces the configuration by what the platform has, once that is read to its end.
func (c *configuration) reload(ctx context.Context) error {
	catalog := &resource.Catalog{}
	item, err := c.entry.store.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	var s resource.Snapshot
	if item.Found() && json.Unmarshal(item.Value, &s) == nil {
		catalog = resource.FromSnapshot(s)
	}
	var entries []resource.LogEntry
	for {
		next := catalog.Revision() + 1
		item, err := c.entry.store.Get(ctx, logKey(next))
		if err != nil {
			return err
		}
		if !item.Found() {
			break
		}
		e, err := decodeEntry(next, item.Value)
		if err != nil {
			return err
		}
		if catalog, err = catalog.Apply(e); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCatalog(catalog)
	c.recentEntries = entries
	return nil
}
