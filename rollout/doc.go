// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package rollout moves a service's traffic to upstreams of a target version, and back if that
// version does worse than the versions in service.
//
// Every host limits on its own how many of its requests go to a version on trial, so that the
// limit on all hosts together holds even if hosts are partitioned or restart. One host at a time
// collects the observations of all hosts and decides on the next phase. The package is pure: it
// does no I/O, starts no goroutine and reads no clock.
package rollout
