// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"time"

	"github.com/shedpath/shedpath/history"
)

// Version identifies a write to a key of the Store. Zero means that the key doesn't exist.
type Version uint64

// Item is the value of a key as the Store returned it. The zero value is a key that doesn't exist.
type Item struct {
	Value   []byte
	Version Version
	// Index is the revision of the store when it answered. A watch continues from it.
	Index uint64
	// Era rises when the store is restored from an older copy; zero if the store doesn't report it.
	Era history.Era
}

// position returns the point in the store's history at which it answered.
func (i Item) position() history.Point { return history.NewPoint(i.Era, history.Revision(i.Index)) }

// Found reports whether the key exists.
func (i Item) Found() bool { return i.Version != 0 }

// Store is the platform's key-value service.
//
// An error wraps ErrNotSent if the call certainly had no effect. After any other error of a write,
// the write may have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// Swap writes the value if the key still has the given version; version 0 means that the key
	// must not exist. It reports whether it wrote.
	Swap(ctx context.Context, key string, value []byte, v Version) (bool, error)
	// Delete removes the key if it still has the given version, and reports whether it did.
	Delete(ctx context.Context, key string, v Version) (bool, error)
	// Watch returns when the key has been written after index. If that doesn't happen within wait,
	// it returns the current item.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Item, error)
	// Era returns the newest era that the store has reported in any answer; zero if it reports
	// none.
	Era() history.Era
}

// LeaseStore is the lease service of the platform.
type LeaseStore interface {
	// Acquire requests the lease on the key. The token rises with each new holder; it is zero if
	// another holder has the lease.
	Acquire(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
	// Renew extends the lease by another TTL.
	Renew(ctx context.Context, l Lease) error
	// Release gives up the lease.
	Release(ctx context.Context, l Lease) error
}

// Lease describes a lease as the platform last confirmed it.
type Lease struct {
	Key     string
	Session string
	// Token is the fencing token for the holder's orders; 0 means that the lease isn't held.
	Token uint64
	TTL   time.Duration
}

// ErrNotSent marks a call to the platform or an upstream that certainly had no effect.
var ErrNotSent = errors.New("the call was not sent")
