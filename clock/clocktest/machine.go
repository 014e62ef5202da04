// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package clocktest simulates suspensions of a machine for tests.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shedpath/shedpath/clock"
)

// Machine is a simulated machine that can be suspended. Create it with NewMachine.
type Machine struct {
	bootedAt  time.Time
	suspended atomic.Int64
}

// NewMachine returns a machine that has just started.
func NewMachine(testing.TB) *Machine { return &Machine{bootedAt: time.Now()} }

// Suspend simulates a suspension of the given length. It returns at once: no time passes by the
// monotonic clock.
func (m *Machine) Suspend(d time.Duration) { m.suspended.Add(int64(d)) }

// SinceBoot returns the time since the machine started, suspensions included.
func (m *Machine) SinceBoot() time.Duration {
	return time.Since(m.bootedAt) + time.Duration(m.suspended.Load())
}

// Clock returns a Clock of the machine.
func (m *Machine) Clock() *clock.Clock { return clock.New(m.SinceBoot) }

// SuspensionDurations are the lengths of suspension with which the tests try every lease, proof,
// window and timeout.
var SuspensionDurations = []time.Duration{time.Second, 5 * time.Second, 30 * time.Second}
