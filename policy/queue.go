// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/resource"
)

// queuedRequest is a request in the queue.
type queuedRequest struct {
	Request
	queuedAt time.Time
	// startTag is the fair queue's tag: within a priority, the lower goes first.
	startTag float64
	// sequence orders equal tags.
	sequence uint64
}

// queue holds what waits for a place: by priority, then fair between client
// accounts by the tokens they use (start-time fair queueing). The zero value
// is empty and works.
type queue struct {
	// items is in the order of service.
	items []*queuedRequest
	bytes int
	// virtualTime is the start tag of the last request served.
	virtualTime float64
	// finishTags is, by account, the tag at which its last request ends.
	finishTags   map[resource.Account]float64
	lastSequence uint64
}

func compareQueued(a, b *queuedRequest) int {
	if a.Priority != b.Priority {
		return cmp.Compare(b.Priority, a.Priority)
	}
	if a.startTag != b.startTag {
		return cmp.Compare(a.startTag, b.startTag)
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// newRequest gives the request its place among its account's others.
func (q *queue) newRequest(now time.Time, r Request, cost Tokens) *queuedRequest {
	if q.finishTags == nil {
		q.finishTags = map[resource.Account]float64{}
	}
	q.lastSequence++
	w := &queuedRequest{Request: r, queuedAt: now, startTag: max(q.virtualTime, q.finishTags[r.Account]), sequence: q.lastSequence}
	q.finishTags[r.Account] = w.startTag + float64(cost)
	return w
}

// position is where the request would stand.
func (q *queue) position(w *queuedRequest) int {
	at, _ := slices.BinarySearchFunc(q.items, w, compareQueued)
	return at
}

func (q *queue) insert(w *queuedRequest) {
	q.items = slices.Insert(q.items, q.position(w), w)
	q.bytes += w.QueueBytes
}

// removeAt takes the request out of the queue.
func (q *queue) removeAt(i int) *queuedRequest {
	w := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	q.bytes -= w.QueueBytes
	return w
}

// advanceTo moves the virtual time on to a request that gets its place.
func (q *queue) advanceTo(w *queuedRequest) {
	q.virtualTime = max(q.virtualTime, w.startTag)
	if len(q.finishTags) > maxFinishTags {
		q.dropIdleAccounts()
	}
}

// maxFinishTags is how many accounts' tags are kept before the idle ones are
// dropped.
const maxFinishTags = 4096

func (q *queue) dropIdleAccounts() {
	for account, tag := range q.finishTags {
		if tag <= q.virtualTime {
			delete(q.finishTags, account)
		}
	}
}

// adjustCharge charges an account for the tokens it used beyond the estimate, or
// gives back what it didn't use.
func (q *queue) adjustCharge(account resource.Account, difference Tokens) {
	if tag, ok := q.finishTags[account]; ok {
		q.finishTags[account] = max(tag+float64(difference), 0)
	}
}

// indexOf returns the queue position of a run, or -1.
func (q *queue) indexOf(run RunID) int {
	return slices.IndexFunc(q.items, func(w *queuedRequest) bool { return w.Run == run })
}
