// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["silentkey"] = silentKey }

// silentKey: the open connections to the store go silent for good, while new ones work. Right after it the operator
// takes a key away.
func silentKey(s *site, trouble bool) ([]string, error) {
	const revoked = "q2h7cmvd5wjiuwbg3k8v9"
	first := configuration(7)
	first["tenants"] = decodeDocument[[]any](twoKeysDocument)
	s.store.put(configKey, first)
	zones := []string{"recife-a", "recife-b", "fortaleza-c"}
	for n := range 3 {
		if _, err := s.addWorker(fmt.Sprintf("i-2b01d9e%d", n), plainName, zones[n], 1200*time.Millisecond, "-engine=false", "-gap", "10ms"); err != nil {
			return nil, err
		}
	}
	if err := s.startHosts([]string{zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]}, small); err != nil {
		return nil, err
	}
	time.Sleep(7 * time.Second)
	silentAt := time.Now()
	if trouble {
		s.note("all open connections to the store go silent", "", "", nil)
		s.toStore.silence()
	}
	time.Sleep(100 * time.Millisecond)
	s.store.put(configKey, configuration(9))
	acknowledged := time.Now()
	s.note("the store has taken version 9 without the key", "", "", nil)
	from := acknowledged.Add(time.Duration(small.applyMS) * time.Millisecond)
	if touch := silentAt.Add(time.Duration(small.contactMS) * time.Millisecond); trouble && touch.After(from) {
		from = touch
	}
	from = from.Add(50 * time.Millisecond)
	var mu sync.Mutex
	served := map[string]int{}
	var last time.Duration
	var callers sync.WaitGroup
	for _, h := range s.hosts {
		callers.Go(func() {
			for time.Since(acknowledged) < 7*time.Second {
				sent := time.Now()
				callers.Go(func() {
					a := s.ask(context.Background(), h, "GET", "/puxa403/2f", revoked, 1500*time.Millisecond, nil, "")
					if a.status == 200 && sent.After(from) {
						mu.Lock()
						defer mu.Unlock()
						served[h.name]++
						last = max(last, sent.Sub(silentAt))
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	if len(served) > 0 {
		return []string{fmt.Sprintf("CONFIG: requests with a dropped key, sent after %s, ran: %v; the last %v after the silence", from.Format("15:04:05.000"), served, last)}, nil
	}
	return nil, nil
}
