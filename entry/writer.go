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

// proposal is one operator's change on its way into the log.
type proposal struct {
	ctx    context.Context
	change resource.Change
	// expectedRevision is the revision that the operator saw; nil accepts any, and 0
	// wants a resource that isn't there.
	expectedRevision *resource.Revision
	result           chan proposalResult
}

type proposalResult struct {
	revision resource.Revision
	err      error
}

// Conflict says that the resource isn't as the operator saw it.
type Conflict struct {
	// Current is the resource as it is; its zero value says that there is none.
	Current resource.Resource
}

// Error names the resource and its revision.
func (c *Conflict) Error() string {
	return "the resource has changed; it is now at revision " + strconv.FormatUint(uint64(c.Current.Revision), 10)
}

// ErrOutcomeUnknown says that a change may or may not have been accepted.
var ErrOutcomeUnknown = errors.New("the platform did not answer; the change may still be accepted")

// ErrNotAccepted says that a change was surely not accepted.
var ErrNotAccepted = errors.New("the platform can't be reached; the change was not accepted")

// Propose brings a checked change into the configuration and returns the
// revision at which it was accepted. Its error is resource.Findings, a
// *Conflict, ErrUnsure or ErrNotAccepted.
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

// runWriter takes proposals and writes them, many at a time.
func (c *configuration) runWriter(ctx context.Context) {
	var held []*proposal
	for {
		if len(held) == 0 {
			select {
			case p := <-c.proposals:
				held = append(held, p)
			case <-ctx.Done():
				return
			}
		}
		held = c.collectProposals(held)
		held = c.writeGroup(ctx, held)
	}
}

func (c *configuration) collectProposals(held []*proposal) []*proposal {
	for len(held) < maxChangesPerEntry {
		select {
		case p := <-c.proposals:
			held = append(held, p)
		default:
			return held
		}
	}
	return held
}

// writeGroup tries to write the proposals as the next entry, answers those
// whose fate is known and returns the rest.
func (c *configuration) writeGroup(ctx context.Context, held []*proposal) []*proposal {
	// The entry follows the very catalog that the operators' revisions were checked
	// against: one that came in between would be overwritten unseen.
	seen := c.Catalog()
	group, rest := selectProposals(seen, held)
	if len(group) == 0 {
		return rest
	}
	e := resource.LogEntry{Revision: seen.Revision() + 1, Operation: uuid.NewString()}
	for _, p := range group {
		e.Changes = append(e.Changes, p.change)
	}
	outcome, err := c.appendEntry(ctx, group[0].ctx, e)
	switch outcome {
	case appended:
		answerAll(group, proposalResult{revision: e.Revision})
		return rest
	case lostRace:
		return append(group, rest...)
	default:
		answerAll(group, proposalResult{err: err})
		return rest
	}
}

func answerAll(group []*proposal, r proposalResult) {
	for _, p := range group {
		p.result <- r
	}
}

// selectProposals takes the proposals that can go into one entry: each resource once,
// and each seen by its operator as it is. Conflicts are answered.
func selectProposals(seen *resource.Catalog, held []*proposal) (group, rest []*proposal) {
	type key struct {
		kind resource.Kind
		name resource.Name
	}
	taken := map[key]bool{}
	for _, p := range held {
		k := key{p.change.Kind, p.change.Name}
		now, _ := seen.Get(k.kind, k.name)
		switch {
		case p.ctx.Err() != nil:
			p.result <- proposalResult{err: ErrNotAccepted}
		case taken[k]:
			rest = append(rest, p)
		case p.expectedRevision != nil && *p.expectedRevision != now.Revision:
			p.result <- proposalResult{err: &Conflict{Current: now}}
		default:
			taken[k] = true
			group = append(group, p)
		}
	}
	return group, rest
}

// appendOutcome is what became of a try to write an entry.
type appendOutcome int

const (
	appended appendOutcome = iota
	// lostRace says that another's entry has the revision; it is applied.
	lostRace
	// given up: the error says whether the entry may still be written.
	gaveUp
)

// appendEntry writes an entry under its revision if no other is there. When an
// answer is lost it reads the key, and as long as nothing is there it tries
// the same create again, never a later revision.
func (c *configuration) appendEntry(ctx, asked context.Context, e resource.LogEntry) (appendOutcome, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return gaveUp, trace.Wrap(err)
	}
	unsure := false
	for {
		wrote, err := c.entry.store.Swap(asked, logKey(e.Revision), text, 0)
		switch {
		case err == nil && wrote:
			c.apply(e)
			c.saveSnapshot(c.Catalog())
			return appended, nil
		case err == nil || !errors.Is(err, ErrNotSent):
			// Somebody's entry is there, perhaps our own by an earlier try.
			unsure = unsure || err != nil
			if outcome, known := c.checkRevisionOwner(asked, e); known {
				return outcome, nil
			}
		}
		if !pause(asked, appendRetryDelay) || ctx.Err() != nil {
			return gaveUp, unresolvedError(unsure)
		}
	}
}

func unresolvedError(unsure bool) error {
	if unsure {
		return ErrOutcomeUnknown
	}
	return ErrNotAccepted
}

// checkRevisionOwner reads who has the entry's revision. It isn't known while the
// platform doesn't answer or has nothing there.
func (c *configuration) checkRevisionOwner(ctx context.Context, e resource.LogEntry) (appendOutcome, bool) {
	item, err := c.entry.store.Get(ctx, logKey(e.Revision))
	if err != nil || !item.Found() {
		return gaveUp, false
	}
	there, err := decodeEntry(e.Revision, item.Value)
	if err != nil {
		return gaveUp, false
	}
	c.apply(there)
	if there.Operation == e.Operation {
		return appended, true
	}
	return lostRace, true
}
