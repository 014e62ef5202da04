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

func poolChange(name resource.Name, limit int) resource.Change {
	return resource.Change{
		Kind: resource.EnginePools, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"queueLimit":%d}`, limit)),
	}
}

// TestConfigurationUnderFaults has several entries write through a platform
// that refuses writes, loses them and loses their answers. What was accepted is
// in the log exactly once under the revision that was told, what was refused
// isn't there, and every entry ends at the same catalog.
func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]writeFault{
			faultNone, faultNone, faultNotSent, faultLost, faultLost, faultDropped,
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

// proposeResult is what one writer was proposeResult of one change.
type proposeResult struct {
	change   resource.Change
	revision resource.Revision
	err      error
}

func writeUnderFaults(t *testing.T, faults []writeFault, writers, perWriter int) error {
	ctx, cancel := context.WithCancel(t.Context())
	s := newFakeSite(ctx)
	defer s.wait.Wait()
	defer cancel()
	calls := 0
	s.store.fault = func(string) writeFault {
		calls++
		if calls > len(faults) {
			return faultNone
		}
		return faults[calls-1]
	}
	var entries []*Entry
	for i := range writers {
		entries = append(entries, s.add(member.HostID(fmt.Sprintf("e%d", i)), "az1"))
	}
	var mu sync.Mutex
	var all []proposeResult
	var writing sync.WaitGroup
	for i, e := range entries {
		writing.Go(func() {
			for n := range perWriter {
				c := poolChange(resource.Name(fmt.Sprintf("p%d-%d", i, n)), n+1)
				revision, err := e.Propose(ctx, c, nil)
				mu.Lock()
				all = append(all, proposeResult{c, revision, err})
				mu.Unlock()
			}
		})
	}
	writing.Wait()
	time.Sleep(8 * time.Second)
	if err := checkAgainstLog(all, s.store.log()); err != nil {
		return err
	}
	for _, e := range entries {
		if got, want := e.Catalog().Revision(), resource.Revision(len(s.store.log())); got != want {
			return fmt.Errorf("an entry is at revision %d, the log at %d", got, want)
		}
	}
	return nil
}

func checkAgainstLog(all []proposeResult, log []resource.LogEntry) error {
	at := map[resource.Name][]resource.Revision{}
	for _, e := range log {
		for _, c := range e.Changes {
			at[c.Name] = append(at[c.Name], e.Revision)
		}
	}
	for _, one := range all {
		there := at[one.change.Name]
		switch {
		case one.err == nil && (len(there) != 1 || there[0] != one.revision):
			return fmt.Errorf("%s was accepted at %d; the log has it at %v", one.change.Name, one.revision, there)
		case errors.Is(one.err, ErrNotAccepted) && len(there) != 0:
			return fmt.Errorf("%s was refused; the log has it at %v", one.change.Name, there)
		case len(there) > 1:
			return fmt.Errorf("%s is in the log %d times", one.change.Name, len(there))
		}
	}
	return nil
}

// runInThreeZones runs a test with one entry in each of three zones, configured.
func runInThreeZones(t *testing.T, test func(t *testing.T, s *fakeSite, entries []*Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeSite(ctx)
		defer s.wait.Wait()
		defer cancel()
		var entries []*Entry
		for i := range 3 {
			entries = append(entries, s.add(member.HostID(fmt.Sprintf("e%d", i+1)), member.Zone(fmt.Sprintf("az%d", i+1))))
		}
		s.engines.scripts = []script{{events: append(tokens(1, 5), ended(5))}}
		s.addEngine("g3", "az3")
		if err := s.declare(entries[0]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		test(t, s, entries)
	})
}

// TestTwoOperatorsOneResource lets one win and tells the other what is there.
func TestTwoOperatorsOneResource(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		there, _ := entries[0].Catalog().Get(resource.EnginePools, "desk")
		results := make(chan error, 2)
		for i, e := range entries[:2] {
			go func() {
				_, err := e.Propose(s.ctx, poolChange("desk", 100+i), &there.Revision)
				results <- err
			}()
		}
		var conflict *Conflict
		var lost int
		for range 2 {
			if err := <-results; err != nil {
				is.True(errors.As(err, &conflict))
				lost++
			}
		}
		is.Equal(lost, 1)
		is.True(conflict.Current.Revision > there.Revision)
	})
}

// TestPausedWriter has a writer with an old view lose: it finds the revision
// taken, takes in what is there and is told of the conflict.
func TestPausedWriter(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		there, _ := entries[0].Catalog().Get(resource.EnginePools, "desk")
		paused := newConfiguration(entries[0])
		paused.applySnapshot(entries[0].Catalog().Snapshot())
		_, err := entries[1].Propose(s.ctx, poolChange("desk", 7), nil)
		is.NoErr(err)
		p := &proposal{ctx: s.ctx, change: poolChange("desk", 8), expectedRevision: &there.Revision, result: make(chan proposalResult, 1)}
		held := paused.writeGroup(s.ctx, []*proposal{p})
		is.Equal(len(held), 1) // the race is lost
		is.Equal(len(paused.writeGroup(s.ctx, held)), 0)
		var conflict *Conflict
		is.True(errors.As((<-p.result).err, &conflict))
	})
}

// TestPartitionedZone cuts a zone off from the platform and the others for hours. It
// keeps its configuration, says so, and has the new one within 3 s of being
// back; the others' status says that it isn't known there.
func TestPartitionedZone(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		cut := func(cut bool) {
			for id, p := range s.peers {
				for other := range s.entries {
					if (id == "e3") != (other == "e3") {
						p.setCut(other, cut)
					}
				}
			}
		}
		s.stores["e3"].set(true)
		cut(true)
		revision, err := entries[0].Propose(s.ctx, poolChange("desk", 9), nil)
		is.NoErr(err)
		time.Sleep(2 * time.Hour)
		is.Equal(entries[1].Catalog().Revision(), revision)
		is.Equal(entries[2].Catalog().Revision(), revision-1) // never lower
		sink := &fakeSink{}
		_, err = entries[2].Generate(s.ctx, quote(), sink)
		is.NoErr(err) // serves on what it has
		is.Equal(len(sink.got), 5)
		for _, z := range entries[0].ZoneStates(time.Now()) {
			is.Equal(z.Fresh(time.Now()), z.Zone != "az3")
		}
		readsBefore := s.store.reads.Load()
		cut(false)
		time.Sleep(3 * time.Second)
		is.Equal(entries[2].Catalog().Revision(), revision) // by its peers alone
		s.stores["e3"].set(false)
		time.Sleep(10 * time.Second)
		is.True(s.store.reads.Load()-readsBefore < 20) // no storm on the platform
	})
}

// TestAcceptedIsInForceWithin3s changes the configuration while the platform's
// watch fails for all but the writer's zone.
func TestAcceptedIsInForceWithin3s(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		s.stores["e2"].set(true)
		s.stores["e3"].set(true)
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

// TestFreshEntryWithThePlatformDown starts from its peers, and says that it
// isn't ready with neither.
func TestFreshEntryWithThePlatformDown(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		s.store.setDown(true)
		fresh := s.add("e4", "az1")
		time.Sleep(5 * time.Second)
		is.True(fresh.Ready())
		is.Equal(fresh.Catalog().Revision(), entries[0].Catalog().Revision())
		alone := &fakeHosts{down: true}
		lonely := New(Settings{Self: member.Entry{ID: "e5", Zone: "az9"}}, Dependencies{
			Store: s.store, Hosts: alone, Peers: s.peers["e4"], Engines: s.engines, Services: s.services,
		})
		s.wait.Go(func() { lonely.Run(s.ctx) })
		time.Sleep(time.Minute)
		is.True(!lonely.Ready())
		_, err := lonely.Generate(s.ctx, quote(), &fakeSink{})
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeNotReady)
		is.Equal(failure.RunState, NotRun)
	})
}

// TestOutageRefusesChanges tells an operator during an outage that the change
// was not accepted, and it never appears.
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

// TestLostAnswerThenOutage tells an operator that the change may have been
// accepted when its answer is lost and the platform then stays away; once it is
// back, the change that landed is in force everywhere, once.
func TestLostAnswerThenOutage(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		before := entries[0].Catalog().Revision()
		s.store.mu.Lock()
		s.store.fault = func(string) writeFault {
			s.store.down = true
			return faultLost
		}
		s.store.mu.Unlock()
		_, err := entries[0].Propose(s.ctx, poolChange("desk", 77), nil)
		is.True(errors.Is(err, ErrOutcomeUnknown))
		s.store.mu.Lock()
		s.store.fault = nil
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

// TestSnapshotBoundsCatchUp has a fresh entry read the snapshot and only the
// entries after it.
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

// TestLostChangeIsRewrittenAfterRestore: what was accepted is written again, and stays in force at all entries.
func TestLostChangeIsRewrittenAfterRestore(t *testing.T) {
	for name, c := range map[string]struct {
		// overtaken has other writes catch up with the index; era has the platform tell it.
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
				items, index := s.store.copy()
				accepted, err := entries[0].Propose(t.Context(), poolChange("lost", 3), nil)
				is.NoErr(err)
				time.Sleep(2 * time.Second)
				if c.overtaken {
					index += 10
				}
				s.store.restore(items, index)
				time.Sleep(time.Minute)
				is.Equal(len(s.store.log()), int(accepted))
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

// TestLogDivergesAfterARestore: where another change has taken a lost one's revision, all entries follow the log.
func TestLogDivergesAfterARestore(t *testing.T) {
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		is := is.New(t)
		items, index := s.store.copy()
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
