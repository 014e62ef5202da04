// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package consul

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/member"
	standin "github.com/shedpath/shedpath/standin/platform"
)

func newTestClient(t *testing.T, opts ...standin.Option) (*Client, *standin.Server) {
	t.Helper()
	service := standin.New(opts...)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	// The budget is too large to matter here; budgets have their own tests.
	return New(server.URL, WithBudget(NewBudget(1e6, 1e6))), service
}

func TestSwapAndDelete(t *testing.T) {
	is := is.New(t)
	c, _ := newTestClient(t)
	ctx := t.Context()
	item, err := c.Get(ctx, "k")
	is.NoErr(err)
	is.True(!item.Found())
	done, err := c.Swap(ctx, "k", []byte("1"), 0)
	is.NoErr(err)
	is.True(done)
	done, err = c.Swap(ctx, "k", []byte("2"), 0)
	is.NoErr(err)
	is.True(!done) // the key exists already
	item, err = c.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(item.Value), "1")
	done, err = c.Swap(ctx, "k", []byte("3"), item.Version)
	is.NoErr(err)
	is.True(done)
	done, err = c.Delete(ctx, "k", item.Version)
	is.NoErr(err)
	is.True(!done) // the key has changed since
	item, err = c.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(item.Value), "3")
	done, err = c.Delete(ctx, "k", item.Version)
	is.NoErr(err)
	is.True(done)
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	c, service := newTestClient(t)
	ctx := t.Context()
	item, err := c.Get(ctx, "k")
	is.NoErr(err)
	seen := make(chan entry.Item)
	go func() {
		got, err := c.Watch(ctx, "k", max(item.Index, 1), time.Minute)
		if err != nil {
			t.Error(err)
		}
		seen <- got
	}()
	_, err = c.Swap(ctx, "other", []byte("x"), 0)
	is.NoErr(err)
	_, err = c.Swap(ctx, "k", []byte("1"), 0)
	is.NoErr(err)
	is.Equal(string((<-seen).Value), "1")
	before := service.Counts().Reads
	got, err := c.Watch(ctx, "never", 1<<40, time.Millisecond)
	is.NoErr(err)
	is.True(!got.Found())
	is.Equal(service.Counts().Reads-before, int64(1)) // a waiting watch is one call
}

func TestLeases(t *testing.T) {
	is := is.New(t)
	c, _ := newTestClient(t)
	ctx := t.Context()
	first, err := c.Acquire(ctx, "l", "a", time.Minute)
	is.NoErr(err)
	is.True(first.Token > 0)
	second, err := c.Acquire(ctx, "l", "b", time.Minute)
	is.NoErr(err)
	is.Equal(second.Token, uint64(0)) // another session holds it
	is.NoErr(c.Renew(ctx, first))
	is.NoErr(c.Release(ctx, first))
	is.True(c.Renew(ctx, first) != nil)
	third, err := c.Acquire(ctx, "l", "b", time.Minute)
	is.NoErr(err)
	is.True(third.Token > first.Token) // tokens rise
	lapsing, err := c.Acquire(ctx, "m", "a", time.Nanosecond)
	is.NoErr(err)
	is.Equal(lapsing.Token, uint64(0)) // it expired before the token was read
}

func TestHosts(t *testing.T) {
	is := is.New(t)
	c, service := newTestClient(t)
	ctx := t.Context()
	e := member.Entry{ID: "e1", Zone: "az1", PeerAddress: "10.0.0.1:1"}
	u := member.Upstream{ID: "g1", Zone: "az2", Address: "10.0.0.2:2", Pool: "desk", Kind: member.KindEngine, Leaving: true}
	is.NoErr(c.RegisterEntry(ctx, e))
	is.NoErr(c.RegisterUpstream(ctx, u))
	list, err := c.Hosts(ctx)
	is.NoErr(err)
	is.Equal(list, member.HostList{Entries: []member.Entry{e}, Upstreams: []member.Upstream{u}})
	service.SetFaults(standin.Faults{ListLagMillis: 3_600_000})
	list, err = c.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(list.Entries), 0) // the list lags by an hour
}

// TestFaults checks which faults of the service are reported as certainly not sent, and which
// leave it open whether the write took effect.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults  standin.Faults
		options []standin.Option
		notSent bool
		// written is whether the write took effect.
		written bool
	}{
		"outage":      {faults: standin.Faults{Outage: true}},
		"lost answer": {faults: standin.Faults{DropResponses: 1}, written: true},
		"over rate":   {options: []standin.Option{standin.WithRates(1e-9, 1e9)}, notSent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, service := newTestClient(t, c.options...)
			if c.options != nil {
				_, err := client.Swap(t.Context(), "first", nil, 0) // uses the burst up
				is.NoErr(err)
			}
			service.SetFaults(c.faults)
			_, err := client.Swap(t.Context(), "k", []byte("1"), 0)
			is.True(err != nil)
			is.Equal(errors.Is(err, entry.ErrNotSent), c.notSent)
			service.SetFaults(standin.Faults{})
			item, err := client.Get(t.Context(), "k")
			is.NoErr(err)
			is.Equal(item.Found(), c.written)
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		is := is.New(t)
		client := New("http://127.0.0.1:1")
		_, err := client.Swap(t.Context(), "k", nil, 0)
		is.True(errors.Is(err, entry.ErrNotSent))
	})
	t.Run("caller gone", func(t *testing.T) {
		is := is.New(t)
		client, _ := newTestClient(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := client.Get(ctx, "k")
		is.True(err != nil)
	})
}

