// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// incarnationEntry returns the list entry of one incarnation of an upstream.
func incarnationEntry(id member.UpstreamID, incarnation Incarnation, revision history.Revision, leaving bool) Change {
	c := Change{Upstream: llmUpstream(id, revision, leaving)}
	c.Incarnation = incarnation
	return c
}

// TestNewIncarnation checks that what was known of an upstream's previous incarnation does not
// apply to the next one, whichever source reports that first, and that late reports about the
// previous incarnation have no effect.
func TestNewIncarnation(t *testing.T) {
	type step = func(f *Forwarder, now time.Time)
	apply := func(changes ...Change) step {
		return func(f *Forwarder, now time.Time) {
			f.handleListChanges(f.fleet.Apply(now, changes, changes[len(changes)-1].Revision))
		}
	}
	receive := func(s Share) step {
		return func(f *Forwarder, _ time.Time) {
			s.From = Peer{ID: "h2", Zone: "z1"}
			f.receiveShare(s)
		}
	}
	leaving := func(life Incarnation) step {
		return receive(Share{Leaving: []LeavingMark{{Upstream: "llm1", Incarnation: life}}})
	}
	failing := func(life Incarnation) step {
		return receive(Share{Failing: []FailingMark{{Upstream: "llm1", Incarnation: life, Remaining: 5 * time.Second}}})
	}
	for name, c := range map[string]struct {
		steps []step
		// available says whether the upstream takes new work at the end.
		available   bool
		incarnation Incarnation
	}{
		"it had said that it leaves":           {[]step{apply(incarnationEntry("llm1", 100, 5, true)), apply(incarnationEntry("llm1", 200, 6, false))}, true, 200},
		"its entry had gone":                   {[]step{apply(Change{Upstream: Upstream{ID: "llm1", Revision: rev(5)}, Gone: true}), apply(incarnationEntry("llm1", 200, 6, false))}, true, 200},
		"it was seen to fail":                  {[]step{failing(100), apply(incarnationEntry("llm1", 200, 6, false))}, true, 200},
		"late word that it fails":              {[]step{apply(incarnationEntry("llm1", 200, 6, false)), failing(100)}, true, 200},
		"late word that it leaves":             {[]step{apply(incarnationEntry("llm1", 200, 6, false)), leaving(100)}, true, 200},
		"late entry":                           {[]step{apply(incarnationEntry("llm1", 200, 6, false)), apply(incarnationEntry("llm1", 100, 7, true))}, true, 200},
		"a peer knows first, and it leaves":    {[]step{leaving(200)}, false, 200},
		"then the list tells the earlier life": {[]step{leaving(200), apply(incarnationEntry("llm1", 100, 6, false))}, false, 200},
		"then the list tells the same life":    {[]step{leaving(200), apply(incarnationEntry("llm1", 200, 6, false))}, true, 200},
		"its clock was set back":               {[]step{apply(incarnationEntry("llm1", 50, 6, false))}, true, 50},
		"set back, and it had left":            {[]step{apply(incarnationEntry("llm1", 100, 5, true)), apply(incarnationEntry("llm1", 50, 6, false))}, true, 50},
		"set back, and late word of before":    {[]step{apply(incarnationEntry("llm1", 50, 6, false)), leaving(100), failing(100)}, true, 50},
		"set back, and a late entry":           {[]step{apply(incarnationEntry("llm1", 50, 6, false)), apply(incarnationEntry("llm1", 100, 7, true))}, true, 50},
		"set back twice":                       {[]step{apply(incarnationEntry("llm1", 50, 6, false)), apply(incarnationEntry("llm1", 40, 7, false)), leaving(50)}, true, 40},
		"word of a start before the list's":    {[]step{leaving(50)}, true, 100},
		"an entry without a life":              {[]step{apply(incarnationEntry("llm1", 0, 6, false))}, true, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, &fakeTransport{})
			now := time.Now()
			apply(incarnationEntry("llm1", 100, 2, false))(f, now)
			for _, s := range c.steps {
				s(f, now)
			}
			is.Equal(availableIDs(f.fleet, now)["llm1"], c.available)
			u, _ := f.fleet.Upstream("llm1")
			is.Equal(u.Incarnation, c.incarnation)
		})
	}
}

