// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// watchEvent is one line of a watch response.
type watchEvent struct {
	// Type is "put", "delete" or "status".
	Type     string         `json:"type"`
	Resource resourceAnswer `json:"resource"`
}

const (
	watchPut    = "put"
	watchDelete = "delete"
	watchStatus = "status"
	// statusPollInterval is the interval at which a watch checks for changed statuses.
	statusPollInterval = 500 * time.Millisecond
)

// watch writes a line for each change of the watched resources after a revision, and for each
// change of whether a resource holds in all zones. It returns when the operator disconnects or
// the entry starts to leave.
func (a *Admin) watch(w http.ResponseWriter, r *http.Request, kind resource.Kind, name resource.Name) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	state := watcher{admin: a, kind: kind, name: name, sinceRevision: resource.Revision(since), reported: map[resource.Name]reportedState{}}
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder, controller := json.NewEncoder(w), http.NewResponseController(w)
	tick := time.NewTicker(statusPollInterval)
	defer tick.Stop()
	for {
		changed := a.entry.Changed()
		for _, event := range state.newEvents() {
			if encoder.Encode(event) != nil {
				return
			}
		}
		if controller.Flush() != nil || a.entry.Leaving() {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

// reportedState is the state of a resource that a watch last reported.
type reportedState struct {
	resource resource.Resource
	holds    bool
}

type watcher struct {
	admin         *Admin
	kind          resource.Kind
	name          resource.Name
	sinceRevision resource.Revision
	reported      map[resource.Name]reportedState
}

func (s *watcher) newEvents() []watchEvent {
	var events []watchEvent
	present := map[resource.Name]bool{}
	for _, r := range s.admin.entry.Catalog().List(s.kind) {
		if s.name != "" && r.Name != s.name {
			continue
		}
		present[r.Name] = true
		answer := s.admin.resourceAnswerOf(r)
		before, known := s.reported[r.Name]
		s.reported[r.Name] = reportedState{resource: r, holds: answer.Status.Holds}
		switch {
		case known && before.resource.Revision != r.Revision, !known && r.Revision > s.sinceRevision:
			events = append(events, watchEvent{Type: watchPut, Resource: answer})
		case known && before.holds != answer.Status.Holds:
			events = append(events, watchEvent{Type: watchStatus, Resource: answer})
		}
	}
	for name, before := range s.reported {
		if !present[name] {
			delete(s.reported, name)
			deleted := resourceAnswer{Kind: s.kind, Name: name, ResourceVersion: before.resource.Revision, Spec: before.resource.Spec}
			events = append(events, watchEvent{Type: watchDelete, Resource: deleted})
		}
	}
	return events
}

// entryAnswer is the JSON form of an entry's status.
type entryAnswer struct {
	Host         string                `json:"host"`
	Zone         string                `json:"zone"`
	Revision     resource.Revision     `json:"revision"`
	Ready        bool                  `json:"ready"`
	Leaving      bool                  `json:"leaving"`
	InFlight     int                   `json:"inFlight"`
	Era          uint64                `json:"platformEra"`
	Zones        map[string]zoneAnswer `json:"zones"`
	OutOfService []string              `json:"outOfService"`
	Entries      []hostAnswer          `json:"entries"`
	Upstreams    []upstreamAnswer      `json:"upstreams"`
	Coordinators map[string]string     `json:"coordinators"`
	Pools        []poolAnswer          `json:"pools"`
}

type hostAnswer struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Address string `json:"peerAddress"`
}

type upstreamAnswer struct {
	Upstream string              `json:"upstream"`
	Kind     member.UpstreamKind `json:"kind"`
	Pool     string              `json:"pool"`
	Zone     string              `json:"zone"`
	Address  string              `json:"address"`
	Leaving  bool                `json:"leaving"`
}

type poolAnswer struct {
	Pool       string `json:"pool"`
	FreeTokens int    `json:"freeTokens"`
	Waiting    int    `json:"waiting"`
	Engines    int    `json:"engines"`
}

func (a *Admin) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	at := a.entry.Now()
	writeJSON(w, http.StatusOK, entryAnswerOf(a.entry.Status(r.Context(), at), at))
}

func entryAnswerOf(s entry.Status, at time.Time) entryAnswer {
	answer := entryAnswer{
		Host: string(s.Self.ID), Zone: string(s.Self.Zone), Revision: s.Revision, Era: uint64(s.Era), Ready: s.Ready,
		Leaving: s.Leaving, InFlight: s.InFlight, Zones: statusAnswerOf(s.Zones, at, s.Revision).Zones,
		OutOfService: s.OutOfService,
		Entries:      []hostAnswer{}, Upstreams: []upstreamAnswer{}, Pools: []poolAnswer{}, Coordinators: map[string]string{},
	}
	for _, e := range s.Entries {
		answer.Entries = append(answer.Entries, hostAnswer{Host: string(e.ID), Zone: string(e.Zone), Address: e.PeerAddress})
	}
	for _, u := range s.Upstreams {
		answer.Upstreams = append(answer.Upstreams, upstreamAnswer{
			Upstream: string(u.ID), Kind: u.Kind, Pool: u.Pool, Zone: string(u.Zone), Address: u.Address, Leaving: u.Leaving,
		})
	}
	for pool, host := range s.Coordinators {
		answer.Coordinators[string(pool)] = string(host)
	}
	for _, p := range s.Pools {
		answer.Pools = append(answer.Pools, poolAnswer{
			Pool: string(p.Pool), FreeTokens: int(p.FreeTokens), Waiting: p.Waiting, Engines: len(p.Reports),
		})
	}
	return answer
}
