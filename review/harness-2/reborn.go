// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// cases are the cases by the names under which scripts play them.
var cases = map[string]func(s *site, trouble bool) (broken []string, err error){
	"reborn": reborn,
}

// fleet are the bounds of the whole fleet's sheet, with the memory of a small host.
var fleet = bounds{contactMS: 6000, drainMS: 5000, applyMS: 5000, heartbeatMS: 2000, retrySlack: 52, memoryMB: 284}

const (
	key       = "k8v9v77emvd5wjiuwbg3"
	modelName = "llm-balcao"
	plainName = "pedidos-app"
)

// reborn: one of ten workers crashes behind a cut and starts again under the id that it had. Its answer, which has no
// length, was under way. When the cut heals, the rest of what it had sent and the end of its connection arrive. This
// happens once to a stream and once to a plain request.
func reborn(s *site, trouble bool) ([]string, error) {
	s.store.put(configKey, configuration(7))
	zones := []string{"recife-a", "recife-b", "fortaleza-c"}
	for n := range 10 {
		if _, err := s.addWorker(fmt.Sprintf("i-7f3a91c%d", n), modelName, zones[n%3], 2*time.Second, "-framed=false", "-events", "30", "-gap", "100ms"); err != nil {
			return nil, err
		}
		if _, err := s.addWorker(fmt.Sprintf("i-02d9e6b%d", n), plainName, zones[n%3], 2*time.Second, "-framed=false", "-engine=false", "-gap", "700ms"); err != nil {
			return nil, err
		}
	}
	if err := s.startHosts(zones, fleet); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var broken []string
	a, err := s.askThroughCut(trouble, time.Second, 500*time.Millisecond, 2*time.Second, func() answer {
		return s.ask(context.Background(), s.hosts[0], "POST", "/lohu930/2f", key, 39*time.Second, prompt, strings.Repeat("x", 1460))
	})
	if err != nil {
		return nil, err
	}
	whole := strings.Contains(a.body, "event: done")
	if a.err == nil && a.status == 200 && a.seal != "" && !whole {
		broken = append(broken, fmt.Sprintf("MIXED: the client got a success with the worker's seal that ended as complete after %d of 30 events", strings.Count(a.body, "event: token")))
	}
	if !trouble && (a.err != nil || a.status != 200 || !whole) {
		return nil, fmt.Errorf("%w: the undisturbed stream isn't whole: %d %v", errCannotRun, a.status, a.err)
	}
	a, err = s.askThroughCut(trouble, 200*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond, func() answer {
		return s.ask(context.Background(), s.hosts[1], "POST", "/pule252/2f", key, 1500*time.Millisecond, nil, "x")
	})
	if err != nil {
		return nil, err
	}
	whole = strings.Contains(a.body, "second half")
	if a.err == nil && a.status == 200 && a.seal != "" && !whole {
		broken = append(broken, fmt.Sprintf("MIXED: the client got a success with the worker's seal and the body %q", a.body))
	}
	if !trouble && (a.err != nil || a.status != 200 || !whole) {
		return nil, fmt.Errorf("%w: the undisturbed answer isn't whole: %d %v", errCannotRun, a.status, a.err)
	}
	return broken, nil
}

// askThroughCut sends a request. With trouble, the worker that runs it is cut off from all machines and the store after
// before, its process is killed and started again a while later, and the cut heals.
func (s *site) askThroughCut(trouble bool, before, down, after time.Duration, ask func() answer) (answer, error) {
	isRun := func(n note) bool { return n.What == "runs" }
	earlier := len(s.told(isRun))
	done := make(chan answer, 1)
	go func() { done <- ask() }()
	if trouble {
		time.Sleep(before)
		runs := s.told(isRun)[earlier:]
		if len(runs) != 1 {
			return answer{}, fmt.Errorf("%w: %d workers run the request", errCannotRun, len(runs))
		}
		place := s.workers[runs[0].Worker]
		s.note("the worker is cut off from all machines and the store", place.id, "", nil)
		s.setCutFromStore(place, true)
		place.proxy.cut()
		time.Sleep(down / 2)
		s.note("the worker crashes", place.id, "", nil)
		s.kill(place.command)
		time.Sleep(down / 2)
		if err := s.startWorker(place); err != nil {
			return answer{}, err
		}
		time.Sleep(after)
		s.note("the cut heals", place.id, "", nil)
		s.setCutFromStore(place, false)
		place.proxy.heal()
	}
	a := <-done
	time.Sleep(200 * time.Millisecond)
	return a, nil
}
