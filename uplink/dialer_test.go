// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package uplink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// way is how attempts over one way end.
type way struct {
	// after is how long they take; err is how they end, nil for a connection.
	after time.Duration
	err   error
	// panics has the attempt panic after that time.
	panics bool
}

var (
	up      = way{after: time.Millisecond}
	hangs   = way{after: time.Hour}
	refuses = way{after: time.Millisecond, err: syscall.ECONNREFUSED}
	panics  = way{after: time.Millisecond, panics: true}
)

// fakeNetwork has ways that the tests change.
type fakeNetwork struct {
	mu     sync.Mutex
	direct way
	// peers are asked in this order; ways are theirs.
	peers []member.Entry
	ways  map[member.HostID]way
	// dials counts the attempts by host; the own link's have no ID.
	dials map[member.HostID]int
	// open counts the connections that aren't closed.
	open int
}

func (n *fakeNetwork) attempt(ctx context.Context, host member.HostID, w way) (net.Conn, error) {
	n.mu.Lock()
	n.dials[host]++
	n.mu.Unlock()
	select {
	case <-time.After(w.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if w.panics {
		panic("a mistake")
	}
	if w.err != nil {
		return nil, w.err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open++
	return &fakeConn{network: n}, nil
}

func (n *fakeNetwork) DialDirect(ctx context.Context, _ Target) (net.Conn, error) {
	n.mu.Lock()
	w := n.direct
	n.mu.Unlock()
	return n.attempt(ctx, "", w)
}

func (n *fakeNetwork) Peers(Target) []member.Entry { return n.peers }

func (n *fakeNetwork) DialThrough(ctx context.Context, p member.Entry, _ Target) (net.Conn, error) {
	n.mu.Lock()
	w := n.ways[p.ID]
	n.mu.Unlock()
	return n.attempt(ctx, p.ID, w)
}

func (n *fakeNetwork) set(direct way) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct = direct
}

type fakeConn struct {
	net.Conn
	network *fakeNetwork
}

func (c *fakeConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.open--
	return nil
}

// recorder keeps what a Dialer finds.
type recorder struct {
	outcomes map[Outcome]int
	rerouted int
	changes  []Change
}

func (r *recorder) Connected(o Outcome)                   { r.outcomes[o]++ }
func (r *recorder) Rerouted(Target, member.HostID, error) { r.rerouted++ }
func (r *recorder) LinksChanged(c Change)                 { r.changes = append(r.changes, c) }

func newFakeDialer(direct way, peers ...way) (*Dialer, *fakeNetwork, *recorder) {
	n := &fakeNetwork{direct: direct, ways: map[member.HostID]way{}, dials: map[member.HostID]int{}}
	for i, w := range peers {
		id := member.HostID([]string{"p1", "p2", "p3", "p4", "p5", "p6"}[i])
		n.peers = append(n.peers, member.Entry{ID: id})
		n.ways[id] = w
	}
	r := &recorder{outcomes: map[Outcome]int{}}
	return &Dialer{Network: n, Observer: r, Now: time.Now}, n, r
}

// TestDial checks which way a connection takes, how long it takes, and what it leaves open.
func TestDial(t *testing.T) {
	failed, closed := way{after: time.Millisecond, err: ErrUnreachable}, way{after: time.Millisecond, err: ErrPortClosed}
	for name, c := range map[string]struct {
		direct way
		peers  []way
		// want is the peer of the connection; noWay expects none.
		want   member.HostID
		noWay  bool
		within time.Duration
		// asked is how many peers are asked.
		asked int
	}{
		"the own link works":          {up, []way{up}, "", false, time.Millisecond, 0},
		"it is slow, but first":       {way{after: 40 * time.Millisecond}, []way{up}, "", false, 40 * time.Millisecond, 0},
		"it hangs":                    {hangs, []way{up}, "p1", false, headStart + time.Millisecond, 1},
		"it refuses":                  {refuses, []way{up}, "p1", false, 2 * time.Millisecond, 1},
		"the first peer hangs, too":   {hangs, []way{hangs, up}, "p2", false, 2*headStart + time.Millisecond, 2},
		"the first peer fails":        {refuses, []way{failed, up}, "p2", false, 3 * time.Millisecond, 2},
		"three peers hang":            {hangs, []way{hangs, hangs, hangs, up}, "p4", false, 4*headStart + time.Millisecond, 4},
		"nothing answers":             {hangs, []way{hangs, hangs}, "", true, dialTimeout, 2},
		"all refuse":                  {refuses, []way{failed, failed}, "", true, 3 * time.Millisecond, 2},
		"no peers, refused":           {refuses, nil, "", true, time.Millisecond, 0},
		"no peers, hangs":             {hangs, nil, "", true, dialTimeout, 0},
		"no more than the most peers": {refuses, []way{closed, closed, closed, closed, up}, "", true, 5 * time.Millisecond, maxPeers},
		"the own link panics":         {panics, []way{up}, "p1", false, 2 * time.Millisecond, 1},
		"a peer panics":               {refuses, []way{panics, up}, "p2", false, 3 * time.Millisecond, 2},
		"more, where peers are cut":   {refuses, []way{failed, failed, failed, failed, up}, "p5", false, 6 * time.Millisecond, 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d, n, _ := newFakeDialer(c.direct, c.peers...)
				began := time.Now()
				conn, err := d.Dial(t.Context(), Target{ID: "u", Service: "s"})
				is.Equal(time.Since(began), c.within)
				var dialError *DialError
				is.Equal(errors.As(err, &dialError), c.noWay)
				d.Wait()
				asked := 0
				for id, count := range n.dials {
					if id != "" {
						asked += count
					}
				}
				is.Equal(asked, c.asked)
				if c.noWay {
					is.Equal(n.open, 0)
					return
				}
				is.Equal(conn.Peer, c.want)
				is.Equal(n.open, 1)
			})
		})
	}
}

