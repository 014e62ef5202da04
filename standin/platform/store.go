// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package platform simulates the platform's key-value service and host list for
// tests and trials. It implements the part of Consul's HTTP API that shedpath
// uses: compare-and-swap, sessions as leases, blocking queries as watches, and
// the service catalog as the host list.
//
// All state is in memory. The faults of the real service can be injected:
// outages, slow responses, responses lost after the write took effect, rate
// limits and a stale host list.
package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

// kvEntry is the state of one key.
type kvEntry struct {
	value []byte
	// createIndex, modifyIndex and lockIndex are as in Consul: the store's index
	// at creation, the index at the last change, and the number of lock
	// acquisitions.
	createIndex, modifyIndex, lockIndex uint64
	session                             string
}

type session struct {
	ttl     time.Duration
	expires time.Time
	// deleteKeys deletes the session's locked keys when the session ends; if
	// false, they are released.
	deleteKeys bool
}

// service is one entry of the host list.
type service struct {
	ID      string            `json:"ID"`
	Name    string            `json:"Name"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Meta    map[string]string `json:"Meta"`
}

// catalogSnapshot is the host list that is valid from a time on.
type catalogSnapshot struct {
	since    time.Time
	services map[string]service
}

// store is the state of the key-value service and the host list. It isn't safe
// for concurrent use.
type store struct {
	// index increases with every change of a key and never decreases.
	index    uint64
	entries  map[string]kvEntry
	sessions map[string]session
	// catalogHistory is in chronological order; the last snapshot is current.
	catalogHistory []catalogSnapshot
}

func newStore() *store {
	return &store{entries: map[string]kvEntry{}, sessions: map[string]session{}}
}

func (s *store) clone() store {
	return store{index: s.index, entries: maps.Clone(s.entries), sessions: maps.Clone(s.sessions), catalogHistory: slices.Clone(s.catalogHistory)}
}

func (s *store) get(now time.Time, key string) (kvEntry, bool) {
	s.expireSessions(now)
	entry, ok := s.entries[key]
	return entry, ok
}

func (s *store) list(now time.Time, prefix string) []string {
	s.expireSessions(now)
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) put(now time.Time, key string, value []byte) {
	s.expireSessions(now)
	s.write(key, value)
}

// compareAndSwap writes the value if the key's modify index is wantIndex, and
// reports whether it did. Zero means that the key must not exist.
func (s *store) compareAndSwap(now time.Time, key string, value []byte, wantIndex uint64) bool {
	s.expireSessions(now)
	if s.entries[key].modifyIndex != wantIndex {
		return false
	}
	s.write(key, value)
	return true
}

func (s *store) write(key string, value []byte) {
	s.index++
	entry := s.entries[key]
	if entry.createIndex == 0 {
		entry.createIndex = s.index
	}
	entry.value, entry.modifyIndex = value, s.index
	s.entries[key] = entry
}

func (s *store) remove(now time.Time, key string, wantIndex uint64) bool {
	s.expireSessions(now)
	entry, ok := s.entries[key]
	if !ok {
		return true
	}
	if wantIndex != 0 && entry.modifyIndex != wantIndex {
		return false
	}
	s.index++
	delete(s.entries, key)
	return true
}

// acquire writes the value and locks the key for the session. It reports false if
// the session doesn't exist or another session holds the lock.
func (s *store) acquire(now time.Time, key string, value []byte, sessionID string) bool {
	s.expireSessions(now)
	if _, alive := s.sessions[sessionID]; !alive {
		return false
	}
	entry := s.entries[key]
	if entry.session != "" && entry.session != sessionID {
		return false
	}
	s.write(key, value)
	if entry.session == "" {
		entry = s.entries[key]
		entry.session, entry.lockIndex = sessionID, entry.lockIndex+1
		s.entries[key] = entry
	}
	return true
}

func (s *store) createSession(now time.Time, ttl time.Duration, deleteKeys bool) string {
	s.expireSessions(now)
	id := uuid.NewString()
	s.sessions[id] = session{ttl: ttl, expires: now.Add(ttl), deleteKeys: deleteKeys}
	return id
}

func (s *store) renewSession(now time.Time, id string) bool {
	s.expireSessions(now)
	sess, ok := s.sessions[id]
	if !ok {
		return false
	}
	sess.expires = now.Add(sess.ttl)
	s.sessions[id] = sess
	return true
}

func (s *store) destroySession(id string) {
	sess, ok := s.sessions[id]
	if !ok {
		return
	}
	delete(s.sessions, id)
	for key, entry := range s.entries {
		if entry.session != id {
			continue
		}
		s.index++
		if sess.deleteKeys {
			delete(s.entries, key)
			continue
		}
		entry.session, entry.modifyIndex = "", s.index
		s.entries[key] = entry
	}
}

func (s *store) expireSessions(now time.Time) {
	for id, sess := range s.sessions {
		if now.After(sess.expires) {
			s.destroySession(id)
		}
	}
}

func (s *store) register(now time.Time, sv service) {
	s.updateCatalog(now, func(services map[string]service) { services[sv.ID] = sv })
}

func (s *store) deregister(now time.Time, id string) {
	s.updateCatalog(now, func(services map[string]service) { delete(services, id) })
}

// maxCatalogSnapshots is the number of past host lists kept for ListLagMillis.
const maxCatalogSnapshots = 256

func (s *store) updateCatalog(now time.Time, change func(map[string]service)) {
	services := map[string]service{}
	if n := len(s.catalogHistory); n > 0 {
		services = maps.Clone(s.catalogHistory[n-1].services)
	}
	change(services)
	s.catalogHistory = append(s.catalogHistory, catalogSnapshot{since: now, services: services})
	if len(s.catalogHistory) > maxCatalogSnapshots {
		s.catalogHistory = slices.Delete(s.catalogHistory, 0, len(s.catalogHistory)-maxCatalogSnapshots)
	}
}

// services returns the services of the given name, ordered by ID, in the host
// list that was current at the given time.
func (s *store) services(at time.Time, name string) []service {
	var listed []service
	for i := len(s.catalogHistory) - 1; i >= 0; i-- {
		if s.catalogHistory[i].since.After(at) {
			continue
		}
		for _, sv := range s.catalogHistory[i].services {
			if sv.Name == name {
				listed = append(listed, sv)
			}
		}
		break
	}
	slices.SortFunc(listed, func(a, b service) int { return strings.Compare(a.ID, b.ID) })
	return listed
}
