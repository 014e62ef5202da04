// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// poolChange returns a change that sets a pool's queue limit.
func poolChange(name resource.Name, limit int) resource.Change {
	return resource.Change{
		Kind: resource.EnginePools, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"queueLimit":%d}`, limit)),
	}
}

// TestConfigurationUnderFaults has several entries write through a platform that refuses writes,
// loses them or loses their answers. An accepted change must be in the log exactly once, at the
// reported revision; a refused change must not be in it; and all entries must reach the log's
// revision.
func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]writeFault{
			faultNone, faultNone, faultNotSent, faultAnswerLost, faultAnswerLost, faultWriteLost,
		}), 1, 40).Draw(rt, "faults")
		writers := rapid.IntRange(1, 3).Draw(rt, "writers")
		perWriter := rapid.IntRange(1, 5).Draw(rt, "changes")
		var problem error
		synctest.Test(t, func(t *testing.T) {
			problem = writeUnderFaults(t, faults, writers, perWriter)
		})
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}

// proposeResult is what Propose returned for one change.
type proposeResult struct {
	change   resource.Change
	revision resource.Revision
	err      error
}

// writeUnderFaults runs one schedule of faults and returns an error if an entry or the log is wrong.
func writeUnderFaults(t *testing.T, faults []writeFault, writers, perWriter int) error {
	ctx, cancel := context.WithCancel(t.Context())
	s := newFakeSite(ctx)
	defer s.running.Wait()
	defer cancel()
	calls := 0
	s.store.faultFor = func(string) writeFault {
		calls++
		if calls > len(faults) {
			return faultNone
		}
		return faults[calls-1]
	}
	var entries []*Entry
	for i := range writers {
		entries = append(entries, s.addEntry(member.HostID(fmt.Sprintf("e%d", i)), "az1"))
	}
	var mu sync.Mutex
	var results []proposeResult
	var writing sync.WaitGroup
	for i, e := range entries {
		writing.Go(func() {
			for n := range perWriter {
				c := poolChange(resource.Name(fmt.Sprintf("p%d-%d", i, n)), n+1)
				revision, err := e.Propose(ctx, c, nil)
				mu.Lock()
				results = append(results, proposeResult{c, revision, err})
				mu.Unlock()
			}
		})
	}
	writing.Wait()
	time.Sleep(8 * time.Second)
	if err := checkAgainstLog(results, s.store.configLog()); err != nil {
		return err
	}
	for _, e := range entries {
		if got, want := e.Catalog().Revision(), resource.Revision(len(s.store.configLog())); got != want {
			return fmt.Errorf("entry %s is at revision %d, want %d, the end of the log", e.self.ID, got, want)
		}
	}
	return nil
}

// checkAgainstLog compares what Propose returned for each change with the log.
func checkAgainstLog(results []proposeResult, log []resource.LogEntry) error {
	revisions := map[resource.Name][]resource.Revision{}
	for _, e := range log {
		for _, c := range e.Changes {
			revisions[c.Name] = append(revisions[c.Name], e.Revision)
		}
	}
	for _, result := range results {
		logged := revisions[result.change.Name]
		switch {
		case result.err == nil && (len(logged) != 1 || logged[0] != result.revision):
			return fmt.Errorf("change of %s was accepted at revision %d, but the log has it at revisions %v", result.change.Name, result.revision, logged)
		case errors.Is(result.err, ErrNotAccepted) && len(logged) != 0:
			return fmt.Errorf("change of %s was refused, but the log has it at revisions %v", result.change.Name, logged)
		case len(logged) > 1:
			return fmt.Errorf("change of %s is in the log %d times, want at most once", result.change.Name, len(logged))
		}
	}
	return nil
}

// runInThreeZones runs a test on a configured site with one entry in each of three zones.
func runInThreeZones(t *testing.T, test func(t *testing.T, s *fakeSite, entries []*Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeSite(ctx)
		defer s.running.Wait()
		defer cancel()
		var entries []*Entry
		for i := range 3 {
			entries = append(entries, s.addEntry(member.HostID(fmt.Sprintf("e%d", i+1)), member.Zone(fmt.Sprintf("az%d", i+1))))
		}
		s.engines.scripts = []script{{events: append(tokenEvents(1, 5), endEvent(5))}}
		s.addEngine("g3", "az3")
		if err := s.declareSampleConfig(entries[0]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		test(t, s, entries)
	})
}

// TestTwoOperatorsOneResource checks that of two concurrent changes to a resource one is accepted,
// and the other gets a conflict with the resource's current state.
func TestTwoOperatorsOneResource(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		existing, _ := entries[0].Catalog().Get(resource.EnginePools, "desk")
		results := make(chan error, 2)
		for i, e := range entries[:2] {
			go func() {
				_, err := e.Propose(s.ctx, poolChange("desk", 100+i), &existing.Revision)
				results <- err
			}()
		}
		var conflict *Conflict
		var conflicts int
		for range 2 {
			if err := <-results; err != nil {
				is.True(errors.As(err, &conflict))
				conflicts++
			}
		}
		is.Equal(conflicts, 1)
		is.True(conflict.Current.Revision > existing.Revision)
	})
}

// TestPausedWriter checks that a writer with a stale catalog loses the race for a revision, applies
// the entry that it finds there and then reports the conflict.
func TestPausedWriter(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		existing, _ := entries[0].Catalog().Get(resource.EnginePools, "desk")
		paused := newConfiguration(entries[0])
		paused.applySnapshot(entries[0].Catalog().Snapshot())
		_, err := entries[1].Propose(s.ctx, poolChange("desk", 7), nil)
		is.NoErr(err)
		p := &proposal{ctx: s.ctx, change: poolChange("desk", 8), expectedRevision: &existing.Revision, result: make(chan proposalResult, 1)}
		pending := paused.writeGroup(s.ctx, []*proposal{p})
		is.Equal(len(pending), 1) // the race is lost
		is.Equal(len(paused.writeGroup(s.ctx, pending)), 0)
		var conflict *Conflict
		is.True(errors.As((<-p.result).err, &conflict))
	})
}

// TestPartitionedZone cuts a zone off from the platform and the other zones for two hours. The zone
// must keep its configuration, serve with it and have the new one within 3 s of its return. In the
// meantime, another zone's entry must list the zone's state as not fresh.
func TestPartitionedZone(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		cut := func(cut bool) {
			for id, p := range s.peers {
				for other := range s.entries {
					if (id == "e3") != (other == "e3") {
						p.setLinkDown(other, cut)
					}
				}
			}
		}
		s.stores["e3"].setDisconnected(true)
		cut(true)
		revision, err := entries[0].Propose(s.ctx, poolChange("desk", 9), nil)
		is.NoErr(err)
		time.Sleep(2 * time.Hour)
		is.Equal(entries[1].Catalog().Revision(), revision)
		is.Equal(entries[2].Catalog().Revision(), revision-1) // keeps its configuration
		sink := &fakeSink{}
		_, err = entries[2].Generate(s.ctx, quoteRequest(), sink)
		is.NoErr(err) // serves with its old configuration
		is.Equal(len(sink.indexes), 5)
		for _, z := range entries[0].ZoneStates(time.Now()) {
			is.Equal(z.Fresh(time.Now()), z.Zone != "az3")
		}
		readsBefore := s.store.reads.Load()
		cut(false)
		time.Sleep(3 * time.Second)
		is.Equal(entries[2].Catalog().Revision(), revision) // from its peers alone
		s.stores["e3"].setDisconnected(false)
		time.Sleep(10 * time.Second)
		is.True(s.store.reads.Load()-readsBefore < 20) // no burst of reads when the platform is back
	})
}

// TestAcceptedIsInForceWithin3s checks that an accepted change is in force at all entries within 3 s
// while the platform fails for all zones but the writer's.
func TestAcceptedIsInForceWithin3s(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		s.stores["e2"].setDisconnected(true)
		s.stores["e3"].setDisconnected(true)
		for n := range 10 {
			revision, err := entries[0].Propose(s.ctx, poolChange("desk", n+1), nil)
			is.NoErr(err)
			time.Sleep(3 * time.Second)
			for _, e := range entries {
				is.Equal(e.Catalog().Revision(), revision)
			}
		}
	})
}

// TestFreshEntryWithThePlatformDown checks that a new entry starts with its peers' configuration
// while the platform is down, and that an entry that reaches neither isn't ready.
func TestFreshEntryWithThePlatformDown(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		s.store.setDown(true)
		fresh := s.addEntry("e4", "az1")
		time.Sleep(5 * time.Second)
		is.True(fresh.Ready())
		is.Equal(fresh.Catalog().Revision(), entries[0].Catalog().Revision())
		unavailableHosts := &fakeHosts{down: true}
		isolated := New(Settings{Self: member.Entry{ID: "e5", Zone: "az9"}}, Dependencies{
			Store: s.store, Hosts: unavailableHosts, Peers: s.peers["e4"], Engines: s.engines, Services: s.services,
		})
		s.running.Go(func() { isolated.Run(s.ctx) })
		time.Sleep(time.Minute)
		is.True(!isolated.Ready())
		_, err := isolated.Generate(s.ctx, quoteRequest(), &fakeSink{})
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeNotReady)
		is.Equal(failure.RunState, NotRun)
	})
}

// TestOutageRefusesChanges checks that a change proposed during an outage of the platform fails with
// ErrNotAccepted and never comes into force.
func TestOutageRefusesChanges(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		before := entries[0].Catalog().Revision()
		s.store.setDown(true)
		_, err := entries[0].Propose(s.ctx, poolChange("desk", 3), nil)
		is.True(errors.Is(err, ErrNotAccepted))
		s.store.setDown(false)
		time.Sleep(time.Minute)
		for _, e := range entries {
			is.Equal(e.Catalog().Revision(), before)
		}
	})
}

// TestLostAnswerThenOutage checks that a change fails with ErrOutcomeUnknown if the platform's answer
// is lost and the platform is then down. Once the platform is back, the change, which was written,
// must be in force at all entries, once.
func TestLostAnswerThenOutage(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		before := entries[0].Catalog().Revision()
		s.store.mu.Lock()
		s.store.faultFor = func(string) writeFault {
			s.store.down = true
			return faultAnswerLost
		}
		s.store.mu.Unlock()
		_, err := entries[0].Propose(s.ctx, poolChange("desk", 77), nil)
		is.True(errors.Is(err, ErrOutcomeUnknown))
		s.store.mu.Lock()
		s.store.faultFor = nil
		s.store.mu.Unlock()
		s.store.setDown(false)
		time.Sleep(time.Minute)
		for _, e := range entries {
			is.Equal(e.Catalog().Revision(), before+1)
			pool, _ := e.Catalog().Pool("desk")
			is.Equal(pool.QueueLimit, 77)
		}
	})
}

// TestSnapshotBoundsCatchUp checks that a new entry reads the snapshot and only the log entries
// after it.
func TestSnapshotBoundsCatchUp(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		for n := range revisionsPerSnapshot + 20 {
			_, err := entries[0].Propose(s.ctx, poolChange("desk", n+1), nil)
			is.NoErr(err)
		}
		time.Sleep(5 * time.Second)
		before := s.store.reads.Load()
		fresh := newConfiguration(entries[0])
		_, err := fresh.catchUp(s.ctx)
		is.NoErr(err)
		is.Equal(fresh.Catalog().Revision(), entries[0].Catalog().Revision())
		is.True(s.store.reads.Load()-before < 40)
	})
}

// TestLostChangeIsRewrittenAfterRestore checks that an accepted change that the platform has lost in
// a restore is written to the log again and stays in force at all entries.
func TestLostChangeIsRewrittenAfterRestore(t *testing.T) {
	for name, c := range map[string]struct {
		// overtaken has other writes raise the platform's index again, so that it hasn't fallen; era
		// has the platform report its era.
		overtaken, era bool
	}{
		"the index falls": {}, "the index has caught up, the era tells": {overtaken: true, era: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
				is := is.New(t)
				if c.era {
					s.store.mu.Lock()
					s.store.era = 1
					s.store.mu.Unlock()
					time.Sleep(time.Minute)
				}
				items, index := s.store.snapshot()
				accepted, err := entries[0].Propose(t.Context(), poolChange("lost", 3), nil)
				is.NoErr(err)
				time.Sleep(2 * time.Second)
				if c.overtaken {
					index += 10
				}
				s.store.restore(items, index)
				time.Sleep(time.Minute)
				is.Equal(len(s.store.configLog()), int(accepted))
				next, err := entries[1].Propose(t.Context(), poolChange("next", 4), nil)
				is.NoErr(err)
				is.Equal(next, accepted+1)
				time.Sleep(2 * time.Second)
				for _, e := range entries {
					is.Equal(e.Catalog().Revision(), next)
					_, found := e.Catalog().Get(resource.EnginePools, "lost")
					is.True(found)
				}
			})
		})
	}
}

// TestLogDivergesAfterARestore checks that all entries follow the log if another change has taken
// the revision of a change that was lost in a restore.
func TestLogDivergesAfterARestore(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		items, index := s.store.snapshot()
		accepted, err := entries[0].Propose(t.Context(), poolChange("lost", 3), nil)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		text, err := json.Marshal(resource.LogEntry{Revision: accepted, Operation: "another", Changes: []resource.Change{poolChange("other", 5)}})
		is.NoErr(err)
		items[logKey(accepted)] = Item{Value: text, Version: Version(index + 1)}
		s.store.restore(items, index)
		time.Sleep(time.Minute)
		for _, e := range entries {
			is.Equal(e.Catalog().Revision(), accepted)
			_, found := e.Catalog().Get(resource.EnginePools, "other")
			is.True(found)
		}
	})
}