// TestDialEndsWithCaller guards against attempts that go on after the caller has left.
func TestDialEndsWithCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, _ := newFakeDialer(hangs, hangs)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := d.Dial(ctx, Target{ID: "u", Service: "s"})
		is.True(errors.Is(err, context.DeadlineExceeded))
		d.Wait()
		is.Equal(time.Since(began), 10*time.Millisecond)
		// The caller's end says nothing about the upstream.
		is.Equal(d.paths.Plan(time.Now(), Target{ID: "u", Service: "s"}), Plan{Direct: true})
	})
}

// TestCutOffHostGoesThroughPeersAtOnce checks that a host which lost its links waits for them no
// longer, tries them about once a second, and uses them again as soon as they are back.
func TestCutOffHostGoesThroughPeersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, n, r := newFakeDialer(hangs, up)
		dial := func(id member.UpstreamID) time.Duration {
			began := time.Now()
			conn, err := d.Dial(t.Context(), Target{ID: id, Service: "s"})
			is.NoErr(err)
			is.NoErr(conn.Close())
			return time.Since(began)
		}
		is.Equal(dial("u1"), headStart+time.Millisecond)
		is.Equal(dial("u1"), time.Millisecond)
		is.Equal(dial("u2"), headStart+time.Millisecond)
		is.Equal(len(r.changes), 1)
		is.True(r.changes[0].CutOff)
		is.Equal(d.CutOff(), []ServiceName{"s"})
		// What two upstreams showed goes for a third.
		is.Equal(dial("u3"), time.Millisecond)
		d.Wait()
		before, cutUntil := n.dials[""], time.Now().Add(10*time.Second)
		for time.Now().Before(cutUntil) {
			for _, id := range []member.UpstreamID{"u1", "u2", "u3"} {
				is.True(dial(id) <= time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
		}
		perUpstream := float64(n.dials[""]-before) / 3 / 10
		is.True(perUpstream > 0.8 && perUpstream <= 1.0)
		n.set(up)
		time.Sleep(retryDelay)
		n.ways["p1"] = way{after: 4 * time.Millisecond}
		is.Equal(dial("u1"), time.Millisecond)
		d.Wait()
		is.Equal(len(r.changes), 2)
		is.True(!r.changes[1].CutOff)
		is.Equal(len(d.CutOff()), 0)
		asked := n.dials["p1"]
		for range 100 {
			dial("u1")
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(n.dials["p1"], asked)
		is.Equal(n.open, 0)
	})
}

// TestSilentUpstreamCutsNoHostOff guards against a host that takes an upstream's silence, or its end,
// for a fault of its own links.
func TestSilentUpstreamCutsNoHostOff(t *testing.T) {
	for name, w := range map[string]way{"silent": hangs, "ended": {after: time.Millisecond, err: ErrPortClosed}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				direct := hangs
				if w.err != nil {
					direct = refuses
				}
				d, n, r := newFakeDialer(direct, w)
				for _, id := range []member.UpstreamID{"u1", "u2", "u3"} {
					_, err := d.Dial(t.Context(), Target{ID: id, Service: "s"})
					var failed *DialError
					is.True(errors.As(err, &failed))
					is.Equal(PortClosed(err), w.err != nil)
				}
				is.Equal(len(r.changes), 0)
				time.Sleep(time.Second)
				n.set(up)
				began := time.Now()
				_, err := d.Dial(t.Context(), Target{ID: "u1", Service: "s"})
				is.NoErr(err)
				is.Equal(time.Since(began), time.Millisecond)
			})
		})
	}
}

