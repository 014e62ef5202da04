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

// wasRestored reports whether the platform may have been restored from a copy since the end of the
// log was last read: the platform reports another era, or its index at the end of the log has
// fallen. A daemon that has its configuration from a peer only, and hasn't read the end of the log
// yet, has nothing to compare with: it treats the absence of the next log entry as a possible
// restore.
func (c *configuration) wasRestored(item Item) bool {
	if c.lastLogEnd.IsZero() {
		return c.Catalog().Revision() > 0 && !item.Found()
	}
	if item.Era != 0 && item.Era != c.lastLogEnd.Era() {
		return true
	}
	return !item.Found() && item.position().Before(c.lastLogEnd)
}

// restoreLog writes the entries of the configuration log again that a platform restored from an
// older copy has lost. All daemons that have the lost log entries write the same ones, so their
// order doesn't matter. If a different log entry has taken the revision of a lost one in the
// meantime, the log takes precedence and the configuration is reloaded from it.
func (c *configuration) restoreLog(ctx context.Context, point history.Point) error {
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
		_ = level.Warn(c.entry.logger).Log("msg", "the platform was restored from a copy", "from", c.lastLogEnd, "to", point,
			"revision", newest, "entries_written_again", len(missing), "log_diverged", diverged)
	}
	c.lastLogEnd = point
	return nil
}

// missingFromLog returns the newest entries of this daemon that the log lacks, in order. diverged
// reports whether the log has a different entry at the revision before them.
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

// findInLog reports whether the log has an entry at the revision of e (found), and whether that is
// the same entry (same).
func (c *configuration) findInLog(ctx context.Context, e resource.LogEntry) (same, found bool, err error) {
	item, err := c.entry.store.Get(ctx, logKey(e.Revision))
	if err != nil || !item.Found() {
		return false, false, err
	}
	stored, err := decodeEntry(e.Revision, item.Value)
	if err != nil {
		return false, false, err
	}
	return stored.Operation == e.Operation, true, nil
}

// reload reads the platform's snapshot and log up to the end, and then replaces the catalog. If a
// read fails, the catalog stays as it is.
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
