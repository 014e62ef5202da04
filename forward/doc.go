// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package forward passes clients' requests on to upstreams unchanged: plain calls, and streams of
// events whose content it doesn't interpret.
//
// It selects the upstream for a request, refuses requests, retries them, and decides where a
// running stream resumes when its engine leaves. It declares the interfaces that it needs and
// does no I/O of its own; adapters talk to clients, upstreams and the platform. It holds no
// durable state: a host that starts empty is up to date once its source has provided the
// configuration and the list of upstreams, and its peers their runs.
package forward
