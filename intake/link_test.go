// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLongTransferCountsUpToItsShare guards against one transfer that takes what is left of a link and counts as load
// for all of it, and against many short ones that don't count.
func TestLongTransferCountsUpToItsShare(t *testing.T) {
	for name, c := range map[string]struct {
		// conns carry perSecond bytes each, and are opened again each second if short is set.
		conns     int
		perSecond int
		short     bool
		// least and most bound the load of the link.
		least, most float64
	}{
		"one transfer":         {1, 900_000, false, 0.01, 0.03},
		"four transfers":       {4, 225_000, false, 0.05, 0.08},
		"streams":              {60, 10_000, false, 0.55, 0.65},
		"many short transfers": {10, 60_000, true, 0.55, 0.65},
	} {
		t.Run(name, func(t *testing.T) {
			is, now := is.New(t), time.Now()
			m := Meter{Link: &Link{}, BytesPerSecond: 1_000_000}
			conns := make([]net.Conn, c.conns)
			const perLoad = int(loadInterval / sampleInterval)
			for n := range 600 {
				now = now.Add(sampleInterval)
				m.sample(now, 0)
				for i := range conns {
					if conns[i] == nil || c.short && n%40 == i {
						conns[i] = m.Link.CountUpstream(discardConn{})
					}
					if n%perLoad == i%perLoad {
						_, err := conns[i].Write(make([]byte, c.perSecond/10))
						is.NoErr(err)
					}
				}
			}
			if got := m.Load().LinkOut; got < c.least || got > c.most {
				t.Errorf("load %.3f, expected %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

// discardConn takes all that is written.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error) { return len(p), nil }

// TestLongTransferYields guards against long answers that fill a link which others need, and against ones that get
// nothing, or less than the others leave.
func TestLongTransferYields(t *testing.T) {
	for name, c := range map[string]struct {
		use, want float64
	}{"idle link": {0, 0.8}, "half in use": {0.5, 0.3}, "full link": {0.9, 0.05}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const bytesPerSecond = 1_000_000
				l := &Link{}
				l.grant(time.Now(), bytesPerSecond, loadInterval, c.use)
				answer := l.CountCaller(discardConn{})
				write := func(n int) {
					for range n / 10_000 {
						_, err := answer.Write(make([]byte, 10_000-headerBytes))
						is.NoErr(err)
					}
				}
				began := time.Now()
				write(elasticBurst)
				is.Equal(time.Since(began), time.Duration(0)) // an answer of usual length doesn't wait
				write(elasticBurst + 100_000)
				began = time.Now()
				write(500_000)
				got := 500_000 / time.Since(began).Seconds() / bytesPerSecond
				if got < 0.95*c.want || got > 1.05*c.want {
					t.Errorf("a long answer got %.3f of the link, want %.2f", got, c.want)
				}
			})
		})
	}
}

// TestWaitingWriteEnds guards against an abandoned answer that holds its connection until the link has room.
func TestWaitingWriteEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Link{}
		l.grant(time.Now(), 1000, loadInterval, 0)
		for _, end := range []func(c net.Conn) error{net.Conn.Close, func(c net.Conn) error { return c.SetWriteDeadline(time.Now()) }} {
			answer := l.CountCaller(closableConn{})
			ended := make(chan error, 1)
			go func() {
				var err error
				for err == nil {
					_, err = answer.Write(make([]byte, 100_000))
				}
				ended <- err
			}()
			time.Sleep(10 * time.Second)
			is.NoErr(end(answer))
			began := time.Now()
			is.True(<-ended != nil)
			is.True(time.Since(began) <= 2*writeCheckInterval)
		}
	})
}

// closableConn is a discardConn with deadlines.
type closableConn struct{ discardConn }

func (closableConn) Close() error                       { return nil }
func (closableConn) SetWriteDeadline(_ time.Time) error { return nil }

// TestLongTransfersGoOnOnceThereIsRoom guards against long answers that wait for as long as a full link had them wait,
// although it has room again, and against ones that wait for answers that were given up.
func TestLongTransfersGoOnOnceThereIsRoom(t *testing.T) {
	for name, abandoned := range map[string]bool{"all go on": false, "the others were given up": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const bytesPerSecond, others, size = 1_000_000, 40, 32 << 10
				l := &Link{}
				l.grant(time.Now(), bytesPerSecond, loadInterval, 0)
				var writing sync.WaitGroup
				transfer := func() net.Conn {
					c := l.CountCaller(closableConn{})
					writing.Go(func() {
						for err := error(nil); err == nil; {
							_, err = c.Write(make([]byte, size))
						}
					})
					return c
				}
				var conns []net.Conn
				for range others {
					conns = append(conns, transfer())
				}
				time.Sleep(20 * time.Second) // all are beyond what counts in full
				l.grant(time.Now(), bytesPerSecond, loadInterval, 1)
				time.Sleep(2 * time.Second)
				sent, _ := l.Callers.Bytes()
				l.grant(time.Now(), bytesPerSecond, loadInterval, 0)
				if abandoned {
					for _, c := range conns {
						is.NoErr(c.Close())
					}
					conns = []net.Conn{transfer()}
				}
				time.Sleep(2 * time.Second)
				now, _ := l.Callers.Bytes()
				for _, c := range conns {
					is.NoErr(c.Close())
				}
				writing.Wait()
				if got := float64(now-sent) / 2 / bytesPerSecond; got < 0.7 {
					t.Errorf("long answers got %.3f of the idle link, want 0.7 at least", got)
				}
			})
		})
	}
}
