// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package resource_test

import (
	"encoding/json"
	"fmt"

	"github.com/shedpath/shedpath/resource"
)

// Check reports all faults of a change at once, each with its field.
func ExampleCheck() {
	found := resource.Check(resource.Change{
		Kind: resource.Models, Name: "Quote", Spec: json.RawMessage(`{"pool":"desk"}`),
	})
	fmt.Println(found.Err())
	// Output:
	// name: "Quote" may hold only small letters, digits, '-' and '.'
	// spec.version: is missing
}

// A catalog is built from the log, entry by entry, and is never modified in place.
func ExampleCatalog_Apply() {
	var empty resource.Catalog
	first, err := empty.Apply(resource.LogEntry{Revision: 1, Changes: []resource.Change{
		{Kind: resource.Routes, Name: "quote", Spec: json.RawMessage(`{"model":"quote-7b"}`)},
	}})
	if err != nil {
		fmt.Println(err)
		return
	}
	route, _ := first.Route("quote")
	fmt.Println(empty.Revision(), first.Revision(), route.Model)
	// Output: 0 1 quote-7b
}
