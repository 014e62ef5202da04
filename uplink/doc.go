// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package uplink connects a host to upstreams. A host whose own link to an upstream is broken
// connects through a peer that reaches it: the peer passes the bytes on, and this host still decides
// everything about the request.
package uplink
