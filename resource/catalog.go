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

// Catalog is the configuration at one revision. It is never changed: Apply
// gives a new one. The zero value is the empty configuration before the first
// entry.
type Catalog struct {
	revision Revision
	byKind   map[Kind]map[Name]Resource

	// The decoded forms below are kept equal to byKind by Apply.

	routes   map[Name]Route
	pools    map[Name]EnginePool
	models   map[Name]Model
	accounts map[Name]ClientAccount
	// accountByKeyHash leads from a key hash to its account. Where two accounts claim one
	// hash, the account first in the order of names has it.
	accountByKeyHash map[string]Name
	drains           map[Name]DrainOrder
}

// Revision is that of the last entry applied.
func (c *Catalog) Revision() Revision { return c.revision }

// Apply folds the next entry into the catalog. It fails with CompareFailed
// when the entry isn't the one that follows, and leaves c as it was.
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

// updateDecoded brings the decoded forms of the touched resources up to date and takes
// the others from before.
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

// decodeChanged skips a spec that doesn't decode: Check let none of them in, and a
// newer version's field must not take the whole configuration down.
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

// Get returns one resource.
func (c *Catalog) Get(k Kind, n Name) (Resource, bool) {
	r, ok := c.byKind[k][n]
	return r, ok
}

// List returns the resources of a kind in the order of their names.
func (c *Catalog) List(k Kind) []Resource {
	listed := slices.Collect(maps.Values(c.byKind[k]))
	slices.SortFunc(listed, func(a, b Resource) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return listed
}

// Route returns a route with its defaults filled in.
func (c *Catalog) Route(n Name) (Route, bool) {
	r, ok := c.routes[n]
	return r, ok
}

// Pool returns a pool with its defaults filled in.
func (c *Catalog) Pool(n Name) (EnginePool, bool) {
	p, ok := c.pools[n]
	return p, ok
}

// Model returns a model with its defaults filled in.
func (c *Catalog) Model(n Name) (Model, bool) {
	m, ok := c.models[n]
	return m, ok
}

// Account returns a client account.
func (c *Catalog) Account(n Account) (ClientAccount, bool) {
	a, ok := c.accounts[n]
	return a, ok
}

// AccountByKey finds the account that a bearer key belongs to.
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

// DrainedZones lists the zones that are out of service, in order.
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

// PoolNames lists the declared pools in order.
func (c *Catalog) PoolNames() []Name { return slices.Sorted(maps.Keys(c.pools)) }

// Snapshot is a whole catalog as it is stored and sent.
type Snapshot struct {
	Revision  Revision   `json:"revision"`
	Resources []Resource `json:"resources"`
}

// Snapshot writes the catalog out, kind by kind and name by name.
func (c *Catalog) Snapshot() Snapshot {
	s := Snapshot{Revision: c.revision}
	for _, kind := range Kinds() {
		s.Resources = append(s.Resources, c.List(kind)...)
	}
	return s
}

// FromSnapshot rebuilds the catalog that Snapshot wrote.
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
