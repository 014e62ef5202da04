// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package resource

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"sigs.k8s.io/yaml"

	"github.com/shedpath/shedpath/internal/golden"
)

// TestGoldenSpecs pins the specs of all kinds in JSON and YAML: each is read and written.
func TestGoldenSpecs(t *testing.T) {
	b := golden.Open(t, "specs")
	f := golden.NewFiller(time.Time{})
	golden.Make(f, func(n int) Duration { return Duration(time.Duration(1000+n) * time.Millisecond) })
	specs(t, b, "route", golden.Cases[Route](f, nil))
	specs(t, b, "engine pool", golden.Cases[EnginePool](f, nil))
	specs(t, b, "model", golden.Cases[Model](f, nil))
	specs(t, b, "adapter", golden.Cases[Adapter](f, nil))
	specs(t, b, "client account", golden.Cases[ClientAccount](f, nil))
	specs(t, b, "drain order", golden.Cases[DrainOrder](f, nil))
	b.Text("kinds", fmt.Sprint([]Kind{Routes, EnginePools, Models, Adapters, ClientAccounts, DrainOrders}, Kinds()))
	b.Text("objectives", fmt.Sprint([]Objective{ObjectiveStall, ObjectiveTail}))
	both(t, b, "findings", Findings{{Field: "field-1", Message: "text-1"}})
}

func specs[T any](t *testing.T, b *golden.Book, name string, cases []T) {
	for n, v := range cases {
		both(t, b, fmt.Sprint(name, " ", n+1), v)
	}
}

// both pins a value as JSON and as YAML.
func both[T any](t *testing.T, b *golden.Book, name string, v T) {
	inJSON, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	inYAML, err := yaml.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{b.Text(name+", JSON", string(inJSON)), b.Text(name+", YAML", string(inYAML))} {
		var back T
		if err := yaml.Unmarshal([]byte(text), &back); err != nil {
			t.Error(err)
		}
		golden.Equal(t, name, back, v)
	}
}

// TestGoldenLog pins the configuration's log and snapshot, with a resource of each kind.
func TestGoldenLog(t *testing.T) {
	b := golden.Open(t, "log")
	c := &Catalog{}
	for n, kind := range Kinds() {
		entry := LogEntry{Revision: Revision(n + 1), Operation: fmt.Sprint("operation-", n), Changes: []Change{
			{Kind: kind, Name: Name(fmt.Sprint("name-", n)), Spec: json.RawMessage(fmt.Sprintf(`{"n":%d}`, n))},
			{Kind: kind, Name: "gone", Delete: true},
		}}
		both(t, b, "entry of "+string(kind), entry)
		next, err := c.Apply(entry)
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	both(t, b, "snapshot", c.Snapshot())
}
