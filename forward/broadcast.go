// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import "sync"

// broadcast wakes all that wait for something. The zero value works.
type broadcast struct {
	mu sync.Mutex
	// next closes at the next wake; nil while nobody waits.
	next chan struct{}
}

// wakeChannel returns a channel that closes at the next wake.
func (b *broadcast) wakeChannel() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
