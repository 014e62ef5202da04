// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker as a process of its own, so that a kill of the process ends its connections
// as the system does it. It tells what it runs on its standard output.
type worker struct {
	id, service, zone, public string
	born                      int64
	events                    int
	gap                       time.Duration
	framed                    bool
	engine                    bool

	mu       sync.Mutex
	active   int
	draining bool
	runs     atomic.Int64
	// beatNow has the entry written at once.
	beatNow chan struct{}
}

// note is one line of a worker's or the driver's record.
type note struct {
	At     string `json:"at"`
	What   string `json:"what"`
	Worker string `json:"worker,omitempty"`
	Born   int64  `json:"born,omitempty"`
	Req    string `json:"request,omitempty"`
	More   any    `json:"more,omitempty"`
}

var printing sync.Mutex

func (w *worker) tell(what, request string, more any) {
	printing.Lock()
	defer printing.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(note{At: time.Now().Format("15:04:05.000"), What: what, Worker: w.id, Born: w.born, Req: request, More: more})
}

func runWorker(arguments []string) int {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{beatNow: make(chan struct{}, 1)}
	flags.StringVar(&w.id, "id", "", "")
	flags.StringVar(&w.service, "service", "", "")
	flags.StringVar(&w.zone, "zone", "", "")
	flags.StringVar(&w.public, "public", "", "the address that callers use")
	flags.IntVar(&w.events, "events", 20, "events of a stream")
	flags.DurationVar(&w.gap, "gap", 100*time.Millisecond, "time between events, or half the time of other work")
	flags.BoolVar(&w.framed, "framed", true, "answers have a length or an end of their own")
	flags.BoolVar(&w.engine, "engine", true, "a model worker")
	flags.Int64Var(&w.born, "born", 0, "the start, in milliseconds of the time of day")
	listen := flags.String("listen", "", "")
	registry := flags.String("registry", "", "where the entry is written")
	beat := flags.Duration("beat", 1200*time.Millisecond, "heartbeat_ms")
	_ = flags.Parse(arguments)
	go w.register(*registry, *beat)
	w.tell("worker starts", "", nil)
	server := &http.Server{Addr: *listen, Handler: w}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	return 1
}

// register writes the worker's entry every heartbeat.
func (w *worker) register(registry string, beat time.Duration) {
	client := &http.Client{Timeout: beat}
	for seq := 1; ; seq++ {
		w.mu.Lock()
		state := "ready"
		if w.draining {
			state = "draining"
		}
		w.mu.Unlock()
		entry, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.public, "zone": w.zone, "version": "v1", "slots": 24, "state": state,
			"cold_remaining_ms": 0, "seq": seq, "born": w.born,
		})
		r, _ := http.NewRequest(http.MethodPut, registry+"/"+w.id, bytes.NewReader(entry))
		if answer, err := client.Do(r); err == nil {
			_ = answer.Body.Close()
		}
		select {
		case <-time.After(beat):
		case <-w.beatNow:
		}
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		out.Header().Set(headerInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	draining := w.draining
	w.mu.Unlock()
	switch r.URL.Path {
	case "/standin/drain":
		w.mu.Lock()
		w.draining = true
		w.mu.Unlock()
		w.beatNow <- struct{}{}
		return
	case "/health":
		w.tell("health asked", "", nil)
		out.Header().Set(headerInstance, w.id)
		status := http.StatusOK
		if draining {
			status = http.StatusServiceUnavailable
		}
		reply(out, status, map[string]any{"born": w.born})
		return
	case movePath:
		// Every other worker is out of reach for this one.
		w.tell("move asked", "", nil)
		reply(out, http.StatusServiceUnavailable, map[string]any{})
		return
	case reportPath:
		w.mu.Lock()
		active := w.active
		w.mu.Unlock()
		report := decodeDocument[map[string]any](reportDocument)
		report["active"], report["born"] = active, w.born
		reply(out, http.StatusOK, report)
		return
	}
	id := r.Header.Get(headerRequestID)
	if id == "" {
		out.Header().Set(headerNotRun, "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.active++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	w.tell("runs", id, map[string]any{"method": r.Method, "path": r.RequestURI, "tenant": r.Header.Get("Tenant"), "body_bytes": len(body)})
	if w.engine {
		w.stream(out, r, id)
	} else {
		w.answer(out, r, id)
	}
}

func (w *worker) seal() string { return fmt.Sprintf("%s.%d.%d", w.id, w.born, w.runs.Add(1)) }

// stream answers with events whose ids rise; the last one is named done.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, id string) {
	send, end := w.begin(out, id, "text/event-stream")
	if send == nil {
		return
	}
	for n := 1; n <= w.events; n++ {
		name := "token"
		if n == w.events {
			name = "done"
		}
		if !send(fmt.Sprintf("id: %d\nevent: %s\ndata: event %d of %d of %s\n\n", n, name, n, w.events, id)) || r.Context().Err() != nil {
			w.tell("run dropped", id, n)
			return
		}
		time.Sleep(w.gap)
	}
	w.tell("run whole", id, w.events)
	end()
}

// answer answers in two halves with the work between them.
func (w *worker) answer(out http.ResponseWriter, _ *http.Request, id string) {
	send, end := w.begin(out, id, "text/plain")
	if send == nil {
		return
	}
	if !send("first half of the answer to " + id + "; ") {
		return
	}
	time.Sleep(w.gap)
	if !send("second half of the answer to " + id + ".") {
		return
	}
	w.tell("run whole", id, 2)
	end()
}

// begin writes the head of an answer. Without framing the answer ends with its connection.
func (w *worker) begin(out http.ResponseWriter, id, kind string) (send func(string) bool, end func()) {
	if w.framed {
		w.mu.Lock()
		if w.draining {
			out.Header().Set("Connection", "close")
		}
		w.mu.Unlock()
		out.Header().Set("Content-Type", kind)
		out.Header().Set(headerRequestID, id)
		out.Header().Set(headerSeal, w.seal())
		control := http.NewResponseController(out)
		return func(text string) bool {
			_, err := io.WriteString(out, text)
			return err == nil && control.Flush() == nil
		}, func() {}
	}
	c, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return nil, nil
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", kind, headerRequestID, id, headerSeal, w.seal())
	if _, err := io.WriteString(c, head); err != nil {
		return nil, nil
	}
	return func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}, func() { _ = c.Close() }
}
