// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package platform is a stand-in for the platform's key-value service and
// host list, for tests and trials. It speaks the part of Consul's published
// HTTP interface that shedpath uses: compare-and-swap, sessions as leases,
// blocking queries as watches, and the service catalog as the host list.
//
// It keeps everything in memory and has switches for the faults that the real
// service shows: outages, slow answers, answers lost after the write took
// effect, rate limits and a host list that lags.
package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

// kvEntry is one key's state.
type kvEntry struct {
	value []byte
	// createIndex, modifyIndex and lockIndex follow Consul: the store's index
	// at creation and at the last write, and the number of acquisitions.
	createIndex, modifyIndex, lockIndex uint64
	session                             string
}

type session struct {
	ttl     time.Duration
	expires time.Time
	// deleteKeys says that the keys held are deleted, not only released.
	deleteKeys bool
}

// service is one row of the host list.
type service struct {
	ID      string            `json:"ID"`
	Name    string            `json:"Name"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Meta    map[string]string `json:"Meta"`
}

// catalogSnapshot is the host list as it stood from a time on.
type catalogSnapshot struct {
	since    time.Time
	services map[string]service
}

// store is the state of the key-value service. It isn't safe for use by
// several goroutines.
type store struct {
	// index rises with every write and never falls.
	index    uint64
	entries  map[string]kvEntry
	sessions map[string]session
	// catalogHistory stand in the order of their times; the last is the present.
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

// compareAndSwap writes when the key's modify index is want; zero wants a key
// that isn't there.
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

// acquire locks the key for the session; it fails while another holds it.
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

// maxCatalogSnapshots bounds how far back a lagging host list can look.
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

// services returns the host list as it stood at the given time.
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
