// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/resource"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// pendingCreate is a create in flight to the platform, which may take effect
// much later.
type pendingCreate struct {
	record Record
}

// TestOneSender checks that at most one of several attempts at one key ever
// gets the step Send. The attempts are interleaved with pauses past every
// deadline, and the platform refuses creates, drops them, loses their answers
// or executes them late.
func TestOneSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored *Record
		var delayed []pendingCreate
		now := start
		senders := map[string]bool{}
		var attempts []*Attempt
		for i := range rapid.IntRange(1, 4).Draw(t, "attempts") {
			record := Record{Claimant: fmt.Sprint(i), RequestHash: "r"}
			attempts = append(attempts, NewAttempt(record, now.Add(time.Second)))
		}
		create := func(r Record) bool {
			if stored != nil {
				return false
			}
			stored = &r
			return true
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "pause") == 0 {
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Hour}).Draw(t, "for"))
			}
			if len(delayed) > 0 && rapid.Bool().Draw(t, "land") {
				create(delayed[0].record)
				delayed = delayed[1:]
			}
			a := attempts[rapid.IntRange(0, len(attempts)-1).Draw(t, "who")]
			switch a.Next(now) {
			case Create:
				switch rapid.SampledFrom([]string{"done", "refused", "lost", "late", "dropped"}).Draw(t, "create") {
				case "done":
					a.CreateFinished(Answered, create(a.Record()))
				case "refused":
					a.CreateFinished(NotSent, false)
				case "lost":
					create(a.Record())
					a.CreateFinished(OutcomeUnknown, false)
				case "late":
					delayed = append(delayed, pendingCreate{a.Record()})
					a.CreateFinished(OutcomeUnknown, false)
				case "dropped":
					a.CreateFinished(OutcomeUnknown, false)
				}
			case Read:
				if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
					a.ReadFinished(OutcomeUnknown, false, Record{})
					continue
				}
				read := Record{}
				if stored != nil {
					read = *stored
				}
				a.ReadFinished(Answered, stored != nil, read)
			case Send:
				senders[a.Record().Claimant] = true
			case RejectDuplicate:
				if a.ConflictingClaim().Claimant == a.Record().Claimant {
					t.Fatalf("attempt %s is rejected as a duplicate of its own claim", a.Record().Claimant)
				}
			case GiveUp:
				if a.Next(start) == Send {
					t.Fatalf("attempt %s may send after it gave up", a.Record().Claimant)
				}
			}
		}
		if len(senders) > 1 {
			t.Fatalf("%d attempts may send the call, expected at most one", len(senders))
		}
	})
}

func TestAttempt(t *testing.T) {
	is := is.New(t)
	a := NewAttempt(Record{Claimant: "a"}, start.Add(time.Second))
	is.Equal(a.Next(start), Create)
	a.CreateFinished(NotSent, false)
	is.Equal(a.Next(start), Create) // the create had no effect: repeat it
	is.True(!a.MayHaveClaimed())
	a.CreateFinished(OutcomeUnknown, false)
	is.Equal(a.Next(start), Read)
	is.True(a.MayHaveClaimed())
	a.ReadFinished(Answered, false, Record{})
	is.Equal(a.Next(start), Create) // the key doesn't exist: repeat the create
	a.CreateFinished(Answered, false)
	is.Equal(a.Next(start), Read)
	a.ReadFinished(Answered, true, Record{Claimant: "a"})
	is.Equal(a.Next(start), Send)                      // the key holds this attempt's own claim
	is.Equal(a.Next(start.Add(2*time.Second)), GiveUp) // the deadline has passed
	is.Equal(a.Next(start), GiveUp)                    // giving up is final
}

func TestKeysDiffer(t *testing.T) {
	is := is.New(t)
	keys := map[string]bool{}
	for _, account := range []string{"a", "b"} {
		for _, route := range []string{"r", "s"} {
			for _, key := range []string{"1", "2"} {
				keys[Key(resource.Name(account), resource.Name(route), key)] = true
			}
		}
	}
	is.Equal(len(keys), 8)
}

// TestRecheck checks that an attempt that held the claim doesn't send if the platform has lost the
// claim meanwhile and another attempt has made one.
func TestRecheck(t *testing.T) {
	for name, tt := range map[string]struct {
		found  bool
		stored Record
		want   Step
	}{
		"still held":      {true, Record{Claimant: "a"}, Send},
		"held by another": {true, Record{Claimant: "b"}, RejectDuplicate},
		"lost":            {false, Record{}, Create},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewAttempt(Record{Claimant: "a"}, start.Add(time.Second))
			a.CreateFinished(Answered, true)
			is.Equal(a.Next(start), Send)
			a.Recheck()
			is.Equal(a.Next(start), Read)
			a.ReadFinished(Answered, tt.found, tt.stored)
			is.Equal(a.Next(start), tt.want)
		})
	}
}
