// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shedpath/shedpath/member"
)

// fragileFleet simulates plain upstreams that fall over when they reject more than limit requests in a
// second.
type fragileFleet struct {
	slots, limit int
	// announces says that their answers announce the limit from the time from on. noRoomFrom is when
	// they stop letting requests wait, and begin to fall over.
	announces        bool
	from, noRoomFrom time.Duration

	mu        sync.Mutex
	upstreams map[member.UpstreamID]*fragileUpstream
	falls     int
	ran       map[RequestID]int
}

const (
	fragileCallDuration = 100 * time.Millisecond
	// fragileRoom is how many requests an upstream lets wait at first.
	fragileRoom = 12
	// fragileDownTime is how long an upstream is away after a fall.
	fragileDownTime = 4 * time.Second
)

type fragileUpstream struct {
	inside     int
	working    chan struct{}
	rejectedAt []time.Duration
	// downUntil is when the upstream is back; fell is closed when it falls.
	downUntil time.Duration
	fell      chan struct{}
}

func (f *fragileFleet) at(id member.UpstreamID) *fragileUpstream {
	u := f.upstreams[id]
	if u == nil {
		u = &fragileUpstream{working: make(chan struct{}, f.slots), fell: make(chan struct{})}
		f.upstreams[id] = u
	}
	return u
}

// arrive returns the upstream if the request is let in, and whether the upstream is there at all.
func (f *fragileFleet) arrive(now time.Duration, id member.UpstreamID) (u *fragileUpstream, in, there bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u = f.at(id)
	if now < u.downUntil {
		return u, false, false
	}
	room := fragileRoom
	if now >= f.noRoomFrom {
		room = 0
	}
	if u.inside < f.slots+room {
		u.inside++
		return u, true, true
	}
	u.rejectedAt = append(u.rejectedAt, now)
	for now-u.rejectedAt[0] >= time.Second {
		u.rejectedAt = u.rejectedAt[1:]
	}
	if now >= f.noRoomFrom && len(u.rejectedAt) > f.limit {
		f.falls++
		close(u.fell)
		*u = fragileUpstream{working: make(chan struct{}, f.slots), fell: make(chan struct{}), downUntil: now + fragileDownTime}
		return u, false, false
	}
	return u, false, true
}

type fragileTransport struct {
	signalTransport
	fragile *fragileFleet
}

func (t fragileTransport) Send(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	f := t.fragile
	to, in, there := f.arrive(t.elapsed(), u.ID)
	if !there {
		return nil, ErrNotSent
	}
	signals := Signals{RejectionLimit: AnnouncedRejectionLimit{Announced: f.announces && t.elapsed() >= f.from, PerSecond: f.limit}}
	if !in {
		time.Sleep(2 * time.Millisecond)
		return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Framed: true, NotRun: true, Body: http.NoBody, Signals: signals}, nil
	}
	f.mu.Lock()
	working, fell := to.working, to.fell
	f.mu.Unlock()
	select {
	case working <- struct{}{}:
	case <-fell:
		return nil, io.ErrUnexpectedEOF
	}
	f.mu.Lock()
	f.ran[out.Call.ID]++
	f.mu.Unlock()
	select {
	case <-time.After(fragileCallDuration):
	case <-fell:
		return nil, io.ErrUnexpectedEOF
	}
	<-working
	f.mu.Lock()
	if to.fell == fell {
		to.inside--
	}
	f.mu.Unlock()
	a := answer(http.StatusOK, "fine")
	a.Signals = signals
	return a, nil
}

// TestUpstreamsThatAnnounceRejectionLimitsStayUp guards against upstreams that fall over because
// hosts have them reject more requests than they announced to withstand.
func TestUpstreamsThatAnnounceRejectionLimitsStayUp(t *testing.T) {
	const from, noRoomFrom, lasts = 5 * time.Second, 8 * time.Second, 13 * time.Second
	for name, c := range map[string]struct {
		zones, hostsPerZone, upstreams, limit int
		// load is the rate of the requests relative to what all upstreams can serve.
		load      float64
		announces bool
		// served is the least part of what they can serve that is to be served.
		served float64
	}{
		"not announced":               {3, 3, 3, 20, 1.5, false, 0},
		"nine hosts":                  {3, 3, 3, 20, 1.5, true, 0.85},
		"nine hosts, twice the load":  {3, 3, 3, 20, 2.5, true, 0.85},
		"fewer rejections than hosts": {3, 3, 3, 2, 1.5, true, 0.75},
		"none may be rejected":        {3, 3, 3, 0, 1.5, true, 0.6},
		"two upstreams":               {1, 3, 2, 8, 1.5, true, 0.85},
		"nine upstreams":              {3, 3, 9, 8, 1.5, true, 0.85},
		"the load is bearable":        {3, 3, 3, 20, 0.6, true, 0.57},
		"more hosts than slots":       {3, 12, 3, 6, 1.5, true, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fragileFleet{
				slots: 6, limit: c.limit, announces: c.announces, from: from, noRoomFrom: noRoomFrom,
				upstreams: map[member.UpstreamID]*fragileUpstream{}, ran: map[RequestID]int{},
			}
			capacity := float64(c.upstreams*f.slots) / fragileCallDuration.Seconds()
			d := signalDay{
				zones: c.zones, hostsPerZone: c.hostsPerZone, upstreams: c.upstreams, path: "/order/", duration: lasts, requestsPerSecond: c.load * capacity,
				transport: func(t signalTransport) Transport { return fragileTransport{t, f} },
			}
			d.play(t, *signalSeedFlag, func(t *testing.T, fleet *signalFleet, tally *signalTally) {
				served := float64(tally.served) / (capacity * (lasts - siteSettleTime/2).Seconds())
				t.Logf("%d falls, served %.2f of the capacity; %v", f.falls, served, tally)
				allowed := 2 + c.upstreams/10
				if !c.announces {
					if f.falls <= allowed {
						t.Errorf("%d falls without announcements: the load proves nothing", f.falls)
					}
					return
				}
				if f.falls > allowed {
					t.Errorf("upstreams fell over %d times, expected at most %d", f.falls, allowed)
				}
				if served < c.served {
					t.Errorf("served %.2f of the capacity, expected %.2f", served, c.served)
				}
				for id, n := range f.ran {
					if n > 1 {
						t.Errorf("request %s ran %d times", id, n)
					}
				}
				if tally.slowest > d.maxRefusalTime() {
					t.Errorf("refusals took up to %v (at most %v allowed)", tally.slowest, d.maxRefusalTime())
				}
			})
		})
	}
}