// TestNewIncarnationHasNoRuns checks that an engine that started again holds none of the runs
// that were counted on it, of this host or its peers, even if a peer still reports them.
func TestNewIncarnationHasNoRuns(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	now := time.Now()
	for _, id := range []member.UpstreamID{"llm2", "llm3"} {
		f.fleet.MarkLeaving(now, id, 0, true)
	}
	f.handleListChanges(f.fleet.Apply(now, []Change{incarnationEntry("llm1", 100, 2, false)}, rev(2)))
	f.updatePlacementEngines(now, f.Table())
	place := func(run policy.RunID) (Upstream, *ownRun, policy.Decision) {
		r := policy.Request{Run: run, PromptTokens: 15000, ArrivedAt: now, Deadline: now.Add(time.Minute), Objective: time.Minute}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		return f.engines.place(ctx, now, "llm", r)
	}
	_, run, d := place("own")
	is.Equal(d.Verdict, policy.Granted)
	peerRuns := []RunState{{Run: "theirs", Service: "llm", Engine: "llm1", Life: 100, Prompt: 15000, Limit: 16000}}
	f.engines.replacePeerRuns(now, "h2", peerRuns, nil)
	_, _, d = place("full")
	is.Equal(d.Verdict, policy.Refused) // no room beside the other two
	f.handleListChanges(f.fleet.Apply(now, []Change{incarnationEntry("llm1", 200, 3, false)}, rev(3)))
	f.updatePlacementEngines(now, f.Table())
	f.engines.replacePeerRuns(now, "h2", peerRuns, nil) // the peer does not know of the restart yet
	for _, id := range []policy.RunID{"new1", "new2"} {
		u, _, d := place(id)
		is.Equal(d.Verdict, policy.Granted)
		is.Equal(u.Incarnation, Incarnation(200))
	}
	f.engines.finish(now, "llm", run, false)
	is.Equal(f.engines.pools["llm"].pool.Running(), 2)
}

// TestStreamEndsWithEngineIncarnation checks that a stream from an engine that started again
// ends at once although its connection is silent, and that no copy of the run is looked for on
// the new incarnation.
func TestStreamEndsWithEngineIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		moves := 0
		transport := &fakeTransport{
			send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
				a := answer(http.StatusOK, "")
				read, write := io.Pipe()
				a.Body = read
				go func() { _, _ = write.Write([]byte("id: 1\ndata: x\n\n")) }()
				return a, nil
			},
			move: func(context.Context, Upstream, MoveRequest) (MoveResult, error) {
				moves++
				return MoveResult{}, ErrRunNotFound
			},
		}
		f := newForwarder(t, transport)
		now := time.Now()
		var old, restarted []Change
		for _, id := range []member.UpstreamID{"llm1", "llm2", "llm3"} {
			old = append(old, incarnationEntry(id, 100, 2, false))
			restarted = append(restarted, incarnationEntry(id, 200, 3, false))
		}
		f.handleListChanges(f.fleet.Apply(now, old, rev(2)))
		f.updatePlacementEngines(now, f.Table())
		sink := &fakeSink{}
		served := make(chan struct{})
		go func() {
			defer close(served)
			f.Serve(t.Context(), call("/llm/"), sink)
		}()
		time.Sleep(time.Second)
		f.handleListChanges(f.fleet.Apply(time.Now(), restarted, rev(3)))
		began := time.Now()
		<-served
		is.Equal(time.Since(began), time.Duration(0))
		is.True(sink.truncated)
		is.Equal(moves, 0)
	})
}
