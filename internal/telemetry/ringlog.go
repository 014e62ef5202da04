// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// RingLog is an io.Writer for log lines that never blocks its callers. Lines are queued in
// a bounded buffer for a goroutine that writes them. Lines that don't fit are dropped and
// counted. Use NewRingLog.
type RingLog struct {
	lines   chan []byte
	dropped atomic.Int64
	drained chan struct{}

	mu sync.Mutex
	// closed is set once lines is closed.
	closed bool
}

// ringCapacity is how many lines may be queued: what a busy host logs in a second or two.
const ringCapacity = 1024

// NewRingLog returns a RingLog that writes to a writer, and starts its goroutine.
func NewRingLog(to io.Writer) *RingLog {
	r := &RingLog{lines: make(chan []byte, ringCapacity), drained: make(chan struct{})}
	go func() {
		defer close(r.drained)
		for line := range r.lines {
			// There is nowhere to report that the log can't be written.
			_, _ = to.Write(line)
		}
	}()
	return r
}

// Write queues one line, or drops it if the buffer is full or the log closed: goroutines that outlast
// the log, as a request that is interrupted at the end of a stop, must not end the process by a last line.
// It never returns an error.
func (r *RingLog) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		r.dropped.Add(1)
		return len(line), nil
	}
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped so far.
func (r *RingLog) Dropped() int64 { return r.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Lines that are written later are dropped.
func (r *RingLog) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.lines)
	}
	r.mu.Unlock()
	<-r.drained
}
