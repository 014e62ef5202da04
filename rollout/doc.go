// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package rollout moves a service's traffic to upstreams of another version, and back if that
// version does worse than the one in service.
//
// Every host bounds by itself how many of its requests go to a version on trial, so that the
// bound on all of them holds whichever hosts are cut off or start again. One host at a time
// collects what all have seen of both versions and decides what comes next. The package is pure:
// no I/O, no goroutine, and no clock.
package rollout