// TestSlowLinkIsNotBroken guards against a host that goes on through peers because its own link was
// slow once.
func TestSlowLinkIsNotBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, n, _ := newFakeDialer(way{after: 80 * time.Millisecond}, up)
		conn, err := d.Dial(t.Context(), Target{ID: "u", Service: "s"})
		is.NoErr(err)
		is.Equal(conn.Peer, member.HostID("p1"))
		d.Wait()
		is.Equal(n.open, 1) // the late connection is closed
		n.set(up)
		again, err := d.Dial(t.Context(), Target{ID: "u", Service: "s"})
		is.NoErr(err)
		is.Equal(again.Peer, member.HostID(""))
	})
}

// TestUnreachableUpstreamFailsAtOnce guards against each request paying for the attempts to reach an
// upstream that was just found unreachable.
func TestUnreachableUpstreamFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, n, r := newFakeDialer(hangs, hangs)
		began := time.Now()
		for time.Since(began) < 10*time.Second {
			_, err := d.Dial(t.Context(), Target{ID: "u", Service: "s"})
			is.True(err != nil)
			time.Sleep(20 * time.Millisecond)
		}
		is.True(r.outcomes[NotReached] <= 12)
		is.True(r.outcomes[Skipped] > 200)
		n.set(up)
		time.Sleep(unreachableDelay)
		conn, err := d.Dial(t.Context(), Target{ID: "u", Service: "s"})
		is.NoErr(err)
		is.Equal(conn.Peer, member.HostID(""))
	})
}

// TestCutOffCarrierRefuses checks that a host which is cut off refuses to connect for a peer, and asks
// no other one.
func TestCutOffCarrierRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, n, _ := newFakeDialer(hangs, up)
		_, err := d.Dial(t.Context(), Target{ID: "u", Service: "s"})
		is.NoErr(err)
		d.Wait()
		asked := n.dials["p1"]
		c := newCarrier(d)
		began := time.Now()
		_, err = c.Connect(t.Context(), "h", Target{ID: "u", Service: "s"})
		is.True(errors.Is(err, ErrUnreachable))
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(n.dials["p1"], asked)
		is.Equal(c.Active(), 0)
	})
}

func newCarrier(d *Dialer) *Carrier {
	return &Carrier{Dialer: d, Authorize: func(t Target) (Target, error) { return t, nil }, Carried: func(member.HostID, Target, error) {}}
}

// TestFewHostsLeft guards against first tries that fail where all but one of many hosts are cut off.
func TestFewHostsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, n, _ := newFakeDialer(hangs)
		cutOff := way{after: time.Millisecond, err: ErrUnreachable}
		for i := range 24 {
			id := member.HostID(fmt.Sprint("h", i))
			n.peers, n.ways[id] = append(n.peers, member.Entry{ID: id}), cutOff
		}
		n.ways["h15"] = up
		for range 500 {
			began := time.Now()
			conn, err := d.Dial(t.Context(), Target{ID: "u", Service: "s"})
			is.NoErr(err)
			is.Equal(conn.Peer, member.HostID("h15"))
			is.True(time.Since(began) <= headStart+maxAsked*time.Millisecond)
			is.NoErr(conn.Close())
			time.Sleep(20 * time.Millisecond)
		}
		d.Wait()
		is.True(n.dials["h0"] < 510) // one more peer is asked each time
	})
}

// TestCarrierStops guards against a stopping host that ends the connections it carries, or takes new
// ones.
func TestCarrierStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, _ := newFakeDialer(up)
		c := newCarrier(d)
		conn, err := c.Connect(t.Context(), "h", Target{ID: "u", Service: "s"})
		is.NoErr(err)
		began := time.Now()
		time.AfterFunc(time.Second, func() {
			_, err := c.Connect(t.Context(), "h", Target{ID: "u", Service: "s"})
			is.True(errors.Is(err, ErrBusy))
			is.NoErr(conn.Close())
			is.NoErr(conn.Close()) // a second Close releases nothing
		})
		c.Stop(t.Context())
		is.Equal(time.Since(began), time.Second)
		is.Equal(c.Active(), 0)
	})
}

// TestCarrierIsBounded checks that a host carries a bounded number of connections.
func TestCarrierIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, _ := newFakeDialer(up)
		c := newCarrier(d)
		for range maxCarried {
			_, err := c.Connect(t.Context(), "h", Target{ID: "u", Service: "s"})
			is.NoErr(err)
		}
		_, err := c.Connect(t.Context(), "h", Target{ID: "u", Service: "s"})
		is.True(errors.Is(err, ErrBusy))
	})
}
