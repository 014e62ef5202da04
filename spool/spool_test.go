// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package spool

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// reader takes one chunk after each pause, until it is aborted.
type reader struct {
	mu       sync.Mutex
	pause    time.Duration
	received strings.Builder
	aborted  chan struct{}
	once     sync.Once
}

func newReader(pause time.Duration) *reader {
	return &reader{pause: pause, aborted: make(chan struct{})}
}

var errAborted = errors.New("aborted")

func (r *reader) write(p []byte) error {
	timer := time.NewTimer(r.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.aborted:
		return errAborted
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received.Write(p)
	return nil
}

func (r *reader) abort() { r.once.Do(func() { close(r.aborted) }) }

// TestSlowReaderDoesNotBlockSource checks that a source finishes before its slow reader, which
// still gets everything in order.
func TestSlowReaderDoesNotBlockSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, b := newReader(200*time.Millisecond), &Budget{MaxBytes: 1000}
		s := New(Settings{Budget: b, MaxBytes: 500, StallTimeout: time.Second}, r.write, r.abort)
		start, want := time.Now(), ""
		for n := range 40 {
			part := fmt.Sprintf("part %02d;", n)
			want += part
			is.NoErr(s.Put(t.Context(), []byte(part)))
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.NoErr(s.Close(t.Context()))
		is.Equal(r.received.String(), want)
		is.Equal(time.Since(start), 40*200*time.Millisecond)
		is.Equal(b.Reserved(), int64(0))
	})
}

// TestSourceWaitsForSlowReader checks that the source waits, without an error, for a reader
// that keeps reading.
func TestSourceWaitsForSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, b := newReader(800*time.Millisecond), &Budget{MaxBytes: 1000}
		s := New(Settings{Budget: b, MaxBytes: 100, StallTimeout: time.Second}, r.write, r.abort)
		for range 30 {
			is.NoErr(s.Put(t.Context(), make([]byte, 40)))
			is.True(b.Reserved() <= 100)
		}
		is.NoErr(s.Close(t.Context()))
		is.Equal(r.received.Len(), 1200)
	})
}

// TestStalledReaderIsDisconnected checks that the stream of a reader that takes nothing is
// aborted and its memory is released.
func TestStalledReaderIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, b := newReader(time.Hour), &Budget{MaxBytes: 1000}
		s := New(Settings{Budget: b, MaxBytes: 100, StallTimeout: time.Second}, r.write, r.abort)
		start := time.Now()
		var err error
		for err == nil {
			err = s.Put(t.Context(), make([]byte, 40))
		}
		is.Equal(err, ErrStalled)
		is.Equal(time.Since(start), time.Second)
		is.Equal(s.Close(t.Context()), ErrStalled)
		is.Equal(b.Reserved(), int64(0))
	})
}

// TestSlowReadersDoNotBlockFastReader checks that a fast reader is served without delay while
// slow readers use up the budget.
func TestSlowReadersDoNotBlockFastReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{MaxBytes: 1000}
		var slow []*Spool
		for range 20 {
			r := newReader(time.Hour)
			s := New(Settings{Budget: b, MaxBytes: 500, StallTimeout: time.Minute}, r.write, r.abort)
			slow = append(slow, s)
			go func() {
				for s.Put(t.Context(), make([]byte, 50)) == nil {
				}
			}()
		}
		synctest.Wait()
		is.True(b.Reserved() <= 1000+20*50) // the budget, and one chunk for each spool
		fast := newReader(0)
		s := New(Settings{Budget: b, MaxBytes: 500, StallTimeout: time.Second}, fast.write, fast.abort)
		start := time.Now()
		for range 100 {
			is.NoErr(s.Put(t.Context(), make([]byte, 50)))
			time.Sleep(10 * time.Millisecond)
		}
		is.NoErr(s.Close(t.Context()))
		is.Equal(time.Since(start), time.Second)
		for _, s := range slow {
			is.Equal(s.Close(t.Context()), ErrStalled)
		}
		is.Equal(b.Reserved(), int64(0))
	})
}

// TestSourceContextEndsWhileWaiting checks that a source that waits for room stops when its
// context ends.
func TestSourceContextEndsWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, b := newReader(time.Hour), &Budget{}
		s := New(Settings{Budget: b, MaxBytes: 10, StallTimeout: time.Minute}, r.write, r.abort)
		ctx, cancel := context.WithCancel(t.Context())
		is.NoErr(s.Put(ctx, make([]byte, 10)))
		time.AfterFunc(time.Second, cancel)
		is.Equal(s.Put(ctx, make([]byte, 10)), context.Canceled)
		is.Equal(s.Close(ctx), context.Canceled)
		is.Equal(b.Reserved(), int64(0))
	})
}

// TestPanickingReaderFails checks that a write that panics fails like one that returns an error, and
// that its spool ends.
func TestPanickingReaderFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{MaxBytes: 1000}
		s := New(Settings{Budget: b, MaxBytes: 500, StallTimeout: time.Second}, func([]byte) error { panic("a mistake") }, func() {})
		is.NoErr(s.Put(t.Context(), []byte("part")))
		synctest.Wait()
		is.True(s.Put(t.Context(), []byte("part")) != nil)
		is.True(s.Close(t.Context()) != nil)
		is.Equal(b.Reserved(), int64(0))
	})
}
