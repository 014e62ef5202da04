// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package consul

import (
	"testing"
	"time"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/golden"
	"github.com/shedpath/shedpath/member"
)

// TestGoldenCalls pins the calls to the platform's service, and how its answers are read.
func TestGoldenCalls(t *testing.T) {
	b := golden.Open(t, "calls")
	server := golden.Serve(t, map[string]string{"X-Consul-Index": "5", "Store-Era": "6"})
	c, ctx := New("http://"+server.Address), t.Context()
	check := func(name string, err error, got, want any) {
		t.Helper()
		if err != nil {
			t.Error(err)
		}
		b.Text(name, server.Calls())
		golden.Equal(t, name, got, want)
	}
	server.Answer = `[{"Key":"k","Value":"dmFsdWU=","ModifyIndex":7,"LockIndex":8,"Session":"s"}]`
	item := entry.Item{Value: []byte("value"), Version: 7, Index: 5, Era: 6}
	got, err := c.Get(ctx, "key-1")
	check("get", err, got, item)
	got, err = c.Watch(ctx, "key-1", 9, 1500*time.Millisecond)
	check("watch", err, got, item)
	server.Answer = "true"
	done, err := c.Swap(ctx, "key-1", []byte("value"), 10)
	check("swap", err, done, true)
	done, err = c.Delete(ctx, "key-1", 11)
	check("delete", err, done, true)
	server.Answer, server.Then = `{"ID":"session-1"}`, []string{"true", `[{"LockIndex":12,"Session":"session-1"}]`}
	lease, err := c.Acquire(ctx, "key-1", "holder-1", 2500*time.Millisecond)
	check("acquire", err, lease, entry.Lease{Key: "key-1", Session: "session-1", Token: 6<<40 | 12, TTL: 2500 * time.Millisecond})
	check("renew", c.Renew(ctx, lease), nil, nil)
	check("release", c.Release(ctx, lease), nil, nil)
	check("register an entry", c.RegisterEntry(ctx, member.Entry{ID: "host-1", Zone: "zone-1", PeerAddress: "10.0.0.1:81", Capacity: 2}), nil, nil)
	upstream := member.Upstream{ID: "upstream-1", Zone: "zone-2", Address: "10.0.0.2:82", Pool: "pool-1", Kind: member.KindEngine, Leaving: true}
	check("register an engine", c.RegisterUpstream(ctx, upstream), nil, nil)
	upstream.Kind, upstream.Leaving = member.KindService, false
	check("register a service", c.RegisterUpstream(ctx, upstream), nil, nil)
	check("deregister", c.Deregister(ctx, "host-1"), nil, nil)
	server.Answer = `[{"ServiceID":"i","ServiceAddress":"10.0.0.3","ServicePort":83,"ServiceMeta":{"zone":"z","pool":"p","kind":"service","leaving":"true"}}]`
	hosts, err := c.Hosts(ctx)
	check("hosts", err, hosts, member.HostList{
		Entries:   []member.Entry{{ID: "i", Zone: "z", PeerAddress: "10.0.0.3:83"}},
		Upstreams: []member.Upstream{{ID: "i", Zone: "z", Address: "10.0.0.3:83", Pool: "p", Kind: member.KindService, Leaving: true}},
	})
}
