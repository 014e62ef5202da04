// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["silentworkers"] = silentWorkers }

// streamPatience is how long a client waits for the next event: the longest of two seconds, four times the objective
// of 1,800 ms and eight times the pause of 180 ms.
const streamPatience = 7200 * time.Millisecond

// watchStream reads a stream as a client that leaves once it has been silent for streamPatience. It returns the
// number of events, whether the stream came to its end, and when the client left; zero if it didn't.
func (s *site) watchStream(id string, h *host) (events int, whole bool, leftAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 39*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+h.front+"/lohu930/2f", strings.NewReader(strings.Repeat(id, 150)))
	if err != nil {
		return 0, false, time.Time{}
	}
	r.Host = "ficu95.example"
	for name, value := range prompt {
		r.Header.Set(name, value)
	}
	r.Header.Set(headerRequestID, id)
	r.Header.Set(headerDeadline, "39000")
	r.Header.Set("Authorization", "Bearer "+key)
	s.note("client sends", "", id, map[string]any{"host": h.name})
	var left sync.Once
	patience := time.AfterFunc(streamPatience, func() {
		left.Do(func() {
			leftAt = time.Now()
			s.note("client leaves", "", id, nil)
			cancel()
		})
	})
	defer patience.Stop()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		s.note("client got", "", id, err.Error())
		left.Do(func() {})
		return 0, false, leftAt
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
			patience.Reset(streamPatience)
		}
		whole = whole || lines.Text() == "event: done"
	}
	left.Do(func() {})
	s.note("client got", "", id, map[string]any{"status": response.StatusCode, "events": events, "whole": whole, "error": fmt.Sprint(lines.Err())})
	return events, whole, leftAt
}

// silentWorkers: the open connections to the workers go silent for good, while new ones work. Streams that were under
// way there get no event any more, until their clients leave.
func silentWorkers(s *site, trouble bool) ([]string, error) {
	s.store.put(configKey, configuration(7))
	zones := []string{"recife-a", "recife-b", "fortaleza-c"}
	var places []*workerPlace
	for n := range 6 {
		place, err := s.addWorker(fmt.Sprintf("i-9c41d07%d", n), modelName, zones[n%3], 1200*time.Millisecond, "-events", "200", "-gap", "90ms")
		if err != nil {
			return nil, err
		}
		// A host's limit for workers is eight seconds. Its probes come each third of it, in whole seconds rounded up,
		// so the third of them ends a connection.
		place.proxy.setLimits(8*time.Second, 9*time.Second, 0)
		places = append(places, place)
	}
	if err := s.startHosts(zones, small); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	type outcome struct {
		id     string
		whole  bool
		leftAt time.Time
	}
	const streams = 9
	outcomes := make([]outcome, streams)
	var clients sync.WaitGroup
	for n := range streams {
		clients.Go(func() {
			id := fmt.Sprintf("stream-%d", n)
			_, whole, leftAt := s.watchStream(id, s.hosts[n%3])
			outcomes[n] = outcome{id, whole, leftAt}
		})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	silentAt := time.Now()
	if trouble {
		s.note("all open connections to the workers go silent", "", "", nil)
		for _, place := range places {
			place.proxy.silence()
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	left, working, whole := 0, 0, 0
	for _, o := range outcomes {
		if o.whole {
			whole++
		}
		if o.leftAt.IsZero() || o.leftAt.Before(silentAt.Add(time.Duration(small.contactMS)*time.Millisecond)) {
			continue
		}
		left++
		// Half a second, and a tenth for the way.
		at := o.leftAt.Add(600 * time.Millisecond).Format("15:04:05.000")
		ended := s.told(func(n note) bool {
			return n.Req == o.id && (n.What == "run whole" || n.What == "run dropped") && n.At <= at
		})
		if len(ended) == 0 {
			working++
		}
	}
	s.note("counted", "", "", map[string]any{"streams": streams, "whole": whole, "left": left, "still working half a second later": working})
	if working > 3 && 4*working > left {
		return []string{fmt.Sprintf("GONE: %d of %d streams got no further event, their clients left, and workers still worked on %d of them half a second later", left, streams, working)}, nil
	}
	if !trouble && whole < streams {
		return nil, fmt.Errorf("%w: only %d of %d undisturbed streams are whole", errCannotRun, whole, streams)
	}
	return nil, nil
}
