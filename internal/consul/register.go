// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package consul

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/member"
)

type registration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
}

// RegisterEntry adds an entry host to the host list.
func (c *Client) RegisterEntry(ctx context.Context, e member.Entry) error {
	return c.register(ctx, string(e.ID), entryService, e.PeerAddress, map[string]string{"zone": string(e.Zone)})
}

// RegisterUpstream adds an upstream to the host list. On the real platform the hosts register
// themselves; the stand-ins use this method.
func (c *Client) RegisterUpstream(ctx context.Context, u member.Upstream) error {
	return c.register(ctx, string(u.ID), upstreamService, u.Address, map[string]string{
		"zone": string(u.Zone), "pool": u.Pool, "kind": string(u.Kind), "leaving": strconv.FormatBool(u.Leaving),
	})
}

// Deregister removes a host from the host list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	_, err := c.call(ctx, request{operation: "deregister", method: http.MethodPut, path: "/v1/agent/service/deregister/" + id})
	return err
}

func (c *Client) register(ctx context.Context, id, name, address string, meta map[string]string) error {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return trace.Wrap(err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return trace.BadParameter("address %q has an invalid port %q", address, portText)
	}
	body, err := json.Marshal(registration{ID: id, Name: name, Address: host, Port: port, Meta: meta})
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.call(ctx, request{operation: "register", method: http.MethodPut, path: "/v1/agent/service/register", body: body})
	return err
}
