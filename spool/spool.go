// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package spool passes a stream on to a reader that may be slower than its source.
//
// Data that the reader hasn't taken yet is buffered in memory, within a bound for each stream
// and one for the process, so that the source needn't wait for the reader. When a bound is
// reached the source waits; if the reader then takes nothing for too long, its stream is
// aborted.
package spool

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// ErrStalled is returned after a reader took nothing for longer than Settings.StallTimeout.
var ErrStalled = errors.New("the reader has stalled")

// Budget bounds the bytes that all spools of a process hold together. The zero value sets no
// bound.
type Budget struct {
	// MaxBytes is the bound; zero means no bound.
	MaxBytes int64
	reserved atomic.Int64
}

// Reserve reserves n bytes and reports whether the budget had room for them. Without room it
// reserves nothing.
func (b *Budget) Reserve(n int) bool {
	if held := b.reserved.Add(int64(n)); b.MaxBytes > 0 && held > b.MaxBytes {
		b.reserved.Add(-int64(n))
		return false
	}
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int) { b.reserved.Add(-int64(n)) }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Settings configures a spool.
type Settings struct {
	Budget *Budget
	// MaxBytes is the largest number of bytes that the spool holds. A spool that holds nothing
	// accepts a larger chunk.
	MaxBytes int
	// StallTimeout is how long the reader may take nothing while the source waits for it.
	StallTimeout time.Duration
	// OnWriteFailure, if not nil, is called after the first failed write, unless the spool has
	// failed already. Put and Close return the error as well.
	OnWriteFailure func()
}

// Spool buffers data for one reader. Create it with New; Close ends its goroutine.
type Spool struct {
	settings Settings
	// write passes bytes to the reader. abort makes a write in progress fail.
	write func([]byte) error
	abort func()

	mu sync.Mutex
	// queue holds the chunks still to be written. heldBytes counts their bytes and those of the
	// write in progress.
	queue     [][]byte
	heldBytes int
	// sourceWaiting says that the source waits for room. freedBytes counts the bytes that the
	// reader has taken meanwhile; they stay reserved in the budget for this source, because
	// other streams would take them otherwise.
	sourceWaiting bool
	freedBytes    int
	// writeCount is the number of completed writes.
	writeCount uint64
	err        error
	// closing says that no more data follows.
	closing bool
	// progress wakes the source, which waits for room or for the end of writing. queueChanged
	// wakes the writing goroutine.
	progress, queueChanged chan struct{}
	done                   chan struct{}
}

// New returns a spool that passes data to a reader with write. abort must make a write in
// progress fail.
func New(s Settings, write func([]byte) error, abort func()) *Spool {
	sp := &Spool{
		settings: s, write: write, abort: abort,
		progress: make(chan struct{}, 1), queueChanged: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go sp.run()
	return sp
}

// run writes the queued chunks until the spool is closed or fails.
func (s *Spool) run() {
	defer close(s.done)
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.err != nil {
			if s.closing || s.err != nil {
				s.dropQueue()
				s.mu.Unlock()
				notify(s.progress)
				return
			}
			s.mu.Unlock()
			<-s.queueChanged
			continue
		}
		chunk := s.queue[0]
		s.queue[0], s.queue = nil, s.queue[1:]
		s.mu.Unlock()
		err := s.tryWrite(chunk)
		s.mu.Lock()
		s.release(len(chunk))
		s.writeCount++
		failed := err != nil && s.err == nil && s.settings.OnWriteFailure != nil
		if s.err == nil {
			s.err = err
		}
		s.mu.Unlock()
		if failed {
			s.settings.OnWriteFailure()
		}
		notify(s.progress)
	}
}

// tryWrite passes a chunk to the reader. A panic is an error like any other: the spool has a goroutine of
// its own, where it would end the process.
func (s *Spool) tryWrite(chunk []byte) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("the write panicked: %v\n%s", reason, debug.Stack())
		}
	}()
	return s.write(chunk)
}

// dropQueue discards the chunks that won't be written. The mutex is held.
func (s *Spool) dropQueue() {
	for _, chunk := range s.queue {
		s.release(len(chunk))
	}
	s.queue = nil
}

// release takes n bytes off those held. While the source waits they stay reserved for it. The
// mutex is held.
func (s *Spool) release(n int) {
	s.heldBytes -= n
	if s.sourceWaiting {
		s.freedBytes += n
		return
	}
	s.settings.Budget.Release(n)
}

// reserve reserves n bytes within both bounds and reports whether there was room for them. The
// mutex is held.
func (s *Spool) reserve(n int) bool {
	// An empty spool always accepts one chunk. Otherwise what other spools hold would block a
	// reader that keeps up.
	empty := s.heldBytes == 0
	if !empty && s.heldBytes+n > s.settings.MaxBytes {
		return false
	}
	if needed := n - s.freedBytes; needed > 0 && !s.settings.Budget.Reserve(needed) {
		if !empty {
			return false
		}
		s.settings.Budget.reserved.Add(int64(needed))
	}
	s.freedBytes = max(s.freedBytes-n, 0)
	s.heldBytes += n
	return true
}

// endWait returns to the budget what the source no longer needs after its wait. The mutex is
// held.
func (s *Spool) endWait() {
	s.settings.Budget.Release(s.freedBytes)
	s.sourceWaiting, s.freedBytes = false, 0
}

// notify wakes the goroutine that receives from c, now or when it next does.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Put queues a copy of p for the reader. While there is no room it waits. It returns ErrStalled
// if the reader takes nothing for StallTimeout meanwhile, the cause if ctx ends, or the error
// of an earlier write.
func (s *Spool) Put(ctx context.Context, p []byte) error {
	return s.wait(ctx, func() bool {
		if !s.reserve(len(p)) {
			s.sourceWaiting = true
			return false
		}
		s.queue = append(s.queue, append([]byte(nil), p...))
		notify(s.queueChanged)
		return true
	})
}

// Close waits until the reader has taken everything, under the same conditions as Put, and ends
// the spool.
func (s *Spool) Close(ctx context.Context) error {
	err := s.wait(ctx, func() bool { return s.heldBytes == 0 })
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	notify(s.queueChanged)
	<-s.done
	return err
}

// wait calls attempt, first at once and then after writes, until it succeeds. It returns the
// same errors as Put. After an error nothing more is written.
func (s *Spool) wait(ctx context.Context, attempt func() bool) error {
	var timer *time.Timer
	var expired <-chan time.Time
	var lastWriteCount uint64
	for {
		s.mu.Lock()
		err, ok, writeCount := s.err, false, s.writeCount
		if err == nil {
			ok = attempt()
		}
		if ok || err != nil {
			s.endWait()
		}
		s.mu.Unlock()
		switch {
		case err != nil:
			return err
		case ok:
			if timer != nil {
				timer.Stop()
			}
			return nil
		case timer == nil:
			timer = time.NewTimer(s.settings.StallTimeout)
			expired, lastWriteCount = timer.C, writeCount
		case writeCount != lastWriteCount:
			timer.Reset(s.settings.StallTimeout)
			lastWriteCount = writeCount
		}
		select {
		case <-s.progress:
		case <-expired:
			return s.fail(ErrStalled)
		case <-ctx.Done():
			return s.fail(context.Cause(ctx))
		}
	}
}

// fail aborts the write in progress and discards the rest. It returns err, or the earlier error
// if the spool has failed already.
func (s *Spool) fail(err error) error {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	err = s.err
	s.endWait()
	s.mu.Unlock()
	s.abort()
	notify(s.queueChanged)
	return err
}
