// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a machine stands still. Workers of its zone crash crashAfter later and
	// are back crashTime after that.
	freezeTime, crashAfter, crashTime = 3500 * time.Millisecond, 300 * time.Millisecond, 2200 * time.Millisecond
	// streamClients is how many clients there are for each machine.
	streamClients = 8
	// frozenMachines is how many machines stand still, one after the other.
	frozenMachines = 3
	// crashingWorkers is how many workers crash at once: the site's share of 0.17, of twelve.
	crashingWorkers = 2
	// streamDeadline is how long a client waits for a stream.
	streamDeadline = 39 * time.Second
)

// streamZones are the zones of the case of streams.
var streamZones = []string{"salt-lake", "new-town", "howrah"}

// workerProcess is a stream worker's process, and the entry of the store for it.
type workerProcess struct {
	// number tells the workers apart.
	number        int
	zone, address string
	record        *record
	store         *store

	mu      sync.Mutex
	starts  int
	id      string
	process *os.Process
	// stopped says that the case is over, so that the worker isn't started any more.
	stopped bool
}

var errStopped = errors.New("the case is over")

// start starts the worker as a new incarnation, with a new id.
func (w *workerProcess) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return errStopped
	}
	w.starts++
	w.id = fmt.Sprintf("i-%02d-%d", w.number, w.starts)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(self, "-case", "worker", "-id", w.id, "-listen", w.address)
	output, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	w.process = c.Process
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return fmt.Errorf("worker %s doesn't start", w.id)
	}
	id := w.id
	w.record.add("worker %s starts at %s", id, w.address)
	go func() {
		for lines.Scan() {
			w.record.add("worker %s: %s", id, lines.Text())
		}
		// The process was killed.
		_ = c.Wait()
	}()
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 24, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
	})
	if err != nil {
		return err
	}
	w.store.put("servers/"+id, entry)
	return nil
}

// stop ends the worker for good.
func (w *workerProcess) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	// The process may have ended.
	_ = w.process.Kill()
}

// kill kills the worker. Its entry in the store goes after three silent heartbeats.
func (w *workerProcess) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.id
	w.record.add("worker %s crashes", id)
	// The process may have ended.
	_ = w.process.Kill()
	time.AfterFunc(3600*time.Millisecond, func() { w.store.put("servers/"+id, nil) })
}

// streamResults counts the streams by how they ended for their clients.
type streamResults struct {
	mu       sync.Mutex
	whole    int
	cut      int
	other    map[int]int
	tooShort int
}

// streamClient asks for one stream after another until the context ends.
func (s *site) streamClient(ctx context.Context, number int, zone string, results *streamResults) {
	for n := 1; ctx.Err() == nil; n++ {
		h := s.hostFor(zone, number/len(streamZones))
		if h == nil {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%08x%08x", number, n)
		events, status, err := readStream(ctx, h.ip+":7240", id)
		if ctx.Err() != nil {
			return
		}
		s.record.add("client %d, %s: stream %s: status %d, %d events, %v", number, h.name, id, status, events, endText(err))
		results.mu.Lock()
		switch {
		case status != http.StatusOK:
			results.other[status]++
		case err != nil:
			results.cut++
		case events == streamEvents:
			results.whole++
		default:
			results.tooShort++
			s.record.add("MIXED, ORDER: stream %s ended as complete after event %d of %d", id, events, streamEvents)
		}
		results.mu.Unlock()
		if status != http.StatusOK {
			sleep(ctx, 200*time.Millisecond)
		}
	}
}

func endText(err error) string {
	if err != nil {
		return "broken off: " + err.Error()
	}
	return "complete"
}

// readStream asks for a stream and reads it to its end. The error says that it isn't complete.
func readStream(ctx context.Context, address, id string) (events, status int, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	r, err := http.NewRequest(http.MethodPost, "http://"+routeHost+routePath, strings.NewReader("{}"))
	if err != nil {
		return 0, 0, err
	}
	clientRequestHeader(r.Header, id)
	r.Header.Set(headerDeadline, "39000")
	if err := r.Write(conn); err != nil {
		return 0, 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return 0, 0, err
	}
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		err = io.ErrUnexpectedEOF // an answer of the host that ends with its connection proves nothing
	}
	return strings.Count(string(text), "\n\n"), answer.StatusCode, err
}

// playStreams lets some machines in turn stand still while workers of their zone crash and come back.
// It returns 1 if a client got a part of a stream as a complete one.
func (s *site) playStreams(ctx context.Context, freeze, crash bool, workers []*workerProcess) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := streamResults{other: map[int]int{}}
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for number := range streamClients * len(s.hosts) {
		clients.Go(func() { s.streamClient(ctx, number, s.hosts[number%len(s.hosts)].zone, &results) })
	}
	sleep(ctx, 3*time.Second)
	for n, h := range s.hosts[:frozenMachines] {
		// The workers are listed zone by zone in turn, so these are in the zone of the host.
		var crashing []*workerProcess
		for i := range crashingWorkers {
			crashing = append(crashing, workers[n+i*len(streamZones)])
		}
		if freeze {
			s.record.add("%s stands still", h.name)
			h.signal(syscall.SIGSTOP)
		}
		sleep(ctx, crashAfter)
		if crash {
			for _, w := range crashing {
				w.kill()
			}
		}
		sleep(ctx, crashTime)
		if crash {
			for _, w := range crashing {
				if err := w.start(); err != nil {
					h.signal(syscall.SIGCONT)
					return 2, err
				}
			}
		}
		sleep(ctx, freezeTime-crashAfter-crashTime)
		h.signal(syscall.SIGCONT)
		s.record.add("%s goes on", h.name)
		sleep(ctx, 6*time.Second)
	}
	if ctx.Err() != nil {
		return 2, ctx.Err()
	}
	results.mu.Lock()
	defer results.mu.Unlock()
	s.record.verdict("streams that came whole: %d; that were visibly broken off: %d; refused or failed, by status: %v", results.whole, results.cut, results.other)
	s.record.verdict("streams that ended as complete before their last event: %d", results.tooShort)
	if results.tooShort > 0 {
		s.record.verdict("rules MIXED and ORDER are broken")
		return 1, nil
	}
	return 0, nil
}
