// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package resource defines the resources that operators declare: their kinds,
// the validation of a proposed change, and the catalog that results from
// applying the entries of the configuration log in order.
//
// The package does no I/O and reads no clock. Its callers store the log and
// decide who may append to it.
package resource

import (
	"encoding/json"
	"slices"
)

// Kind names a kind of resource, in the plural form of the resource API.
type Kind string

// The kinds an operator may declare.
const (
	Routes         Kind = "routes"
	EnginePools    Kind = "enginepools"
	Models         Kind = "models"
	Adapters       Kind = "adapters"
	ClientAccounts Kind = "clientaccounts"
	DrainOrders    Kind = "drainorders"
)

// Kinds returns every kind, in the order in which a new site declares them.
func Kinds() []Kind {
	return []Kind{EnginePools, Models, Adapters, Routes, ClientAccounts, DrainOrders}
}

// Known reports whether k is one of Kinds.
func (k Kind) Known() bool { return slices.Contains(Kinds(), k) }

// Revision is the number of an accepted entry of the configuration log. The
// first entry has revision 1; zero means that there is no entry yet.
type Revision uint64

// Name is a resource's name, unique within its kind.
type Name string

// Account is the name of a client account.
type Account = Name

// Resource is one declared resource after the last log entry that changed it.
type Resource struct {
	Kind Kind
	Name Name
	// Revision is the revision of the log entry that last changed the resource.
	// The If-Match of an operator's request is compared with it.
	Revision Revision
	// Spec is the operator's JSON, in which Check found no fault.
	Spec json.RawMessage
}

// Change is a request to set the spec of one resource, or to delete it.
type Change struct {
	Kind   Kind            `json:"kind"`
	Name   Name            `json:"name"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// LogEntry is one accepted entry of the configuration log. Once written under its
// revision it never changes.
type LogEntry struct {
	Revision Revision `json:"revision"`
	// Operation identifies the write. Of several writers that propose the same
	// revision, one whose response was lost can recognise its own entry by it.
	Operation string   `json:"operation"`
	Changes   []Change `json:"changes"`
}
