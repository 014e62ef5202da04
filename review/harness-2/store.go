// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: items, ranges, watches, transactions and leases, as PROTOCOL.md
// says. It answers every call, keeps its whole history, and is linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	events   []item
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	s := &store{items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			delete(s.leases, id)
			for key, i := range s.items {
				if i.Lease == id {
					s.remove(key)
				}
			}
		}
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	i := s.items[key]
	if i == nil {
		i = &item{Key: key, Made: s.revision}
		s.items[key] = i
	}
	i.Value, i.Revision, i.Lease = value, s.revision, leaseID
	s.events = append(s.events, *i)
	s.wake()
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Gone: true})
	s.wake()
}

// put writes a key for the operator or a worker.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, text, 0)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == keyPath:
		s.mu.Lock()
		i := s.items[q.Get("key")]
		s.mu.Unlock()
		if i == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, *i)
	case r.URL.Path == rangePath:
		s.serveRange(w, q.Get("path_prefix"), q.Get("since_rev"))
	case r.URL.Path == watchPath:
		after, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == txnPath:
		s.serveTxn(w, r)
	case r.URL.Path == leasePath:
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.nextID++
		id, ttl := s.nextID, time.Duration(in.TTL)*time.Millisecond
		s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": in.TTL})
	case strings.HasPrefix(r.URL.Path, keepPath):
		s.withLease(w, strings.TrimPrefix(r.URL.Path, keepPath), func(_ uint64, l *lease) { l.ends = time.Now().Add(l.ttl) })
	case strings.HasPrefix(r.URL.Path, endPath):
		s.withLease(w, strings.TrimPrefix(r.URL.Path, endPath), func(_ uint64, l *lease) { l.ends = time.Now() })
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) withLease(w http.ResponseWriter, text string, do func(uint64, *lease)) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		do(id, l)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	items := []item{}
	for _, key := range keys[:min(len(keys), 500)] {
		items = append(items, *s.items[key])
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Put []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items, failed := []item{}, false
	for _, e := range in.Expected {
		var revision uint64
		if i := s.items[e.Key]; i != nil {
			revision = i.Revision
			items = append(items, *i)
		}
		failed = failed || revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range in.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range in.Put {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
