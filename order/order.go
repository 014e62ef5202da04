// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package order decides when an entry may give orders to the engines of its
// zone. Orders are fenced by the token of a platform lease: an engine that
// checks tokens refuses an older holder's order. For an engine that doesn't
// check, a new holder waits until every older holder's own deadline has
// passed.
//
// The package is pure; the present time is an argument.
package order

import (
	"cmp"
	"slices"
	"time"
)

// Step is what a holder wants done next.
type Step int

// The steps.
const (
	Wait Step = iota
	Acquire
	Renew
	Release
)

// Holder is one entry's state towards the lease. The zero value holds nothing
// and works.
type Holder struct {
	token uint64
	// validUntil is the holder's own deadline, counted from before the call that
	// gained or renewed the lease was sent. Nothing is ordered after it.
	validUntil time.Time
	ttl        time.Duration
	// olderExpiredAt is from when on an engine that checks no tokens may be ordered.
	olderExpiredAt time.Time
	// retryAt is when the lease may be asked for again.
	retryAt time.Time
}

const (
	// retryDelay is how long a refused holder waits.
	retryDelay = 3 * time.Second
	// clockMargin is what clocks may drift apart, and an order may take on its
	// way, within one lease.
	clockMargin = 2 * time.Second
)

// Token fences the holder's orders; it is 0 while nothing is held.
func (h *Holder) Token() uint64 { return h.token }

// Next says what to do now, given whether this entry has the duty.
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

// Acquired takes in a lease gained by a call that was sent at asked.
func (h *Holder) Acquired(asked time.Time, token uint64, ttl time.Duration) {
	h.token, h.ttl = token, ttl
	h.validUntil = asked.Add(ttl - clockMargin)
	h.olderExpiredAt = asked.Add(ttl + clockMargin)
}

// Renewed takes in a renewal by a call that was sent at asked.
func (h *Holder) Renewed(asked time.Time, ttl time.Duration) {
	if h.token != 0 {
		h.validUntil = asked.Add(ttl - clockMargin)
	}
}

// Refused takes in that the lease was not to be had.
func (h *Holder) Refused(now time.Time) { h.retryAt = now.Add(retryDelay) }

// Released forgets the lease.
func (h *Holder) Released() { h.token = 0 }

// LeaseValid reports whether the lease surely holds now.
func (h *Holder) LeaseValid(now time.Time) bool { return h.token != 0 && now.Before(h.validUntil) }

// MaySendOrder reports whether an engine may be given an order now. One that
// checks no tokens has to wait until an older holder can't order any more.
func (h *Holder) MaySendOrder(now time.Time, checks bool) bool {
	return h.LeaseValid(now) && (checks || !now.Before(h.olderExpiredAt))
}

// drainDivisor is the part of a pool's engines that are emptied at a time, as
// its inverse: the rest goes on serving the old versions.
const drainDivisor = 4

// EnginesToDrain lists the engines of a pool that are to be emptied now, because they
// serve a wanted model in another version: a part of them at a time, in the
// order of their ids. served holds, by engine, the versions by model; an engine
// that doesn't serve a model at all needn't be emptied to get it.
func EnginesToDrain[ID cmp.Ordered](wanted map[string]string, served map[ID]map[string]string) []ID {
	var outdated []ID
	for id, models := range served {
		if HasOutdatedModel(wanted, models) {
			outdated = append(outdated, id)
		}
	}
	slices.Sort(outdated)
	atOnce := (len(served) + drainDivisor - 1) / drainDivisor
	return outdated[:min(atOnce, len(outdated))]
}

// HasOutdatedModel reports whether a wanted model is served in another version.
func HasOutdatedModel(wanted, served map[string]string) bool {
	for model, version := range wanted {
		if there, has := served[model]; has && there != version {
			return true
		}
	}
	return false
}

// ModelVersion is a model in the version that an engine is to serve.
type ModelVersion struct {
	Model   string
	Version string
}

// MissingModels lists what is wanted of an engine and not served by it, in order.
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
