// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/resource"
)

var errAnswerLost = errors.New("the platform's answer was lost")

// fakeStore is a Store in memory that can be made to fail.
type fakeStore struct {
	mu    sync.Mutex
	items map[string]Item
	index uint64
	// faultFor returns the fault of each write; nil means that no write fails.
	faultFor func(key string) writeFault
	down     bool
	// reads counts the calls of Get.
	reads atomic.Int64
	// writeDelay delays the answer to each write.
	writeDelay time.Duration
	// changed is closed and replaced at every write.
	changed chan struct{}
	// era rises with each restore; zero means that the store reports none. reportedEra is the era
	// at the last answer. restored makes waiting watches fail.
	era, reportedEra history.Era
	restored         bool
}

// writeFault is a failure of one write.
type writeFault int

const (
	faultNone writeFault = iota
	// faultNotSent refuses the write before it has an effect.
	faultNotSent
	// faultAnswerLost applies the write and loses the answer.
	faultAnswerLost
	// faultWriteLost loses the write itself, and so also the answer.
	faultWriteLost
)

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]Item{}, changed: make(chan struct{})}
}

func (s *fakeStore) Get(_ context.Context, key string) (Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Add(1)
	if s.down {
		return Item{}, errAnswerLost
	}
	item := s.items[key]
	item.Index, item.Era = s.index, s.era
	s.reportedEra = max(s.reportedEra, s.era)
	return item, nil
}

// Era returns the era of the last answer.
func (s *fakeStore) Era() history.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportedEra
}

// snapshot returns a copy of the items and the index, for restore.
func (s *fakeStore) snapshot() (map[string]Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.items), s.index
}

// restore replaces the contents by those of a snapshot. The era rises if the store reports one.
func (s *fakeStore) restore(items map[string]Item, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.index = maps.Clone(items), index
	if s.era != 0 {
		s.era++
	}
	s.restored = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Swap(_ context.Context, key string, value []byte, v Version) (bool, error) {
	written, delay, era, err := s.swap(key, value, v)
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedEra = max(s.reportedEra, era)
	return written, err
}

func (s *fakeStore) swap(key string, value []byte, v Version) (written bool, delay time.Duration, era history.Era, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, down := faultNone, s.down
	if s.faultFor != nil {
		fault = s.faultFor(key)
	}
	switch {
	case down || fault == faultNotSent:
		return false, s.writeDelay, s.era, fmt.Errorf("the store is down: %w", ErrNotSent)
	case fault == faultWriteLost:
		return false, s.writeDelay, s.era, errAnswerLost
	}
	written = s.items[key].Version == v
	if written {
		s.index++
		s.items[key] = Item{Value: value, Version: Version(s.index)}
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if fault == faultAnswerLost {
		return false, s.writeDelay, s.era, errAnswerLost
	}
	return written, s.writeDelay, s.era, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, v Version) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, ErrNotSent
	}
	if s.items[key].Version != v {
		return false, nil
	}
	delete(s.items, key)
	return true, nil
}

func (s *fakeStore) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Item, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		item, down, changed := s.items[key], s.down, s.changed
		s.mu.Unlock()
		if down {
			return Item{}, errAnswerLost
		}
		if uint64(item.Version) > index {
			return item, nil
		}
		select {
		case <-changed:
			s.mu.Lock()
			restored := s.restored
			s.mu.Unlock()
			if restored {
				return Item{}, errAnswerLost
			}
		case <-timeout.C:
			return item, nil
		case <-ctx.Done():
			return Item{}, ctx.Err()
		}
	}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// configLog returns the entries of the configuration log.
func (s *fakeStore) configLog() []resource.LogEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []resource.LogEntry
	for r := resource.Revision(1); ; r++ {
		item, found := s.items[logKey(r)]
		if !found {
			return entries
		}
		var e resource.LogEntry
		if json.Unmarshal(item.Value, &e) != nil {
			panic("an entry of the configuration log is not valid JSON")
		}
		entries = append(entries, e)
	}
}

// disconnectableStore is one entry's connection to the shared store, which can be cut for reads and
// watches.
type disconnectableStore struct {
	*fakeStore
	mu           sync.Mutex
	disconnected bool
}

func (s *disconnectableStore) setDisconnected(off bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected = off
}

func (s *disconnectableStore) isDisconnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnected
}

func (s *disconnectableStore) Get(ctx context.Context, key string) (Item, error) {
	if s.isDisconnected() {
		return Item{}, ErrNotSent
	}
	return s.fakeStore.Get(ctx, key)
}

func (s *disconnectableStore) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Item, error) {
	if s.isDisconnected() {
		return Item{}, ErrNotSent
	}
	item, err := s.fakeStore.Watch(ctx, key, index, wait)
	if s.isDisconnected() {
		return Item{}, errAnswerLost
	}
	return item, err
}
