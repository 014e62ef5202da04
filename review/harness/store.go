// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the store, or its removal.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is a sound platform store in memory. Leases never expire, since no case outlasts one.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{items: map[string]storeItem{}, leases: map[uint64]int64{}, changed: make(chan struct{})}
}

// put writes a key, or removes it if value is nil.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// write is put with the mutex held.
func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, Lease: lease, Gone: value == nil}
	s.items[key] = item
	if item.Gone {
		delete(s.items, key)
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, storePath), "/")
	lease, _ := strconv.ParseUint(id, 10, 64)
	query := r.URL.Query()
	switch call {
	case "watch":
		s.watch(w, r)
	case "range":
		s.mu.Lock()
		defer s.mu.Unlock()
		items := []storeItem{}
		for key, item := range s.items {
			if strings.HasPrefix(key, query.Get("path_prefix")) {
				items = append(items, item)
			}
		}
		writeJSON(w, map[string]any{"items": items, "more": false, "at": s.revision})
	case "lease":
		var asked struct {
			TTL int64 `json:"ttl_ms"`
		}
		// A call without a readable time gets a lease of zero.
		_ = json.NewDecoder(r.Body).Decode(&asked)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		s.leases[s.revision] = asked.TTL
		writeJSON(w, map[string]any{"lease": s.revision, "ttl_ms": asked.TTL})
	case "keep":
		s.mu.Lock()
		defer s.mu.Unlock()
		ttl, found := s.leases[lease]
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, map[string]any{"lease": lease, "ttl_ms": ttl})
	case wireName("lease", "end"):
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.leases, lease)
		writeJSON(w, map[string]any{})
	case "txn":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// transact writes and removes keys if the expected ones are unchanged.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Put      []storeItem `json:"put"`
		Remove   []string    `json:"remove"`
		Expected []storeItem `json:"expected_rev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range asked.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range asked.Put {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range asked.Remove {
		s.write(key, nil, 0)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

// value returns the value of a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// watch answers with the changes after a revision as soon as there are any.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("since_rev"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that left needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
