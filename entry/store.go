// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"time"

	"github.com/shedpath/shedpath/history"
)

// Version numbers the writes of one key in the platform's service. The zero
// value stands for a key that isn't there.
type Version uint64

// Item is a key's value as the platform last answered it. The zero value is a
// key that isn't there.
type Item struct {
	Value   []byte
	Version Version
	// Index is the service's own position when it answered; a watch goes on
	// from it.
	Index uint64
	// Era rises when the service comes back from an older copy; zero where it doesn't tell.
	Era history.Era
}

// at is where in the service's history it answered.
func (i Item) at() history.Point { return history.NewPoint(i.Era, history.Revision(i.Index)) }

// Found reports whether the key was there.
func (i Item) Found() bool { return i.Version != 0 }

// Store is the platform's key-value service.
//
// An error wraps ErrNotSent when the call surely had no effect. After any
// other error of a write, the write may have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// Swap writes the value if the key still has the version; version 0 wants
	// a key that isn't there. It reports whether it wrote.
	Swap(ctx context.Context, key string, value []byte, v Version) (bool, error)
	// Delete removes the key if it still has the version.
	Delete(ctx context.Context, key string, v Version) (bool, error)
	// Watch answers when the key was written after index, or with what is
	// there when wait has passed.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Item, error)
	// Era is the newest that the service has told in any answer; zero where it tells none.
	Era() history.Era
}

// LeaseStore is the part of the platform's service that gives leases.
type LeaseStore interface {
	// Acquire asks for the lease on the key; the token rises with each new
	// holder. A zero token says that another holds it.
	Acquire(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
	// Renew keeps the lease for another ttl.
	Renew(ctx context.Context, l Lease) error
	// Release gives the lease back.
	Release(ctx context.Context, l Lease) error
}

// Lease is a lease that was held when the platform answered.
type Lease struct {
	Key     string
	Session string
	// Token fences the holder's orders; it is 0 when the lease isn't held.
	Token uint64
	TTL   time.Duration
}

// ErrNotSent marks a platform call that surely had no effect.
var ErrNotSent = errors.New("the call was not sent")