func TestBudgetRanks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := NewBudget(100, 2000)
	count := func(class Priority) (n int) {
		for b.allowWrite(now, class) {
			n++
		}
		return n
	}
	status, claims, configuration := count(StatusCalls), count(ClaimCalls), count(ConfigurationCalls)
	is.True(status > 0)
	is.True(claims > 0)        // reserved from status calls
	is.True(configuration > 0) // reserved from claim calls
	total := status + claims + configuration
	is.Equal(total, int(100*usedFraction*burstSeconds))
}

func TestBudgetIsShared(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100, 2000)
	b.SetDaemons(340)
	start := time.Now()
	calls := 0
	// One daemon calls as often as it may for a minute.
	for ms := range 60_000 {
		if b.allowWrite(start.Add(time.Duration(ms)*time.Millisecond), ConfigurationCalls) {
			calls++
		}
	}
	share := 100 * usedFraction / 340 * 60
	is.True(float64(calls) <= share+100*usedFraction*burstSeconds+minBurst)
}

func TestBreaker(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := breaker{random: func() float64 { return 1 }}
	for range failuresToOpen - 1 {
		b.recordOutcome(now, false)
	}
	is.True(b.allow(now))
	b.recordOutcome(now, false)
	is.True(!b.allow(now))
	now = now.Add(minBackoff)
	is.True(b.allow(now))  // one trial call
	is.True(!b.allow(now)) // but no second one at the same time
	for range 20 {
		b.recordOutcome(now, false)
	}
	is.True(!b.allow(now.Add(maxBackoff - 1)))
	is.True(b.allow(now.Add(maxBackoff)))
	b.recordOutcome(now, true)
	is.True(b.allow(now))
}

// TestTokenRisesAfterRestore checks that the lease holder after a restore fences the earlier
// one, although the restored service counts from a lower number.
func TestTokenRisesAfterRestore(t *testing.T) {
	is := is.New(t)
	client, server := newTestClient(t)
	copied := server.Snapshot()
	first, err := client.Acquire(t.Context(), "k", "e1", time.Minute)
	is.NoErr(err)
	server.Restore(copied)
	second, err := client.Acquire(t.Context(), "k", "e2", time.Minute)
	is.NoErr(err)
	is.True(second.Token > first.Token)
	is.True(client.Renew(t.Context(), first) != nil) // its session is lost as well
}

// TestWatchEndsAfterRestore checks that a watch from an index that the restored copy lacks ends,
// and reports the new era.
func TestWatchEndsAfterRestore(t *testing.T) {
	is := is.New(t)
	client, server := newTestClient(t)
	_, err := client.Swap(t.Context(), "copied", []byte("v"), 0)
	is.NoErr(err)
	copied := server.Snapshot()
	_, err = client.Swap(t.Context(), "k", []byte("v"), 0)
	is.NoErr(err)
	before, err := client.Get(t.Context(), "other")
	is.NoErr(err)
	server.Restore(copied)
	item, err := client.Watch(t.Context(), "k", before.Index, time.Minute)
	is.NoErr(err)
	is.True(!item.Found())
	is.Equal(item.Era, before.Era+1)
}

// TestUnusableRegistrationHidesNoOther checks that a registration which can't be used is left out and reported.
func TestUnusableRegistrationHidesNoOther(t *testing.T) {
	const good = `{"ServiceID":"g1","ServiceAddress":"10.0.0.2","ServicePort":2,"ServiceMeta":{"zone":"az2"}}`
	for name, bad := range map[string]string{
		"port 0":            `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":0}`,
		"port -1":           `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":-1}`,
		"port 65536":        `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":65536}`,
		"port 99999":        `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":99999}`,
		"port 1e400":        `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":1e400}`,
		"port of 30 digits": `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":` + strings.Repeat("9", 30) + `}`,
		"port a text":       `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":"80"}`,
		"id a number":       `{"ServiceID":7,"ServiceAddress":"10.0.0.3","ServicePort":80}`,
		"id empty":          `{"ServiceID":"","ServiceAddress":"10.0.0.3","ServicePort":80}`,
		"no address":        `{"ServiceID":"x","ServicePort":80}`,
		"meta a list":       `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":80,"ServiceMeta":[1]}`,
		"meta a number":     `{"ServiceID":"x","ServiceAddress":"10.0.0.3","ServicePort":80,"ServiceMeta":{"zone":1e400}}`,
		"a number":          `7`,
		"nothing":           `null`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("[" + bad + "," + good + "," + bad + "]"))
			}))
			defer server.Close()
			unusable := 0
			list, err := New(server.URL, WithObserver(func(_, outcome string) {
				if outcome == "unusable" {
					unusable++
				}
			})).Hosts(t.Context())
			is.NoErr(err)
			is.Equal(len(list.Entries), 1)
			is.Equal(list.Upstreams, []member.Upstream{{ID: "g1", Zone: "az2", Address: "10.0.0.2:2"}})
			is.True(list.Unusable != nil)
			is.Equal(unusable, 1)
		})
	}
}
