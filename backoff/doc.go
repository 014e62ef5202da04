// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package backoff records how long this host must not send requests to upstreams.
//
// An upstream that rejects a request may say how long the host should wait before it sends
// another one. The package is pure: it does no I/O, starts no goroutines and takes the current
// time as an argument.
package backoff
