// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package backoff keeps until when upstreams want no requests from this host.
//
// An upstream that turns a request away may say for how long to stay away. It is pure: no
// I/O, no goroutine, and the present time is an argument.
package backoff
