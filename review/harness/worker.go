// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workerSlots = 6
	workerQueue = 24
	// workTime is the work of one request.
	workTime = 30 * time.Millisecond
	// linkBytesPerSecond is what a link of 1,000 Mbit/s carries.
	linkBytesPerSecond = 125 << 20
)

// worker is a stand-in for a worker of the plain service.
type worker struct {
	// first says that it is the worker that spoils answers.
	first             bool
	id, zone, address string
	version           string
	fleet             *fleet
	slots, places     chan struct{}
	served            atomic.Int64
}

// fleet is all workers, with the requests that they ran.
type fleet struct {
	record *record
	// garbage reports whether the first worker spoils answers now.
	garbage atomic.Bool

	mu sync.Mutex
	// runs counts how often each request was started; unsound holds those that a worker ran while it
	// spoilt answers.
	runs    map[string]int
	unsound map[string]bool
	// arrivals are the requests that reached a worker, in their order.
	arrivals []arrival
}

// ranSoundly reports whether a sound worker ran a request.
func (f *fleet) ranSoundly(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id] > 0 && !f.unsound[id]
}

// start starts a worker of a version in each zone and lists it in the store.
func (f *fleet) start(zones []string, version string, ip func(n int) string, s *store) error {
	for n, zone := range zones {
		w := &worker{
			first: n == 0, id: fmt.Sprintf("i-%s-%08x", version, 0x6be30000+n), zone: zone, version: version, address: ip(n) + ":8428", fleet: f,
			slots: make(chan struct{}, workerSlots), places: make(chan struct{}, workerSlots+workerQueue),
		}
		listener, err := net.Listen("tcp", w.address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: w}
		go func() { _ = server.Serve(listener) }()
		entry, err := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": zone, "version": version, "slots": workerSlots,
			"state": "ready", "cold_remaining_ms": 0, "seq": 1,
		})
		if err != nil {
			return err
		}
		s.put("servers/"+w.id, entry)
	}
	return nil
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	id := r.Header.Get(headerRequestID)
	h.Set(headerRequestID, id)
	if r.URL.Path == healthPath {
		h.Set(headerInstance, w.id)
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		h.Set(headerNotRun, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	loaded := w.fleet.arrive(id, w.version)
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		h.Set(headerNotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.fleet.mu.Lock()
	w.fleet.runs[id]++
	if w.first && w.fleet.garbage.Load() {
		w.fleet.unsound[id] = true
	}
	w.fleet.mu.Unlock()
	w.fleet.record.add("worker %s runs %s, %d bytes", w.id, id, len(body))
	time.Sleep(workTime)
	if w.first && w.fleet.garbage.Load() && w.spoils() {
		w.writeGarbage(out, id)
		return
	}
	if w.version == newVersion && loaded && failsUnderLoad() {
		h.Set(headerSeal, "3e1b.07."+id)
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := make([]byte, 800)
	for n := range answer {
		answer[n] = 'a' + byte(n%26)
	}
	h.Set(headerSeal, "3e1b.07."+id)
	// A caller that left needs no answer.
	_, _ = out.Write(answer)
}

// spoils reports whether to spoil this answer: one in spoiltEvery.
func (w *worker) spoils() bool { return w.served.Add(1)%spoiltEvery == 0 }

// writeGarbage sends bytes that are not an answer, at the rate of the link, until the caller closes
// the connection.
func (w *worker) writeGarbage(out http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	part := make([]byte, 64<<10)
	for n := range part {
		part[n] = 'a' + byte(n%26)
	}
	began, sent := time.Now(), 0
	for {
		n, err := conn.Write(part)
		sent += n
		if err != nil {
			w.fleet.record.add("worker %s sent %d bytes that are not an answer to %s, in %v", w.id, sent, id, time.Since(began))
			return
		}
		time.Sleep(time.Duration(float64(sent)/linkBytesPerSecond*float64(time.Second)) - time.Since(began))
	}
}
