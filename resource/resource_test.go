// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package resource

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const validKeyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		kind   Kind
		name   Name
		spec   string
		fields []string
	}{
		"good route":                {Routes, "quote", `{"model":"m","timeout":"5s"}`, nil},
		"good service route":        {Routes, "stock", `{"service":"s","repeatable":true}`, nil},
		"good pool":                 {EnginePools, "desk", `{"objective":"tail","betweenTokens":"70ms"}`, nil},
		"empty pool":                {EnginePools, "desk", `{}`, nil},
		"good model":                {Models, "m", `{"pool":"desk","version":"1"}`, nil},
		"good adapter":              {Adapters, "a", `{"model":"m","version":"1"}`, nil},
		"good account":              {ClientAccounts, "c", `{"keyHashes":["` + validKeyHash + `"],"priority":3}`, nil},
		"good drain":                {DrainOrders, "d", `{"upstream":"g1"}`, nil},
		"good drain of a zone":      {DrainOrders, "d", `{"zone":"az1"}`, nil},
		"unknown kind":              {"routers", "x", `{}`, []string{"kind"}},
		"no name":                   {EnginePools, "", `{}`, []string{"name"}},
		"capital in the name":       {EnginePools, "Desk", `{}`, []string{"name"}},
		"long name":                 {EnginePools, Name(strings.Repeat("a", 64)), `{}`, []string{"name"}},
		"no spec":                   {EnginePools, "desk", ``, []string{"spec"}},
		"spec too large":            {EnginePools, "desk", `{"objective":"` + strings.Repeat("x", MaxSpecBytes) + `"}`, []string{"spec"}},
		"unknown field":             {EnginePools, "desk", `{"objektive":"tail"}`, []string{"spec"}},
		"bad duration":              {Routes, "r", `{"model":"m","timeout":5}`, []string{"spec"}},
		"neither model nor service": {Routes, "r", `{}`, []string{"spec"}},
		"model and service":         {Routes, "r", `{"model":"m","service":"s"}`, []string{"spec"}},
		"repeatable model route":    {Routes, "r", `{"model":"m","repeatable":true}`, []string{"spec.repeatable"}},
		"timeout too long":          {Routes, "r", `{"model":"m","timeout":"2h"}`, []string{"spec.timeout"}},
		"many at once": {
			EnginePools, "Desk", `{"objective":"x","betweenTokens":"1h","queueLimit":-1,"queueBytes":-1}`,
			[]string{"name", "spec.objective", "spec.betweenTokens", "spec.queueLimit", "spec.queueBytes"},
		},
		"model without pool and version": {Models, "m", `{"contextTokens":-1}`, []string{"spec.pool", "spec.version", "spec.contextTokens"}},
		"adapter without version":        {Adapters, "a", `{"model":"m"}`, []string{"spec.version"}},
		"account without keys":           {ClientAccounts, "c", `{"keyHashes":[]}`, []string{"spec.keyHashes"}},
		"key in place of a hash":         {ClientAccounts, "c", `{"keyHashes":["secret"]}`, []string{"spec.keyHashes[0]"}},
		"account out of bounds": {
			ClientAccounts, "c", `{"keyHashes":["` + validKeyHash + `"],"priority":101,"maxRunning":-1,"requestsPerSecond":-1}`,
			[]string{"spec.priority", "spec.maxRunning", "spec.requestsPerSecond"},
		},
		"drain without upstream": {DrainOrders, "d", `{}`, []string{"spec.upstream"}},
		"drain of two things":    {DrainOrders, "d", `{"upstream":"g1","zone":"az1"}`, []string{"spec.zone"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := Check(Change{Kind: c.kind, Name: c.name, Spec: json.RawMessage(c.spec)})
			var fields []string
			for _, f := range found {
				fields = append(fields, f.Field)
				is.True(f.Message != "")
			}
			is.Equal(fields, c.fields)
			is.Equal(found.Err() == nil, len(c.fields) == 0)
		})
	}
}

func TestFindingsAreAnError(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("wrapped: %w", Check(Change{Kind: Routes, Name: "r", Spec: json.RawMessage(`{}`)}).Err())
	var found Findings
	is.True(errors.As(err, &found))
	is.Equal(len(found), 1)
}

