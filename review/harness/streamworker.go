// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// streamEvents is how many events a whole stream has, and eventPause the time between two.
	streamEvents = 60
	eventPause   = 50 * time.Millisecond
)

// streamWorker is a worker of a streaming service, in a process of its own. Its answers have neither a
// length nor chunks and end with their connection.
type streamWorker struct{ id string }

// serveStreams runs a stream worker until it is killed. It prints what it does.
func serveStreams(id, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listens")
	return http.Serve(listener, streamWorker{id})
}

func (w streamWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h, id := out.Header(), r.Header.Get(headerRequestID)
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
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Printf("runs %s\n", id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.07.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		headerRequestID, id, headerSeal, id)
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	for n := 1; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: event %d of %s\n\n", n, n, id); err != nil {
			fmt.Printf("%s: its caller left after event %d\n", id, n)
			return
		}
	}
	fmt.Printf("%s: all %d events sent\n", id, streamEvents)
}

// runStreamWorker is the main function of a worker's process.
func runStreamWorker(id, address string) {
	if err := serveStreams(id, address); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
