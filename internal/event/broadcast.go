// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package event wakes those that wait for an event, and limits how often events are acted upon.
package event

import "sync"

// Broadcast wakes all goroutines that wait for an event. The zero value is ready to use.
type Broadcast struct {
	mu sync.Mutex
	// next closes at the next wake; nil while nobody waits.
	next chan struct{}
}

// Channel returns a channel that closes at the next wake.
func (b *Broadcast) Channel() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *Broadcast) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
