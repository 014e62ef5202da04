// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent"] = silent }

// small are the bounds of a small deployment's sheet.
var small = bounds{contactMS: 3000, drainMS: 2000, applyMS: 2000, heartbeatMS: 1200, retrySlack: 52, memoryMB: 284}

// silent: the open connections to the store go silent for good, while new ones work. Right after it a worker says
// that it leaves, and the store takes that.
func silent(s *site, trouble bool) ([]string, error) {
	s.store.put(configKey, configuration(7))
	zones := []string{"recife-a", "recife-b", "fortaleza-c"}
	var places []*workerPlace
	for n := range 3 {
		place, err := s.addWorker(fmt.Sprintf("i-2b01d9e%d", n), plainName, zones[n], 1200*time.Millisecond, "-engine=false", "-gap", "10ms")
		if err != nil {
			return nil, err
		}
		places = append(places, place)
	}
	if err := s.startHosts([]string{zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]}, small); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for _, h := range s.hosts {
		callers.Go(func() {
			for ctx.Err() == nil {
				callers.Go(func() { s.ask(context.Background(), h, "GET", "/puxa403/2f", key, 1500*time.Millisecond, nil, "") })
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	silentAt := time.Now()
	if trouble {
		s.note("all open connections to the store go silent", "", "", nil)
		s.toStore.silence()
	}
	time.Sleep(100 * time.Millisecond)
	leaver := places[2]
	if _, err := http.Get("http://" + leaver.real + "/standin/drain"); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	isDraining := func(n note) bool {
		more, _ := n.More.(map[string]any)
		return n.What == "entry written" && n.Worker == leaver.id && more["state"] == "draining"
	}
	if !eventually(2*time.Second, func() bool { return len(s.told(isDraining)) > 0 }) {
		return nil, fmt.Errorf("%w: the worker doesn't say that it leaves", errCannotRun)
	}
	acknowledged := time.Now()
	s.note("the store has taken that the worker leaves", leaver.id, "", nil)
	time.Sleep(7 * time.Second)
	stop()
	callers.Wait()
	from := acknowledged.Add(time.Duration(small.drainMS) * time.Millisecond)
	if touch := silentAt.Add(time.Duration(small.contactMS) * time.Millisecond); trouble && touch.After(from) {
		from = touch
	}
	// Machines are in touch again from then on; a request takes a few milliseconds to the worker.
	from = from.Add(100 * time.Millisecond)
	late := s.told(func(n note) bool {
		return n.What == "runs" && n.Worker == leaver.id && n.At > from.Format("15:04:05.000")
	})
	if len(late) > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests reached worker %s from %s to %s, its leaving was acknowledged at %s, and the machines were in touch from %s", len(late), leaver.id, late[0].At, late[len(late)-1].At, acknowledged.Format("15:04:05.000"), from.Format("15:04:05.000"))}, nil
	}
	return nil, nil
}
