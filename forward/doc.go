// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package forward passes callers' requests on to upstreams unchanged: plain
// calls and streams of events whose content it doesn't know.
//
// It decides which upstream takes a request, what is refused, what is sent
// again, and where a running stream goes on when its engine leaves. It declares
// the interfaces that it needs and does no I/O of its own; the adapters speak
// to callers, upstreams and the platform. Everything it knows is soft: a host
// that starts empty is right again once its source has given it the
// configuration and the list of upstreams, and its peers their runs.
package forward
