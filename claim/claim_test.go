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

// pendingCreate is a create on its way to the platform, which may land much later.
type pendingCreate struct {
	record Record
}

// TestOneSender interleaves several attempts at one key with a platform that
// refuses creates, loses them, loses their answers and lands them late, and
// with pauses past every deadline. At most one attempt is ever told to send.
func TestOneSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored *Record
		var late []pendingCreate
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
			if len(late) > 0 && rapid.Bool().Draw(t, "land") {
				create(late[0].record)
				late = late[1:]
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
					late = append(late, pendingCreate{a.Record()})
					a.CreateFinished(OutcomeUnknown, false)
				case "dropped":
					a.CreateFinished(OutcomeUnknown, false)
				}
			case Read:
				if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
					a.ReadFinished(OutcomeUnknown, false, Record{})
					continue
				}
				there := Record{}
				if stored != nil {
					there = *stored
				}
				a.ReadFinished(Answered, stored != nil, there)
			case Send:
				senders[a.Record().Claimant] = true
			case RejectDuplicate:
				if a.ConflictingClaim().Claimant == a.Record().Claimant {
					t.Fatal("told of its own claim")
				}
			case GiveUp:
				if a.Next(start) == Send {
					t.Fatal("sends after it gave up")
				}
			}
		}
		if len(senders) > 1 {
			t.Fatalf("%d attempts may send", len(senders))
		}
	})
}

func TestAttempt(t *testing.T) {
	is := is.New(t)
	a := NewAttempt(Record{Claimant: "a"}, start.Add(time.Second))
	is.Equal(a.Next(start), Create)
	a.CreateFinished(NotSent, false)
	is.Equal(a.Next(start), Create) // nothing happened: again
	is.True(!a.MayHaveClaimed())
	a.CreateFinished(OutcomeUnknown, false)
	is.Equal(a.Next(start), Read)
	is.True(a.MayHaveClaimed())
	a.ReadFinished(Answered, false, Record{})
	is.Equal(a.Next(start), Create) // the same create again
	a.CreateFinished(Answered, false)
	is.Equal(a.Next(start), Read)
	a.ReadFinished(Answered, true, Record{Claimant: "a"})
	is.Equal(a.Next(start), Send)                      // it was ours
	is.Equal(a.Next(start.Add(2*time.Second)), GiveUp) // woken too late
	is.Equal(a.Next(start), GiveUp)                    // and for good
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
