// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/resource"
)

// proposal is an operator's change that waits to be written to the log.
type proposal struct {
	ctx    context.Context
	change resource.Change
	// expectedRevision is the revision of the resource that the change is based on; nil accepts
	// any, and 0 requires that the resource doesn't exist.
	expectedRevision *resource.Revision
	result           chan proposalResult
}

// proposalResult is the revision at which a proposal was accepted, or the error.
type proposalResult struct {
	revision resource.Revision
	err      error
}

// Conflict is the error of a change to a resource that isn't at the expected revision.
type Conflict struct {
	// Current is the resource as it is now; its zero value means that the resource doesn't exist.
	Current resource.Resource
}

// Error returns a message with the current revision of the resource.
func (c *Conflict) Error() string {
	return "the resource has changed; it is now at revision " + strconv.FormatUint(uint64(c.Current.Revision), 10)
}

// ErrOutcomeUnknown reports that a change may or may not have been accepted.
var ErrOutcomeUnknown = errors.New("the platform did not answer; the change may still be accepted")

// ErrNotAccepted reports that a change was certainly not accepted.
var ErrNotAccepted = errors.New("the platform can't be reached; the change was not accepted")

// Propose validates a change, writes it to the configuration log and returns the revision at which
// it was accepted. Its error is resource.Findings, a *Conflict, ErrOutcomeUnknown or
// ErrNotAccepted.
func (e *Entry) Propose(ctx context.Context, change resource.Change, match *resource.Revision) (resource.Revision, error) {
	if err := resource.Check(change).Err(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p := &proposal{ctx: ctx, change: change, expectedRevision: match, result: make(chan proposalResult, 1)}
	select {
	case e.config.proposals <- p:
	case <-ctx.Done():
		return 0, ErrNotAccepted
	}
	select {
	case result := <-p.result:
		return result.revision, result.err
	case <-e.stopped:
		return 0, ErrOutcomeUnknown
	}
}

const (
	proposeTimeout     = 5 * time.Second
	maxChangesPerEntry = 64
	appendRetryDelay   = 50 * time.Millisecond
)

// runWriter writes proposals to the log until the context ends, several in one log entry if
// possible.
func (c *configuration) runWriter(ctx context.Context) {
	var pending []*proposal
	for {
		if len(pending) == 0 {
			select {
			case p := <-c.proposals:
				pending = append(pending, p)
			case <-ctx.Done():
				return
			}
		}
		pending = c.collectProposals(pending)
		pending = c.writeGroup(ctx, pending)
	}
}

// collectProposals adds the proposals that are available without waiting, up to maxChangesPerEntry
// in all.
func (c *configuration) collectProposals(pending []*proposal) []*proposal {
	for len(pending) < maxChangesPerEntry {
		select {
		case p := <-c.proposals:
			pending = append(pending, p)
		default:
			return pending
		}
	}
	return pending
}

// writeGroup tries to write the proposals as the next log entry, answers the proposals whose outcome
// is known and returns the others.
func (c *configuration) writeGroup(ctx context.Context, pending []*proposal) []*proposal {
	// The new entry must directly follow the catalog against which the expected revisions are
	// checked. Otherwise it would overwrite, unnoticed, changes that were applied in between.
	current := c.Catalog()
	group, rest := selectProposals(current, pending)
	if len(group) == 0 {
		return rest
	}
	entry := resource.LogEntry{Revision: current.Revision() + 1, Operation: uuid.NewString()}
	for _, p := range group {
		entry.Changes = append(entry.Changes, p.change)
	}
	outcome, err := c.appendEntry(ctx, group[0].ctx, entry)
	switch outcome {
	case appended:
		answerAll(group, proposalResult{revision: entry.Revision})
		return rest
	case lostRace:
		return append(group, rest...)
	default:
		answerAll(group, proposalResult{err: err})
		return rest
	}
}

// answerAll answers all proposals of a group with the same result.
func answerAll(group []*proposal, r proposalResult) {
	for _, p := range group {
		p.result <- r
	}
}

// selectProposals selects the proposals that can go into one log entry: at most one per resource,
// each at the expected revision. It answers the conflicts and the proposals whose time is over, and
// returns the others as rest.
func selectProposals(catalog *resource.Catalog, pending []*proposal) (group, rest []*proposal) {
	type key struct {
		kind resource.Kind
		name resource.Name
	}
	taken := map[key]bool{}
	for _, p := range pending {
		k := key{p.change.Kind, p.change.Name}
		current, _ := catalog.Get(k.kind, k.name)
		switch {
		case p.ctx.Err() != nil:
			p.result <- proposalResult{err: ErrNotAccepted}
		case taken[k]:
			rest = append(rest, p)
		case p.expectedRevision != nil && *p.expectedRevision != current.Revision:
			p.result <- proposalResult{err: &Conflict{Current: current}}
		default:
			taken[k] = true
			group = append(group, p)
		}
	}
	return group, rest
}

// appendOutcome is the outcome of trying to write a log entry.
type appendOutcome int

const (
	appended appendOutcome = iota
	// lostRace means that another writer's entry has the revision; that entry is applied.
	lostRace
	// gaveUp means that the time is over; the error says whether the entry may still be written.
	gaveUp
)

// appendEntry writes an entry under its revision if that is free. When an answer is lost, it reads
// the key, and as long as the key is absent it retries the same create, never at a later revision.
func (c *configuration) appendEntry(ctx, proposalCtx context.Context, e resource.LogEntry) (appendOutcome, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return gaveUp, trace.Wrap(err)
	}
	mayBeWritten := false
	for {
		wrote, err := c.entry.store.Swap(proposalCtx, logKey(e.Revision), text, 0)
		switch {
		case err == nil && wrote:
			c.apply(e)
			c.saveSnapshot(c.Catalog())
			return appended, nil
		case err == nil || !errors.Is(err, ErrNotSent):
			// The key may be taken, possibly by an earlier try of this call.
			mayBeWritten = mayBeWritten || err != nil
			if outcome, known := c.checkRevisionOwner(proposalCtx, e); known {
				return outcome, nil
			}
		}
		if !sleepContext(proposalCtx, appendRetryDelay) || ctx.Err() != nil {
			return gaveUp, unresolvedError(mayBeWritten)
		}
	}
}

// unresolvedError returns the error of an append that was given up.
func unresolvedError(mayBeWritten bool) error {
	if mayBeWritten {
		return ErrOutcomeUnknown
	}
	return ErrNotAccepted
}

// checkRevisionOwner reads the log at the entry's revision, applies what is there and reports
// whether it is this entry (appended) or another (lostRace). The outcome is not known while the
// platform doesn't answer, has no entry there, or has one that can't be decoded.
func (c *configuration) checkRevisionOwner(ctx context.Context, e resource.LogEntry) (appendOutcome, bool) {
	item, err := c.entry.store.Get(ctx, logKey(e.Revision))
	if err != nil || !item.Found() {
		return gaveUp, false
	}
	stored, err := decodeEntry(e.Revision, item.Value)
	if err != nil {
		return gaveUp, false
	}
	c.apply(stored)
	if stored.Operation == e.Operation {
		return appended, true
	}
	return lostRace, true
}
