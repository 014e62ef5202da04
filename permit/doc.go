// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package permit obtains permits to send to upstreams that accept only a limited number of
// requests per second from all hosts together: those that name a limit, and cold ones.
//
// For each upstream one host, the granting host, grants the permits: the first, by rank, of the
// hosts in the upstream's zone, because a host that reaches an upstream usually reaches the hosts
// of its zone, too. Every host requests a permit from it just before it sends anything to the
// upstream. A host that can't reach the granting host may send a small share of the limit on its
// own, one request per turn.
//
// Package ratelimit does the counting.
package permit
