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
	// Most is the bound in bytes.
	Most int64
	held atomic.Int64
}

// Take counts some bytes, if there is room for them.
func (b *Budget) Take(n int) bool {
	if held := b.held.Add(int64(n)); b.Most > 0 && held > b.Most {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

// Free gives back what was taken.
func (b *Budget) Free(n int) { b.held.Add(-int64(n)) }

// Held is how many bytes are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// Settings bound one spool.
type Settings struct {
	Budget *Budget
	// Most is how many bytes it holds at most.
	Most int
	// Patience is how long the reader may take nothing while the source waits for it.
	Patience time.Duration
	// Failed is told that a write has failed, beside what the source does; nil tells nobody.
	Failed func()
}

// Spool holds what one reader hasn't taken yet. Use New; Close ends its goroutine.
type Spool struct {
	settings Settings
	// write hands bytes to the reader, and abort has a write that is under way fail.
	write func([]byte) error
	abort func()

	mu sync.Mutex
	// queue is what waits, and held its bytes with those of the write that is under way.
	queue [][]byte
	held  int
	// waiting says that the source waits for room, and spare is what the reader has taken
	// meanwhile: it is kept for the source, for other streams would take it.
	waiting bool
	spare   int
	// wrote counts the writes that are done.
	wrote uint64
	err   error
	// closing says that nothing more comes.
	closing bool
	// changed wakes who waits for room or for the end, and filled the goroutine that writes.
	changed, filled chan struct{}
	done            chan struct{}
}

// New returns a spool before a reader.
func New(s Settings, write func([]byte) error, abort func()) *Spool {
	sp := &Spool{
		settings: s, write: write, abort: abort,
		changed: make(chan struct{}, 1), filled: make(chan struct{}, 1), done: make(chan struct{}),
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
				s.dropAll()
				s.mu.Unlock()
				wake(s.changed)
				return
			}
			s.mu.Unlock()
			<-s.filled
			continue
		}
		part := s.queue[0]
		s.queue[0], s.queue = nil, s.queue[1:]
		s.mu.Unlock()
		err := s.write(part)
		s.mu.Lock()
		s.release(len(part))
		s.wrote++
		failed := err != nil && s.err == nil && s.settings.Failed != nil
		if s.err == nil {
			s.err = err
		}
		s.mu.Unlock()
		if failed {
			s.settings.Failed()
		}
		wake(s.changed)
	}
}

// dropAll frees what won't be written. The mutex is held.
func (s *Spool) dropAll() {
	for _, part := range s.queue {
		s.release(len(part))
	}
	s.queue = nil
}

func (s *Spool) release(n int) {
	s.held -= n
	if s.waiting {
		s.spare += n
		return
	}
	s.settings.Budget.Free(n)
}

// take counts some bytes against the bounds, if there is room for them. The mutex is held.
func (s *Spool) take(n int) bool {
	// One part always fits: without that a reader who is up to date would be held up by what
	// others hold.
	must := s.held == 0
	if !must && s.held+n > s.settings.Most {
		return false
	}
	if missing := n - s.spare; missing > 0 && !s.settings.Budget.Take(missing) {
		if !must {
			return false
		}
		s.settings.Budget.held.Add(int64(missing))
	}
	s.spare = max(s.spare-n, 0)
	s.held += n
	return true
}

// endWait gives back what the source that has waited doesn't need. The mutex is held.
func (s *Spool) endWait() {
	s.settings.Budget.Free(s.spare)
	s.waiting, s.spare = false, 0
}

func wake(c chan struct{}) {
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
		if !s.take(len(p)) {
			s.waiting = true
			return false
		}
		s.queue = append(s.queue, append([]byte(nil), p...))
		wake(s.filled)
		return true
	})
}

// Close waits until the reader has all, as Put does for room, and ends the spool.
func (s *Spool) Close(ctx context.Context) error {
	err := s.wait(ctx, func() bool { return s.held == 0 })
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	wake(s.filled)
	<-s.done
	return err
}

// wait waits until something is done, which it tries after each write. On an error nothing more
// is written.
func (s *Spool) wait(ctx context.Context, try func() bool) error {
	var timer *time.Timer
	var expired <-chan time.Time
	var seen uint64
	for {
		s.mu.Lock()
		err, ok, wrote := s.err, false, s.wrote
		if err == nil {
			ok = try()
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
			timer = time.NewTimer(s.settings.Patience)
			expired, seen = timer.C, wrote
		case wrote != seen:
			timer.Reset(s.settings.Patience)
			seen = wrote
		}
		select {
		case <-s.changed:
		case <-expired:
			return s.giveUp(ErrStalled)
		case <-ctx.Done():
			return s.giveUp(context.Cause(ctx))
		}
	}
}

// giveUp ends the write that is under way, and drops the rest.
func (s *Spool) giveUp(err error) error {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	err = s.err
	s.endWait()
	s.mu.Unlock()
	s.abort()
	wake(s.filled)
	return err
}
