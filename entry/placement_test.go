// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// withTwoEntries runs a test with two entries of one zone and an engine. It passes the entry that
// coordinates the pool first.
func withTwoEntries(t *testing.T, test func(t *testing.T, s *fakeSite, coordinator, other *Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeSite(ctx)
		defer s.running.Wait()
		defer cancel()
		one, two := s.addEntry("e1", "az1"), s.addEntry("e2", "az1")
		s.engines.scripts = []script{{events: append(tokenEvents(1, 5), endEvent(5))}}
		s.addEngine("g1", "az1")
		if err := s.declareSampleConfig(one); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if one.members.Coordinator(time.Now(), "desk").ID == two.self.ID {
			one, two = two, one
		}
		test(t, s, one, two)
	})
}

// startHeldGeneration starts a generation whose stream stays open until release is called. It
// returns once the generation runs.
func startHeldGeneration(s *fakeSite, e *Entry) (ended <-chan error, release func()) {
	hold, done := make(chan struct{}), make(chan error)
	s.engines.mu.Lock()
	s.engines.holdOpen = hold
	s.engines.mu.Unlock()
	go func() {
		_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
		done <- err
	}()
	time.Sleep(time.Second)
	return done, func() { close(hold) }
}

// placedRuns returns the number of runs that hold a place in an entry's pool.
func placedRuns(e *Entry) (placed int) {
	_ = e.placement.do(context.Background(), func(time.Time) { placed = e.placement.state("desk").pool.Running() })
	return placed
}

func TestCoordinatorPlaces(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		ended, release := startHeldGeneration(s, other)
		is.Equal(placedRuns(coordinator), 1)
		is.Equal(placedRuns(other), 0)
		release()
		is.NoErr(<-ended)
		time.Sleep(time.Second)
		is.Equal(placedRuns(coordinator), 0) // it received the report of the end
	})
}

// TestFrozenCoordinator checks that a frozen coordinator delays one generation by at most
// placeTimeout and a placement interval, and the next generation not at all, because the entry then
// decides itself.
func TestFrozenCoordinator(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		s.peers[other.self.ID].setFrozen(coordinator.self.ID)
		start := time.Now()
		_, err := other.Generate(s.ctx, quoteRequest(), &fakeSink{})
		is.NoErr(err)
		is.True(time.Since(start) <= placeTimeout+placementInterval)
		start = time.Now()
		_, err = other.Generate(s.ctx, quoteRequest(), &fakeSink{})
		is.NoErr(err)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// TestLatePlaceIsGivenBack makes the coordinator grant a place after the entry timed out and
// decided itself. A place that isn't given back would never be freed.
func TestLatePlaceIsGivenBack(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		s.peers[other.self.ID].setAnswersLate(coordinator.self.ID)
		_, err := other.Generate(s.ctx, quoteRequest(), &fakeSink{})
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.Equal(placedRuns(coordinator), 0)
	})
}

// TestEndBeforePlace makes the report that a run ended overtake the request for its place. The
// request must be refused, or its place would never be freed.
func TestEndBeforePlace(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		is.NoErr(coordinator.OnFinished(s.ctx, "desk", []policy.Finish{{Run: "r"}}))
		decisions, err := coordinator.OnPlace(s.ctx, other.self.ID, "desk", []policy.Request{{Run: "r", PromptTokens: 1, Deadline: time.Now().Add(time.Minute)}})
		is.NoErr(err)
		is.Equal(decisions[0].Verdict, policy.Refused)
		is.Equal(placedRuns(coordinator), 0)
	})
}

// TestDeadCoordinator checks that the other entry becomes the coordinator, and places generations,
// within 2 s after the coordinator died.
func TestDeadCoordinator(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		other.OnLinkDown(coordinator.self.ID)
		s.peers[other.self.ID].setLinkDown(coordinator.self.ID, true)
		s.peers[coordinator.self.ID].setLinkDown(other.self.ID, true)
		time.Sleep(2 * time.Second)
		is.Equal(other.members.Coordinator(time.Now(), "desk").ID, other.self.ID)
		_, err := other.Generate(s.ctx, quoteRequest(), &fakeSink{})
		is.NoErr(err)
	})
}

// TestNewCoordinatorLearnsOfRuns checks that a new coordinator receives the runs that are in
// progress.
func TestNewCoordinatorLearnsOfRuns(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		ended, release := startHeldGeneration(s, coordinator)
		go coordinator.Stop(s.ctx, time.Minute)
		time.Sleep(2 * time.Second)
		is.Equal(other.members.Coordinator(time.Now(), "desk").ID, other.self.ID)
		is.Equal(placedRuns(other), 1)
		release()
		is.NoErr(<-ended)
		time.Sleep(time.Second)
		is.Equal(placedRuns(other), 0)
	})
}

// TestOtherZoneTakesOver checks that a generation is placed in another zone when its own zone has
// no engine left.
func TestOtherZoneTakesOver(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		far := s.addEntry("e3", "az2")
		s.addEngine("g2", "az2")
		time.Sleep(10 * time.Second)
		is.NoErr(proposeDrain(s, coordinator, "g1"))
		time.Sleep(3 * time.Second)
		for _, e := range []*Entry{coordinator, other} {
			_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
			is.NoErr(err)
		}
		s.engines.mu.Lock()
		is.Equal(s.engines.started["g2"], 2)
		s.engines.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(placedRuns(far), 0)
	})
}

// TestDeadEntrysRunsAreFreed checks that the places of a dead entry's runs are freed.
func TestDeadEntrysRunsAreFreed(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		ended, release := startHeldGeneration(s, other)
		is.Equal(placedRuns(coordinator), 1)
		for id, p := range s.peers {
			for peer := range s.peers {
				p.setLinkDown(peer, id != peer)
			}
		}
		time.Sleep(2 * member.SuspectTimeout)
		is.Equal(placedRuns(coordinator), 0)
		release()
		is.NoErr(<-ended)
	})
}

// TestBrokenLinkKeepsPlaces breaks a link for a moment. The entry behind it is alive, so its runs
// must keep their places.
func TestBrokenLinkKeepsPlaces(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		ended, release := startHeldGeneration(s, other)
		is.Equal(placedRuns(coordinator), 1)
		coordinator.OnLinkDown(other.self.ID)
		time.Sleep(2 * membersInterval)
		is.Equal(placedRuns(coordinator), 1)
		release()
		is.NoErr(<-ended)
	})
}

// TestAbandonedCommands cancels callers' contexts while the placement goroutine executes their
// commands. A command that runs late must not write variables that its caller still reads. Only the
// race detector finds such a fault.
func TestAbandonedCommands(t *testing.T) {
	e := New(Settings{Self: member.Entry{ID: "e1", Zone: "az1"}}, Dependencies{})
	e.config.apply(resource.LogEntry{Revision: 1, Changes: []resource.Change{poolChange("desk", 1)}})
	e.placement.drainCommands()
	e.placement.state("desk")
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case command := <-e.placement.commands:
				command(time.Now())
			}
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 500 {
		_ = e.placement.coordinatedPoolStatuses(ctx)
		_, _ = e.placement.OnPlace(ctx, "e2", "desk", []policy.Request{{Run: "r"}})
	}
	close(stop)
	<-done
}
