// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package eligibility decides whether a host may send something to an upstream now, and if
// not, why and until when. Every way of sending asks it. It is pure: no I/O, no goroutine,
// and no clock.
package eligibility
