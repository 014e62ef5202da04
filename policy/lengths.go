// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math/bits"

	"github.com/shedpath/shedpath/resource"
)

// Buckets of a histogram: eight to each doubling, so a bucket is at most an
// eighth of its value wide.
const (
	subBucketBits = 3
	subBuckets    = 1 << subBucketBits
	maxTokenBits  = 17
	bucketCount   = (maxTokenBits-subBucketBits+1)*subBuckets + 1
)

// bucketOf returns the bucket of a length; lengths past the last share it.
func bucketOf(n Tokens) int {
	if n < subBuckets {
		return max(int(n), 0)
	}
	shift := bits.Len(uint(n)) - 1 - subBucketBits
	return min(shift*subBuckets+int(n)>>shift, bucketCount-1)
}

// bucketStart returns the least length in a bucket.
func bucketStart(b int) Tokens {
	if b < 2*subBuckets {
		return Tokens(b)
	}
	shift := b/subBuckets - 1
	return Tokens((b%subBuckets + subBuckets) << shift)
}

// histogram is a decaying histogram of answer lengths, filled up with a few
// samples' worth of its parent's shape, so that a tail too rare to have been
// seen here is still expected. The zero value is empty and has no parent.
type histogram struct {
	parent  *histogram
	weights [bucketCount]float32
	// tailWeights[b] is the weight at or tailWeights bucket b, the parent's part included;
	// it is kept when fresh.
	tailWeights  [bucketCount + 1]float32
	tailsCurrent bool
	// samples counts the observations with the same decay as the weights.
	samples float32
	// sum is the decayed sum of the lengths.
	sum float32
}

const (
	// decaySamples is how many observations a histogram remembers, as the
	// inverse of its decay.
	decaySamples = 2000
	// parentSamples is how many observations the parent's shape counts for.
	parentSamples = 40
)

func (h *histogram) observe(n Tokens) {
	const keep = 1 - 1.0/decaySamples
	for i := range h.weights {
		h.weights[i] *= keep
	}
	h.samples = h.samples*keep + 1
	h.sum = h.sum*keep + float32(n)
	h.weights[bucketOf(n)]++
	h.tailsCurrent = false
}

func (h *histogram) refreshTails() {
	for b := bucketCount - 1; b >= 0; b-- {
		h.tailWeights[b] = h.tailWeights[b+1] + h.weights[b]
	}
	h.tailsCurrent = true
	if h.parent == nil {
		return
	}
	if !h.parent.tailsCurrent {
		h.parent.refreshTails()
	}
	part := parentSamples / h.parent.tailWeights[0]
	for b := range h.tailWeights {
		h.tailWeights[b] += part * h.parent.tailWeights[b]
	}
}

// weightAbove is the weight of the lengths above n, taking lengths to be spread
// evenly within a bucket.
func (h *histogram) weightAbove(n Tokens) float64 {
	if !h.tailsCurrent {
		h.refreshTails()
	}
	b := bucketOf(n)
	if b == bucketCount-1 {
		return float64(h.tailWeights[b])
	}
	start, end := bucketStart(b), bucketStart(b+1)
	part := float32(n+1-start) / float32(end-start)
	return float64(h.tailWeights[b] - part*(h.tailWeights[b]-h.tailWeights[b+1]))
}

// SurvivalAfter gives, for each horizon, the chance that an answer of more than made
// tokens is still going there.
func (h *histogram) SurvivalAfter(made Tokens) Survival {
	var alive Survival
	now := h.weightAbove(made)
	for k, ahead := range horizons {
		if now <= minTailWeight {
			// Past everything seen: such answers go on as long again as they
			// already did.
			alive[k] = float64(made+1) / float64(made+1+ahead)
			continue
		}
		alive[k] = h.weightAbove(made+ahead) / now
	}
	return alive
}

// minTailWeight is the weight below which a tail says nothing.
const minTailWeight = 0.01

func (h *histogram) mean() float32 {
	if h.parent == nil {
		return h.sum / h.samples
	}
	return (h.sum + parentSamples*h.parent.mean()) / (h.samples + parentSamples)
}

// LearnedLengths learns how long answers get, by route and client account, and tells
// how likely a running answer is to go on. The zero value knows nothing and
// works. It isn't safe for use by several goroutines.
type LearnedLengths struct {
	pool     histogram
	routes   map[resource.Name]*histogram
	accounts map[accountRoute]*histogram
}

type accountRoute struct {
	account resource.Account
	route   resource.Name
}

// maxAccountHistograms bounds the memory at about a kilobyte each; further
// accounts share their route's.
const maxAccountHistograms = 8192

// Observe learns from an answer that ended by itself.
func (l *LearnedLengths) Observe(account resource.Account, route resource.Name, n Tokens) {
	if l.routes == nil {
		l.pool.parent = &priorLengths
		l.routes = map[resource.Name]*histogram{}
		l.accounts = map[accountRoute]*histogram{}
	}
	l.pool.observe(n)
	if l.routes[route] == nil {
		l.routes[route] = &histogram{parent: &l.pool}
	}
	l.routes[route].observe(n)
	key := accountRoute{account, route}
	if l.accounts[key] == nil {
		if len(l.accounts) >= maxAccountHistograms {
			return
		}
		l.accounts[key] = &histogram{parent: l.routes[route]}
	}
	l.accounts[key].observe(n)
}

// narrowest returns the narrowest histogram that there is.
func (l *LearnedLengths) narrowest(account resource.Account, route resource.Name) *histogram {
	if h := l.accounts[accountRoute{account, route}]; h != nil {
		return h
	}
	if h := l.routes[route]; h != nil {
		return h
	}
	if l.pool.parent != nil {
		return &l.pool
	}
	return &priorLengths
}

// priorLengths stands in until anything is known: a few answers spread
// evenly over the doublings from 16 to 2,048 tokens. It is never observed.
var priorLengths = func() histogram {
	var h histogram
	for n := Tokens(16); n <= 2048; n *= 2 {
		h.weights[bucketOf(n)]++
		h.samples++
		h.sum += float32(n)
	}
	h.refreshTails()
	return h
}()

// SurvivalCurve returns the curve to foresee a request's answer by.
func (l *LearnedLengths) SurvivalCurve(r *Request) SurvivalCurve {
	return l.narrowest(r.Account, r.Route)
}

// MeanLength is the expected length of an answer not yet begun.
func (l *LearnedLengths) MeanLength(r *Request) Tokens {
	mean := Tokens(l.narrowest(r.Account, r.Route).mean())
	if r.MaxOutputTokens > 0 {
		mean = min(mean, r.MaxOutputTokens)
	}
	return max(mean, 1)
}
