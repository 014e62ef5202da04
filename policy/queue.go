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
	// startTag is the fair queue's tag: within a priority, lower ones go first.
	startTag float64
	// sequence orders requests with equal tags by arrival.
	sequence uint64
}

// queue holds the requests that wait for a place, ordered by priority and, within
// a priority, shared fairly between client accounts by the tokens they use
// (start-time fair queueing). The zero value is empty and ready to use.
type queue struct {
	// items is in the order of service.
	items []*queuedRequest
	bytes int
	// virtualTime is the highest start tag of the requests served.
	virtualTime float64
	// finishTags holds, by account, the tag at which its last request ends.
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

// newRequest tags a request for its place in the queue and charges its cost to its
// account. It doesn't insert the request.
func (q *queue) newRequest(now time.Time, r Request, cost Tokens) *queuedRequest {
	if q.finishTags == nil {
		q.finishTags = map[resource.Account]float64{}
	}
	q.lastSequence++
	w := &queuedRequest{Request: r, queuedAt: now, startTag: max(q.virtualTime, q.finishTags[r.Account]), sequence: q.lastSequence}
	q.finishTags[r.Account] = w.startTag + float64(cost)
	return w
}

// position returns the index at which the request would be inserted.
func (q *queue) position(w *queuedRequest) int {
	at, _ := slices.BinarySearchFunc(q.items, w, compareQueued)
	return at
}

func (q *queue) insert(w *queuedRequest) {
	q.items = slices.Insert(q.items, q.position(w), w)
	q.bytes += w.QueueBytes
}

// removeAt removes and returns the request at index i.
func (q *queue) removeAt(i int) *queuedRequest {
	w := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	q.bytes -= w.QueueBytes
	return w
}

// advanceTo advances the virtual time to a request that gets its place.
func (q *queue) advanceTo(w *queuedRequest) {
	q.virtualTime = max(q.virtualTime, w.startTag)
	if len(q.finishTags) > maxFinishTags {
		q.dropIdleAccounts()
	}
}

// maxFinishTags is the number of accounts above which the tags of idle accounts
// are dropped.
const maxFinishTags = 4096

func (q *queue) dropIdleAccounts() {
	for account, tag := range q.finishTags {
		if tag <= q.virtualTime {
			delete(q.finishTags, account)
		}
	}
}

// adjustCharge charges an account for the tokens it used beyond the estimate, or
// refunds those it didn't use.
func (q *queue) adjustCharge(account resource.Account, difference Tokens) {
	if tag, ok := q.finishTags[account]; ok {
		q.finishTags[account] = max(tag+float64(difference), 0)
	}
}

// indexOf returns the queue index of a run, or -1.
func (q *queue) indexOf(run RunID) int {
	return slices.IndexFunc(q.items, func(w *queuedRequest) bool { return w.Run == run })
}
