// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedpath/shedpath/claim"
	"github.com/shedpath/shedpath/internal/golden"
	"github.com/shedpath/shedpath/resource"
)

// TestGoldenStored pins what an entry keeps on the platform: the keys and values of the
// configuration's log and snapshot, of claims and of the order lease, and the ids that callers keep.
func TestGoldenStored(t *testing.T) {
	b := golden.Open(t, "stored")
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSite(t.Context())
		e := New(Settings{}, Dependencies{Store: s.store, Claims: s.store, Outcomes: s.store, Hosts: s.hosts, Engines: s.engines, Services: s.services, Leases: &s.leases})
		changes := []resource.Change{
			{Kind: resource.Routes, Name: "r", Spec: json.RawMessage(`{"model":"m"}`)}, {Kind: resource.Models, Name: "m", Delete: true},
		}
		entry := resource.LogEntry{Revision: 1, Operation: "operation-1", Changes: changes}
		c := e.config
		if outcome, err := c.appendEntry(t.Context(), t.Context(), entry); outcome != appended || err != nil {
			t.Fatal(outcome, err)
		}
		if err := c.writeSnapshot(t.Context(), c.Catalog()); err != nil {
			t.Fatal(err)
		}
		account, route := resource.Account("account-1"), resource.Name("route-1")
		key := claim.Key(account, route, "key-1")
		record := claim.Record{Claimant: "claimant-1", RequestHash: claim.RequestHash("POST", "/path", []byte("body")), ClaimedAt: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)}
		e.createClaim(t.Context(), key, claim.NewAttempt(record, record.ClaimedAt))
		stored := func(name, key string) []byte {
			return []byte(b.Text(name, key+"\n"+string(s.store.items[key].Value))[len(key)+1:])
		}
		text := stored("entry of the log", logKey(1))
		got, err := decodeEntry(1, text)
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, "entry of the log", got, entry)
		catalog := c.Catalog().Snapshot()
		s.store.items[snapshotKey] = Item{Value: stored("snapshot", snapshotKey), Version: 2}
		other := New(Settings{}, Dependencies{Store: s.store, Hosts: s.hosts, Claims: s.store, Engines: s.engines, Services: s.services}).config
		if err := other.readSnapshot(t.Context()); err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, "snapshot", other.Catalog().Snapshot(), catalog)

		s.store.items[key] = Item{Value: stored("claim", key), Version: 3}
		second := claim.NewAttempt(claim.Record{Claimant: "claimant-2"}, record.ClaimedAt.Add(time.Hour))
		second.CreateFinished(claim.OutcomeUnknown, false)
		e.readClaim(t.Context(), key, second)
		golden.Equal(t, "claim", second.ConflictingClaim(), record)
		e.recordOutcome(&recentClaim{key: key, record: record}, 201)
		synctest.Wait()
		record.Status = 201
		s.store.items[key] = Item{Value: stored("claim with an outcome", key), Version: 4}
		e.readClaim(t.Context(), key, second)
		golden.Equal(t, "claim with an outcome", second.ConflictingClaim(), record)
		b.Text("key of the order lease", orderLeaseKey("zone-1"))
		at := runLocation{"engine-1", "run-1", account, route}
		id := GenerationID(strings.TrimSpace(b.Text("generation's id", string(newGenerationID([]byte("key"), at)))))
		place, err := id.decode([]byte("key"))
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, "generation's id", place, at)
		golden.Equal(t, "event's id", id.EventID(7), string(id)+":7")
	})
}
