// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLag guards against a host that takes one long pause for a lack of processor time, or overlooks a
// processor that is only given out in turns.
func TestLag(t *testing.T) {
	for name, c := range map[string]struct {
		// late are the samples, one each sampleInterval.
		late map[int]time.Duration
		// least and most bound the mean wait.
		least, most time.Duration
	}{
		"idle":                      {nil, 0, 0},
		"short collections":         {map[int]time.Duration{3: 10 * time.Millisecond, 17: 10 * time.Millisecond, 30: 10 * time.Millisecond}, 0, time.Millisecond},
		"one suspension":            {map[int]time.Duration{3: 5 * time.Second}, 0, 0},
		"in turns":                  {map[int]time.Duration{0: 200 * time.Millisecond, 8: 200 * time.Millisecond, 16: 200 * time.Millisecond, 24: 200 * time.Millisecond}, 50 * time.Millisecond, 100 * time.Millisecond},
		"older than the window":     {map[int]time.Duration{-90: 300 * time.Millisecond, -80: 300 * time.Millisecond, -70: 300 * time.Millisecond}, 0, 0},
		"late by little, all along": {map[int]time.Duration{1: 4 * time.Millisecond, 2: 4 * time.Millisecond, 3: 4 * time.Millisecond}, 0, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var l lag
			now := time.Now()
			for n := -100; n < 32; n++ {
				now = now.Add(sampleInterval)
				l.record(now, c.late[n])
			}
			if got := l.mean(); got < c.least || got > c.most {
				t.Errorf("mean wait %v, expected %v to %v", got, c.least, c.most)
			}
		})
	}
}

// TestLinkUse guards against a link that fills up unnoticed: bytes and headers of both directions, with
// callers, upstreams and peers, count.
func TestLinkUse(t *testing.T) {
	is, now := is.New(t), time.Now()
	var peerBytes int64
	m := Meter{Link: &Link{Peers: func() (int64, int64) { return peerBytes, 0 }}, BytesPerSecond: 100_000}
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		buffer := make([]byte, 4096)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	caller := m.Link.CountCaller(near)
	for range 200 {
		now = now.Add(sampleInterval)
		m.sample(now, 0)
		_, err := caller.Write(make([]byte, 934)) // 1,000 with headers, 40 times a second
		is.NoErr(err)
		peerBytes += 250
	}
	load := m.Load()
	is.True(load.LinkOut > 0.49 && load.LinkOut < 0.51)
	is.True(load.LinkIn > 0.02 && load.LinkIn < 0.03) // acknowledgements
	for range 100 {
		now = now.Add(sampleInterval)
		m.sample(now, 0)
	}
	is.True(m.Load().LinkOut < 0.01)
}

// TestConnectTime guards against one slow upstream that is taken for a slow host.
func TestConnectTime(t *testing.T) {
	is, now := is.New(t), time.Now()
	m := Meter{Link: &Link{}}
	compute := func(took ...time.Duration) time.Duration {
		for _, d := range took {
			m.Connected(d)
		}
		now = now.Add(loadInterval)
		m.sample(now, 0)
		return m.Load().Connect
	}
	const slow = 200 * time.Millisecond
	is.Equal(compute(slow, slow, slow, slow), slow)
	is.Equal(compute(slow, slow, time.Millisecond, slow, slow), time.Millisecond)
	is.Equal(compute(slow, slow), time.Duration(0)) // too few to tell
}

// TestShareExceeded guards against a host that closes connections for lack of processor time although it gets more than
// its share, and against one that takes a quota given out in turns for more than its share.
func TestShareExceeded(t *testing.T) {
	for name, c := range map[string]struct {
		// use returns the part of the share that is used at a time.
		use  func(at time.Duration) float64
		want bool
	}{
		"idle":          {func(time.Duration) float64 { return 0.1 }, false},
		"share used up": {func(time.Duration) float64 { return 1 }, false},
		"exceeded":      {func(time.Duration) float64 { return 1.5 }, true},
		"quota in turns": {func(at time.Duration) float64 {
			if at%(200*time.Millisecond) < 50*time.Millisecond || at%(200*time.Millisecond) >= 150*time.Millisecond {
				return 2
			}
			return 0
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is, now := is.New(t), time.Now()
			var used, at time.Duration
			m := Meter{Link: &Link{}, ProcessorShare: 0.4, ProcessorTime: func() time.Duration { return used }}
			play := func(d time.Duration, use func(at time.Duration) float64) {
				for range d / sampleInterval {
					now, at = now.Add(sampleInterval), at+sampleInterval
					used += time.Duration(use(at) * m.ProcessorShare * float64(sampleInterval))
					m.sample(now, 0)
				}
			}
			play(10*time.Second, c.use)
			is.Equal(m.Load().ShareExceeded, c.want)
			play(shareExceededFor/2, func(time.Duration) float64 { return 0.9 })
			is.Equal(m.Load().ShareExceeded, c.want)
			play(shareExceededFor, func(time.Duration) float64 { return 0.9 })
			is.Equal(m.Load().ShareExceeded, false)
		})
	}
}
