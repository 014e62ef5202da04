// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package order decides when an entry may send orders to the engines of its
// zone. Orders are fenced by the token of a platform lease: an engine that
// checks tokens refuses orders of an earlier holder. For an engine that doesn't
// check them, a new holder waits until the deadline of every earlier holder has
// passed.
//
// The package does no I/O and reads no clock; the current time is an argument.
package order

import (
	"cmp"
	"slices"
	"time"
)

// Step is the action that a holder asks its caller to take next.
type Step int

// The steps of a holder. Wait asks for nothing; the others ask for a call to the
// platform about the lease.
const (
	Wait Step = iota
	Acquire
	Renew
	Release
)

// Holder is the state of one entry that acquires, renews and releases the lease.
// The zero value is ready for use and holds no lease.
type Holder struct {
	token uint64
	// validUntil is the holder's own deadline, after which it sends no order. It
	// counts from the moment before the call that acquired or renewed the lease
	// was sent.
	validUntil time.Time
	ttl        time.Duration
	// olderExpiredAt is the time by which the lease of every earlier holder has
	// expired. From then on, engines that don't check tokens may get orders.
	olderExpiredAt time.Time
	// retryAt is the earliest time of the next attempt to acquire the lease.
	retryAt time.Time
}

const (
	// retryDelay is how long a holder waits after it failed to acquire the lease.
	retryDelay = 3 * time.Second
	// clockMargin bounds how far clocks may drift apart within one lease, and how
	// long an order may be in flight.
	clockMargin = 2 * time.Second
)

// Token returns the lease token that fences the holder's orders. It is 0 while
// no lease is held.
func (h *Holder) Token() uint64 { return h.token }

// Next returns the step to take now. wanted tells whether this entry should hold
// the lease.
func (h *Holder) Next(now time.Time, wanted bool) Step {
	held := h.token != 0 && now.Before(h.validUntil)
	switch {
	case !held:
		h.token = 0
		if wanted && !now.Before(h.retryAt) {
			return Acquire
		}
		return Wait
	case !wanted:
		return Release
	case h.validUntil.Sub(now) < 2*h.ttl/3:
		return Renew
	}
	return Wait
}

// Acquired records a lease that was acquired by a call sent at sentAt.
func (h *Holder) Acquired(sentAt time.Time, token uint64, ttl time.Duration) {
	h.token, h.ttl = token, ttl
	h.validUntil = sentAt.Add(ttl - clockMargin)
	h.olderExpiredAt = sentAt.Add(ttl + clockMargin)
}

// Renewed records a renewal by a call sent at sentAt.
func (h *Holder) Renewed(sentAt time.Time, ttl time.Duration) {
	if h.token != 0 {
		h.validUntil = sentAt.Add(ttl - clockMargin)
	}
}

// Refused records that the lease couldn't be acquired.
func (h *Holder) Refused(now time.Time) { h.retryAt = now.Add(retryDelay) }

// Released records that the lease was given up.
func (h *Holder) Released() { h.token = 0 }

// LeaseValid reports whether the lease is held and the holder's own deadline
// hasn't passed.
func (h *Holder) LeaseValid(now time.Time) bool { return h.token != 0 && now.Before(h.validUntil) }

// MaySendOrder reports whether an engine may be sent an order now. For an engine
// that doesn't check tokens, this is only true once no earlier holder can send
// orders.
func (h *Holder) MaySendOrder(now time.Time, checksTokens bool) bool {
	return h.LeaseValid(now) && (checksTokens || !now.Before(h.olderExpiredAt))
}

// drainDivisor bounds how many of a pool's engines are drained at a time: one in
// drainDivisor, rounded up. The others go on serving the old versions.
const drainDivisor = 4

// EnginesToDrain lists the engines of a pool that are to be drained now, because
// they serve a wanted model in another version. It returns a part of them at a
// time, in the order of their ids. wanted holds versions by model; served holds,
// by engine, the versions by model. An engine that doesn't serve a model at all
// can load it without being drained.
func EnginesToDrain[ID cmp.Ordered](wanted map[string]string, served map[ID]map[string]string) []ID {
	var outdated []ID
	for id, models := range served {
		if HasOutdatedModel(wanted, models) {
			outdated = append(outdated, id)
		}
	}
	slices.Sort(outdated)
	maxDraining := (len(served) + drainDivisor - 1) / drainDivisor
	return outdated[:min(maxDraining, len(outdated))]
}

// HasOutdatedModel reports whether a wanted model is served in another version.
// Both maps hold versions by model.
func HasOutdatedModel(wanted, served map[string]string) bool {
	for model, version := range wanted {
		if current, isServed := served[model]; isServed && current != version {
			return true
		}
	}
	return false
}

// ModelVersion is a model and the version in which an engine is to serve it.
type ModelVersion struct {
	Model   string
	Version string
}

// MissingModels lists the wanted models that an engine doesn't serve in the wanted
// version, in the order of their names.
func MissingModels(wanted, served map[string]string) []ModelVersion {
	var missing []ModelVersion
	for model, version := range wanted {
		if served[model] != version {
			missing = append(missing, ModelVersion{Model: model, Version: version})
		}
	}
	slices.SortFunc(missing, func(a, b ModelVersion) int { return cmp.Compare(a.Model, b.Model) })
	return missing
}
