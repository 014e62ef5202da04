// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package clocktest plays machines that are suspended, for tests.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shedpath/shedpath/clock"
)

// Machine can be suspended. Use NewMachine.
type Machine struct {
	bootedAt  time.Time
	suspended atomic.Int64
}

// NewMachine returns a machine that has just started.
func NewMachine(testing.TB) *Machine { return &Machine{bootedAt: time.Now()} }

// Suspend has the machine be suspended for a while: no time passes by its steady clock.
func (m *Machine) Suspend(d time.Duration) { m.suspended.Add(int64(d)) }

// SinceBoot is the time by the machine's clock that goes on meanwhile.
func (m *Machine) SinceBoot() time.Duration {
	return time.Since(m.bootedAt) + time.Duration(m.suspended.Load())
}

// Clock returns a Clock of the machine.
func (m *Machine) Clock() *clock.Clock { return clock.New(m.SinceBoot) }

// SuspensionDurations are those that every lease, proof, window and timeout is to be tried with.
var SuspensionDurations = []time.Duration{time.Second, 5 * time.Second, 30 * time.Second}
