// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package spool passes a stream on to a reader that may be slower than its source.
//
// What the reader hasn't taken yet is kept in memory, within a bound for each stream and one for
// the process, so that the source needn't wait for the reader. When a bound is reached the source
// waits; a reader that takes nothing for too long meanwhile is given up.
package spool

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrStalled says that a reader took nothing for so long that it was given up.
var ErrStalled = errors.New("the reader has stalled")

// Budget bounds what all spools of a process hold together. The zero value sets no bound.
type Budget struct {
	// MaxBytes is the bound in bytes.
	MaxBytes int64
	reserved atomic.Int64
}

// Reserve counts some bytes, if there is room for them.
func (b *Budget) Reserve(n int) bool {
	if held := b.reserved.Add(int64(n)); b.MaxBytes > 0 && held > b.MaxBytes {
		b.reserved.Add(-int64(n))
		return false
	}
	return true
}

// Release gives back what was taken.
func (b *Budget) Release(n int) { b.reserved.Add(-int64(n)) }

// Reserved is how many bytes are held.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Settings bound one spool.
type Settings struct {
	Budget *Budget
	// MaxBytes is how many bytes it holds at most.
	MaxBytes int
	// StallTimeout is how long the reader may take nothing while the source waits for it.
	StallTimeout time.Duration
	// OnWriteFailure is told that a write has failed, beside what the source does; nil tells nobody.
	OnWriteFailure func()
}

// Spool holds what one reader hasn't taken yet. Use New; Close ends its goroutine.
type Spool struct {
	settings Settings
	// write hands bytes to the reader, and abort has a write that is under way fail.
	write func([]byte) error
	abort func()

	mu sync.Mutex
	// queue is what waits, and held its bytes with those of the write that is under way.
	queue     [][]byte
	heldBytes int
	// sourceWaiting says that the source waits for room, and spare is what the reader has taken
	// meanwhile: it is kept for the source, for other streams would take it.
	sourceWaiting bool
	freedBytes    int
	// writeCount counts the writes that are done.
	writeCount uint64
	err        error
	// closing says that nothing more comes.
	closing bool
	// progress wakes who waits for room or for the end, and queueChanged the goroutine that writes.
	progress, queueChanged chan struct{}
	done                   chan struct{}
}

// New returns a spool before a reader.
func New(s Settings, write func([]byte) error, abort func()) *Spool {
	sp := &Spool{
		settings: s, write: write, abort: abort,
		progress: make(chan struct{}, 1), queueChanged: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go sp.run()
	return sp
}

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
		err := s.write(chunk)
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

// dropQueue frees what won't be written. The mutex is held.
func (s *Spool) dropQueue() {
	for _, chunk := range s.queue {
		s.release(len(chunk))
	}
	s.queue = nil
}

func (s *Spool) release(n int) {
	s.heldBytes -= n
	if s.sourceWaiting {
		s.freedBytes += n
		return
	}
	s.settings.Budget.Release(n)
}

// reserve counts some bytes against the bounds, if there is room for them. The mutex is held.
func (s *Spool) reserve(n int) bool {
	// One part always fits: without that a reader who is up to date would be held up by what
	// others hold.
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

// endWait gives back what the source that has waited doesn't need. The mutex is held.
func (s *Spool) endWait() {
	s.settings.Budget.Release(s.freedBytes)
	s.sourceWaiting, s.freedBytes = false, 0
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Put has the reader get some bytes, which it copies. It waits while there is no room, but not
// for a reader that takes nothing: then the error is ErrStalled. Otherwise it is the context's, or
// that of an earlier write.
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

// Close waits until the reader has all, as Put does for room, and ends the spool.
func (s *Spool) Close(ctx context.Context) error {
	err := s.wait(ctx, func() bool { return s.heldBytes == 0 })
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	notify(s.queueChanged)
	<-s.done
	return err
}

// wait waits until something is done, which it tries after each write. On an error nothing more
// is written.
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

// fail ends the write that is under way, and drops the rest.
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
