// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// RingLog is a writer of log lines that never blocks its callers: lines wait in
// a bounded ring for a goroutine that writes them, and those that don't fit are
// counted and dropped. Use NewRingLog.
type RingLog struct {
	lines     chan []byte
	dropped   atomic.Int64
	drained   chan struct{}
	closeOnce sync.Once
}

// ringCapacity is how many lines may wait: a second or two of a busy host's.
const ringCapacity = 1024

// NewRingLog starts a ring in front of a writer.
func NewRingLog(to io.Writer) *RingLog {
	r := &RingLog{lines: make(chan []byte, ringCapacity), drained: make(chan struct{})}
	go func() {
		defer close(r.drained)
		for line := range r.lines {
			// A log that can't be written has nowhere to say so.
			_, _ = to.Write(line)
		}
	}()
	return r
}

// Write queues one line, or drops it.
func (r *RingLog) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (r *RingLog) Dropped() int64 { return r.dropped.Load() }

// Close writes what waits and ends the ring. Nothing may be written after it.
func (r *RingLog) Close() {
	r.closeOnce.Do(func() { close(r.lines) })
	<-r.drained
}
