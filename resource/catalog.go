// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package resource

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Catalog is the configuration at one revision. It is immutable: Apply returns
// a new one. The zero value is the empty configuration before the first log
// entry.
type Catalog struct {
	revision Revision
	byKind   map[Kind]map[Name]Resource

	// The fields below hold decoded specs and an index of them; Apply keeps
	// them consistent with byKind.

	routes   map[Name]Route
	pools    map[Name]EnginePool
	models   map[Name]Model
	accounts map[Name]ClientAccount
	// accountByKeyHash maps a key hash to its account. If two accounts list the
	// same hash, it belongs to the account whose name sorts first.
	accountByKeyHash map[string]Name
	drains           map[Name]DrainOrder
}

// Revision returns the revision of the last log entry applied.
func (c *Catalog) Revision() Revision { return c.revision }

// Apply returns the catalog that results from the next log entry; c stays as it
// is. The error is trace.CompareFailed if the entry's revision isn't the one
// after c's.
func (c *Catalog) Apply(e LogEntry) (*Catalog, error) {
	if e.Revision != c.revision+1 {
		return nil, trace.CompareFailed("entry %d does not follow revision %d", e.Revision, c.revision)
	}
	next := &Catalog{revision: e.Revision, byKind: maps.Clone(c.byKind)}
	if next.byKind == nil {
		next.byKind = map[Kind]map[Name]Resource{}
	}
	changed := map[Kind][]Name{}
	for _, change := range e.Changes {
		if changed[change.Kind] == nil {
			next.byKind[change.Kind] = cloneResources(next.byKind[change.Kind])
		}
		changed[change.Kind] = append(changed[change.Kind], change.Name)
		next.applyChange(change, e.Revision)
	}
	next.updateDecoded(c, changed)
	return next, nil
}

// cloneResources returns a copy of names that is never nil.
func cloneResources(names map[Name]Resource) map[Name]Resource {
	if names == nil {
		return map[Name]Resource{}
	}
	return maps.Clone(names)
}

func (c *Catalog) applyChange(change Change, revision Revision) {
	if change.Delete {
		delete(c.byKind[change.Kind], change.Name)
		return
	}
	c.byKind[change.Kind][change.Name] = Resource{Kind: change.Kind, Name: change.Name, Revision: revision, Spec: change.Spec}
}

// updateDecoded decodes the changed resources again and takes the decoded specs
// of the others from the previous catalog.
func (c *Catalog) updateDecoded(previous *Catalog, changed map[Kind][]Name) {
	c.routes = decodeChanged(previous.routes, c.byKind[Routes], changed[Routes], (*Route).setDefaults)
	c.pools = decodeChanged(previous.pools, c.byKind[EnginePools], changed[EnginePools], (*EnginePool).setDefaults)
	c.models = decodeChanged(previous.models, c.byKind[Models], changed[Models], (*Model).setDefaults)
	c.accounts = decodeChanged(previous.accounts, c.byKind[ClientAccounts], changed[ClientAccounts], func(*ClientAccount) {})
	c.drains = decodeChanged(previous.drains, c.byKind[DrainOrders], changed[DrainOrders], func(*DrainOrder) {})
	c.accountByKeyHash = previous.accountByKeyHash
	if len(changed[ClientAccounts]) > 0 {
		c.accountByKeyHash = indexKeyHashes(c.accounts)
	}
}

// decodeChanged returns a copy of previous in which the specs of names are decoded
// again. A spec that can't be decoded is left out: Check admits none, and a field
// of a newer version must not make the whole configuration unusable.
func decodeChanged[T any](previous map[Name]T, resources map[Name]Resource, names []Name, fill func(*T)) map[Name]T {
	if len(names) == 0 {
		return previous
	}
	decoded := make(map[Name]T, len(previous)+len(names))
	maps.Copy(decoded, previous)
	for _, name := range names {
		delete(decoded, name)
		r, found := resources[name]
		var spec T
		if !found || json.Unmarshal(r.Spec, &spec) != nil {
			continue
		}
		fill(&spec)
		decoded[name] = spec
	}
	return decoded
}

func indexKeyHashes(accounts map[Name]ClientAccount) map[string]Name {
	keys := map[string]Name{}
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		for _, hash := range accounts[name].KeyHashes {
			if _, taken := keys[hash]; !taken {
				keys[hash] = name
			}
		}
	}
	return keys
}

// Get returns a resource and whether it exists.
func (c *Catalog) Get(k Kind, n Name) (Resource, bool) {
	r, ok := c.byKind[k][n]
	return r, ok
}

// List returns the resources of a kind, sorted by name.
func (c *Catalog) List(k Kind) []Resource {
	listed := slices.Collect(maps.Values(c.byKind[k]))
	slices.SortFunc(listed, func(a, b Resource) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return listed
}

// Route returns a route with its defaults set.
func (c *Catalog) Route(n Name) (Route, bool) {
	r, ok := c.routes[n]
	return r, ok
}

// Pool returns an engine pool with its defaults set.
func (c *Catalog) Pool(n Name) (EnginePool, bool) {
	p, ok := c.pools[n]
	return p, ok
}

// Model returns a model with its defaults set.
func (c *Catalog) Model(n Name) (Model, bool) {
	m, ok := c.models[n]
	return m, ok
}

// Account returns a client account.
func (c *Catalog) Account(n Account) (ClientAccount, bool) {
	a, ok := c.accounts[n]
	return a, ok
}

// AccountByKey returns the account that a bearer key belongs to.
func (c *Catalog) AccountByKey(key string) (Account, bool) {
	sum := sha256.Sum256([]byte(key))
	n, ok := c.accountByKeyHash[hex.EncodeToString(sum[:])]
	return n, ok
}

// Drained reports whether a drain order names the upstream or its zone.
func (c *Catalog) Drained(upstream, zone string) bool {
	for _, order := range c.drains {
		if order.Upstream != "" && order.Upstream == upstream || order.Zone != "" && order.Zone == zone {
			return true
		}
	}
	return false
}

// DrainedZones returns the zones that a drain order names, sorted.
func (c *Catalog) DrainedZones() []string {
	var zones []string
	for _, order := range c.drains {
		if order.Zone != "" {
			zones = append(zones, order.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// PoolNames returns the names of the declared engine pools, sorted.
func (c *Catalog) PoolNames() []Name { return slices.Sorted(maps.Keys(c.pools)) }

// Snapshot is the form in which a whole catalog is stored and sent.
type Snapshot struct {
	Revision  Revision   `json:"revision"`
	Resources []Resource `json:"resources"`
}

// Snapshot returns all resources of the catalog, ordered by Kinds and then by name.
func (c *Catalog) Snapshot() Snapshot {
	s := Snapshot{Revision: c.revision}
	for _, kind := range Kinds() {
		s.Resources = append(s.Resources, c.List(kind)...)
	}
	return s
}

// FromSnapshot returns the catalog that s was taken of.
func FromSnapshot(s Snapshot) *Catalog {
	c := &Catalog{revision: s.Revision, byKind: map[Kind]map[Name]Resource{}}
	changed := map[Kind][]Name{}
	for _, r := range s.Resources {
		if c.byKind[r.Kind] == nil {
			c.byKind[r.Kind] = map[Name]Resource{}
		}
		c.byKind[r.Kind][r.Name] = r
		changed[r.Kind] = append(changed[r.Kind], r.Name)
	}
	c.updateDecoded(&Catalog{}, changed)
	return c
}
