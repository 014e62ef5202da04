// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package rejection bounds how many requests upstreams have to reject for lack of room. Upstreams may
// announce how many rejections a second they withstand; above that they fall over. Nobody knows how
// many requests they let wait, so each host keeps to an equal part of what an upstream can take: the
// requests that it has there and the rejections of the last second together. Hosts lend each other the
// places that they don't need.
//
// The package is pure: it does no I/O, starts no goroutine and reads no clock.
package rejection
