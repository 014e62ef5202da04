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

// inPair runs a test with two entries of one zone and an engine; the first
// returned coordinates the pool.
func inPair(t *testing.T, test func(t *testing.T, s *fakeSite, coordinator, other *Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeSite(ctx)
		defer s.wait.Wait()
		defer cancel()
		one, two := s.add("e1", "az1"), s.add("e2", "az1")
		s.engines.scripts = []script{{events: append(tokens(1, 5), ended(5))}}
		s.addEngine("g1", "az1")
		if err := s.declare(one); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if one.members.Coordinator(time.Now(), "desk").ID == two.self.ID {
			one, two = two, one
		}
		test(t, s, one, two)
	})
}

// beginHeld starts a generation whose stream stays open until release, and waits
// until it runs.
func beginHeld(s *fakeSite, e *Entry) (ended <-chan error, release func()) {
	hold, done := make(chan struct{}), make(chan error)
	s.engines.mu.Lock()
	s.engines.hold = hold
	s.engines.mu.Unlock()
	go func() {
		_, err := e.Generate(s.ctx, quote(), &fakeSink{})
		done <- err
	}()
	time.Sleep(time.Second)
	return done, func() { close(hold) }
}

// placedAt is how many runs an entry's pool holds.
func placedAt(e *Entry) (placed int) {
	_ = e.placement.do(context.Background(), func(time.Time) { placed = e.placement.state("desk").pool.Running() })
	return placed
}

func TestCoordinatorPlaces(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		ended, release := beginHeld(s, other)
		is.Equal(placedAt(coordinator), 1)
		is.Equal(placedAt(other), 0)
		release()
		is.NoErr(<-ended)
		time.Sleep(time.Second)
		is.Equal(placedAt(coordinator), 0) // it was told of the end
	})
}

// TestFrozenCoordinator costs a generation 30 ms, the next ones nothing, and the
// entry takes the duty over.
func TestFrozenCoordinator(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		s.peers[other.self.ID].setFrozen(coordinator.self.ID)
		asked := time.Now()
		_, err := other.Generate(s.ctx, quote(), &fakeSink{})
		is.NoErr(err)
		is.True(time.Since(asked) <= answerWithin+placementTick)
		asked = time.Now()
		_, err = other.Generate(s.ctx, quote(), &fakeSink{})
		is.NoErr(err)
		is.Equal(time.Since(asked), time.Duration(0))
	})
}

// TestLatePlaceIsGivenBack has the coordinator grant a place after the entry gave
// it up and decided alone: nobody would ever free that place.
func TestLatePlaceIsGivenBack(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		s.peers[other.self.ID].setLate(coordinator.self.ID)
		_, err := other.Generate(s.ctx, quote(), &fakeSink{})
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.Equal(placedAt(coordinator), 0)
	})
}

// TestEndBeforePlace has the word that a place isn't wanted overtake the request
// for it.
func TestEndBeforePlace(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		is.NoErr(coordinator.OnFinished(s.ctx, "desk", []policy.Finish{{Run: "r"}}))
		decisions, err := coordinator.OnPlace(s.ctx, other.self.ID, "desk", []policy.Request{{Run: "r", PromptTokens: 1, Deadline: time.Now().Add(time.Minute)}})
		is.NoErr(err)
		is.Equal(decisions[0].Verdict, policy.Refused)
		is.Equal(placedAt(coordinator), 0)
	})
}

// TestDeadCoordinator has the other entry take the duty at the next heartbeat,
// and the runs that the dead one's callers had are freed.
func TestDeadCoordinator(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		other.OnLinkDown(coordinator.self.ID)
		s.peers[other.self.ID].setCut(coordinator.self.ID, true)
		s.peers[coordinator.self.ID].setCut(other.self.ID, true)
		time.Sleep(2 * time.Second)
		is.Equal(other.members.Coordinator(time.Now(), "desk").ID, other.self.ID)
		_, err := other.Generate(s.ctx, quote(), &fakeSink{})
		is.NoErr(err)
	})
}

// TestNewCoordinatorLearnsOfRuns tells a coordinator that took over of the runs
// that are under way.
func TestNewCoordinatorLearnsOfRuns(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		ended, release := beginHeld(s, coordinator)
		go coordinator.Stop(s.ctx, time.Minute)
		time.Sleep(2 * time.Second)
		is.Equal(other.members.Coordinator(time.Now(), "desk").ID, other.self.ID)
		is.Equal(placedAt(other), 1)
		release()
		is.NoErr(<-ended)
		time.Sleep(time.Second)
		is.Equal(placedAt(other), 0)
	})
}

// TestOtherZoneTakesOver sends a generation to another zone when its own has no
// engine left.
func TestOtherZoneTakesOver(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		far := s.add("e3", "az2")
		s.addEngine("g2", "az2")
		time.Sleep(10 * time.Second)
		is.NoErr(drain(s, coordinator, "g1"))
		time.Sleep(3 * time.Second)
		for _, e := range []*Entry{coordinator, other} {
			_, err := e.Generate(s.ctx, quote(), &fakeSink{})
			is.NoErr(err)
		}
		s.engines.mu.Lock()
		is.Equal(s.engines.started["g2"], 2)
		s.engines.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(placedAt(far), 0)
	})
}

// TestDeadEntrysRunsAreFreed frees the places of an entry that died.
func TestDeadEntrysRunsAreFreed(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		ended, release := beginHeld(s, other)
		is.Equal(placedAt(coordinator), 1)
		for id, p := range s.peers {
			for peer := range s.peers {
				p.setCut(peer, id != peer)
			}
		}
		time.Sleep(2 * member.SuspectTimeout)
		is.Equal(placedAt(coordinator), 0)
		release()
		is.NoErr(<-ended)
	})
}

// TestBrokenLinkKeepsPlaces has a link break for a moment: the entry behind it
// is alive, and its runs keep their places.
func TestBrokenLinkKeepsPlaces(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, coordinator, other *Entry) {
		is := is.New(t)
		ended, release := beginHeld(s, other)
		is.Equal(placedAt(coordinator), 1)
		coordinator.OnLinkDown(other.self.ID)
		time.Sleep(2 * membersTick)
		is.Equal(placedAt(coordinator), 1)
		release()
		is.NoErr(<-ended)
	})
}

// TestGivenUpCommands has callers leave while the duty comes to their commands:
// what these write later is nothing of theirs. The race detector judges it.
func TestGivenUpCommands(t *testing.T) {
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
		_ = e.placement.status(ctx)
		_, _ = e.placement.OnPlace(ctx, "e2", "desk", []policy.Request{{Run: "r"}})
	}
	close(stop)
	<-done
}
