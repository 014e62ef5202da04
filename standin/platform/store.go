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

// item is one key's state.
type item struct {
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

// listing is the host list as it stood from a time on.
type listing struct {
	from     time.Time
	services map[string]service
}

// store is the state of the key-value service. It isn't safe for use by
// several goroutines.
type store struct {
	// index rises with every write and never falls.
	index    uint64
	items    map[string]item
	sessions map[string]session
	// listings stand in the order of their times; the last is the present.
	listings []listing
}

func newStore() *store {
	return &store{items: map[string]item{}, sessions: map[string]session{}}
}

func (s *store) copy() store {
	return store{index: s.index, items: maps.Clone(s.items), sessions: maps.Clone(s.sessions), listings: slices.Clone(s.listings)}
}

func (s *store) get(now time.Time, key string) (item, bool) {
	s.expire(now)
	it, ok := s.items[key]
	return it, ok
}

func (s *store) list(now time.Time, prefix string) []string {
	s.expire(now)
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) put(now time.Time, key string, value []byte) {
	s.expire(now)
	s.write(key, value)
}

// compareAndSwap writes when the key's modify index is want; zero wants a key
// that isn't there.
func (s *store) compareAndSwap(now time.Time, key string, value []byte, want uint64) bool {
	s.expire(now)
	if s.items[key].modifyIndex != want {
		return false
	}
	s.write(key, value)
	return true
}

func (s *store) write(key string, value []byte) {
	s.index++
	it := s.items[key]
	if it.createIndex == 0 {
		it.createIndex = s.index
	}
	it.value, it.modifyIndex = value, s.index
	s.items[key] = it
}

func (s *store) remove(now time.Time, key string, want uint64) bool {
	s.expire(now)
	it, ok := s.items[key]
	if !ok {
		return true
	}
	if want != 0 && it.modifyIndex != want {
		return false
	}
	s.index++
	delete(s.items, key)
	return true
}

// acquire locks the key for the session; it fails while another holds it.
func (s *store) acquire(now time.Time, key string, value []byte, id string) bool {
	s.expire(now)
	if _, alive := s.sessions[id]; !alive {
		return false
	}
	it := s.items[key]
	if it.session != "" && it.session != id {
		return false
	}
	s.write(key, value)
	if it.session == "" {
		it = s.items[key]
		it.session, it.lockIndex = id, it.lockIndex+1
		s.items[key] = it
	}
	return true
}

func (s *store) createSession(now time.Time, ttl time.Duration, deleteKeys bool) string {
	s.expire(now)
	id := uuid.NewString()
	s.sessions[id] = session{ttl: ttl, expires: now.Add(ttl), deleteKeys: deleteKeys}
	return id
}

func (s *store) renewSession(now time.Time, id string) bool {
	s.expire(now)
	held, ok := s.sessions[id]
	if !ok {
		return false
	}
	held.expires = now.Add(held.ttl)
	s.sessions[id] = held
	return true
}

func (s *store) destroySession(id string) {
	held, ok := s.sessions[id]
	if !ok {
		return
	}
	delete(s.sessions, id)
	for key, it := range s.items {
		if it.session != id {
			continue
		}
		s.index++
		if held.deleteKeys {
			delete(s.items, key)
			continue
		}
		it.session, it.modifyIndex = "", s.index
		s.items[key] = it
	}
}

func (s *store) expire(now time.Time) {
	for id, held := range s.sessions {
		if now.After(held.expires) {
			s.destroySession(id)
		}
	}
}

func (s *store) register(now time.Time, sv service) {
	s.relist(now, func(services map[string]service) { services[sv.ID] = sv })
}

func (s *store) deregister(now time.Time, id string) {
	s.relist(now, func(services map[string]service) { delete(services, id) })
}

// keptListings bounds how far back a lagging host list can look.
const keptListings = 256

func (s *store) relist(now time.Time, change func(map[string]service)) {
	services := map[string]service{}
	if n := len(s.listings); n > 0 {
		services = maps.Clone(s.listings[n-1].services)
	}
	change(services)
	s.listings = append(s.listings, listing{from: now, services: services})
	if len(s.listings) > keptListings {
		s.listings = slices.Delete(s.listings, 0, len(s.listings)-keptListings)
	}
}

// services returns the host list as it stood at the given time.
func (s *store) services(at time.Time, name string) []service {
	var listed []service
	for i := len(s.listings) - 1; i >= 0; i-- {
		if s.listings[i].from.After(at) {
			continue
		}
		for _, sv := range s.listings[i].services {
			if sv.Name == name {
				listed = append(listed, sv)
			}
		}
		break
	}
	slices.SortFunc(listed, func(a, b service) int { return strings.Compare(a.ID, b.ID) })
	return listed
}