// drawChange draws a valid change. It uses only three names, so that changes often
// concern the same resource.
func drawChange(t *rapid.T) Change {
	name := Name(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return Change{Kind: Routes, Name: name, Spec: json.RawMessage(`{"model":"m"}`)}
	case 1:
		return Change{Kind: EnginePools, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"queueLimit":%d}`, rapid.IntRange(1, 9).Draw(t, "limit")))}
	case 2:
		return Change{Kind: DrainOrders, Name: name, Spec: json.RawMessage(`{"upstream":"g1"}`)}
	case 3:
		return Change{Kind: ClientAccounts, Name: name, Spec: json.RawMessage(`{"keyHashes":["` + validKeyHash + `"]}`)}
	default:
		return Change{Kind: Routes, Name: name, Delete: true}
	}
}

// TestFold applies random logs and checks that
//   - Apply doesn't modify the catalog that it is called on,
//   - Apply accepts only the next revision,
//   - a catalog restored from a snapshot has the same resources and drain orders.
func TestFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Catalog{}
		for range rapid.IntRange(0, 15).Draw(t, "entries") {
			before := c.Snapshot()
			e := LogEntry{Revision: c.Revision() + 1}
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				e.Changes = append(e.Changes, drawChange(t))
			}
			wrong := e
			wrong.Revision += Revision(rapid.SampledFrom([]int{1, 5}).Draw(t, "off"))
			if _, err := c.Apply(wrong); err == nil {
				t.Fatalf("the entry with revision %d was applied to a catalog at revision %d", wrong.Revision, c.Revision())
			}
			next, err := c.Apply(e)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(c.Snapshot(), before) {
				t.Fatal("Apply modified the catalog that it was called on")
			}
			c = next
		}
		restored := FromSnapshot(c.Snapshot())
		if !reflect.DeepEqual(restored.Snapshot(), c.Snapshot()) {
			t.Fatal("the catalog restored from a snapshot has a different snapshot")
		}
		if restored.Drained("g1", "") != c.Drained("g1", "") {
			t.Fatal("the catalog restored from a snapshot lacks a drain order")
		}
	})
}

func TestAccountByKey(t *testing.T) {
	is := is.New(t)
	c, err := (&Catalog{}).Apply(LogEntry{Revision: 1, Changes: []Change{
		{Kind: ClientAccounts, Name: "b", Spec: json.RawMessage(`{"keyHashes":["` + validKeyHash + `"]}`)},
		{Kind: ClientAccounts, Name: "a", Spec: json.RawMessage(`{"keyHashes":["` + validKeyHash + `"]}`)},
	}})
	is.NoErr(err)
	account, known := c.AccountByKey("test")
	is.True(known)
	is.Equal(account, Name("a")) // of two accounts with the same key, the name that sorts first
	_, known = c.AccountByKey("")
	is.True(!known)
}

func FuzzCheck(f *testing.F) {
	f.Add("routes", "quote", `{"model":"m"}`)
	f.Add("clientaccounts", "c", `{"keyHashes":["x"]}`)
	f.Fuzz(func(t *testing.T, kind, name, spec string) {
		change := Change{Kind: Kind(kind), Name: Name(name), Spec: json.RawMessage(spec)}
		if Check(change).Err() != nil {
			return
		}
		if _, err := (&Catalog{}).Apply(LogEntry{Revision: 1, Changes: []Change{change}}); err != nil {
			t.Fatalf("%v passes Check but can't be applied: %v", change, err)
		}
	})
}

// BenchmarkApply measures one configuration change and one snapshot at the largest
// size that the design aims for, 1500 client accounts.
func BenchmarkApply(b *testing.B) {
	c := &Catalog{}
	for n := range 1500 {
		change := Change{Kind: ClientAccounts, Name: Name(fmt.Sprintf("account-%d", n)), Spec: json.RawMessage(fmt.Sprintf(`{"keyHashes":["%064x"]}`, n))}
		next, err := c.Apply(LogEntry{Revision: c.Revision() + 1, Changes: []Change{change}})
		if err != nil {
			b.Fatal(err)
		}
		c = next
	}
	for _, kind := range []struct {
		name   string
		change Change
	}{
		{"account among 1500", Change{Kind: ClientAccounts, Name: "account-7", Spec: json.RawMessage(`{"keyHashes":["` + validKeyHash + `"]}`)}},
		{"route", Change{Kind: Routes, Name: "r", Spec: json.RawMessage(`{"model":"m"}`)}},
	} {
		b.Run(kind.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Apply(LogEntry{Revision: c.Revision() + 1, Changes: []Change{kind.change}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("snapshot of 1500 accounts", func(b *testing.B) {
		size := 0
		for b.Loop() {
			text, err := json.Marshal(c.Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			size = len(text)
		}
		b.ReportMetric(float64(size), "bytes")
	})
}
