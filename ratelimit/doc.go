// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package ratelimit keeps to the rates at which upstreams accept requests from all hosts
// together.
//
// An upstream may name such a limit, in requests per second, in its answers. Each answer
// reaches only one host. The package
//   - keeps the newest limit of each upstream, learned from an answer or from a peer (Limits),
//     and raises the rate in steps once the limit ends,
//   - lets one host decide for all which requests may be sent (Granter),
//   - lets a host without contact to that one send in turns of its own (TurnSchedule).
//
// It is pure: it does no I/O, starts no goroutines and gets the current time as an argument.
package ratelimit
