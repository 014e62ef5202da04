// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package eligibility decides whether a host may send something to an upstream now, and if
// not, why not and how long to wait. Everything that is sent to an upstream is checked here
// first. The package is pure: it does no I/O, starts no goroutine and reads no clock.
package eligibility
