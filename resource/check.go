// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package resource

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Finding is one fault of a document, with its location.
type Finding struct {
	// Field is the path from the document's root, such as "spec.pool".
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Findings lists all faults of one document. It is empty if the document is valid.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Field + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if f is empty.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f *Findings) add(field, format string, args ...any) {
	*f = append(*f, Finding{Field: field, Message: fmt.Sprintf(format, args...)})
}

// Limits on the contents of a document.
const (
	MaxNameLength    = 63
	MaxSpecBytes     = 64 << 10
	MaxKeyHashes     = 16
	maxTimeout       = Duration(time.Hour)
	maxContextTokens = 4 << 20
	maxQueueLimit    = 100_000
	maxPriority      = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Check returns all faults of a proposed change. It doesn't check that referenced
// resources exist, as they may be declared later.
func Check(c Change) Findings {
	var found Findings
	if !c.Kind.Known() {
		found.add("kind", "unknown kind %q; the kinds are %v", c.Kind, Kinds())
	}
	checkName(&found, "name", c.Name)
	if c.Delete || !c.Kind.Known() {
		return found
	}
	if len(c.Spec) > MaxSpecBytes {
		found.add("spec", "is %d bytes long; the limit is %d", len(c.Spec), MaxSpecBytes)
		return found
	}
	checkSpec(&found, c)
	return found
}

func checkName(found *Findings, field string, n Name) {
	switch {
	case n == "":
		found.add(field, "is missing")
	case len(n) > MaxNameLength:
		found.add(field, "is %d characters long; the limit is %d", len(n), MaxNameLength)
	case !namePattern.MatchString(string(n)):
		found.add(field, "%q may hold only small letters, digits, '-' and '.'", n)
	}
}

func checkSpec(found *Findings, c Change) {
	switch c.Kind {
	case Routes:
		checkDecoded(found, c.Spec, checkRoute)
	case EnginePools:
		checkDecoded(found, c.Spec, checkPool)
	case Models:
		checkDecoded(found, c.Spec, checkModel)
	case Adapters:
		checkDecoded(found, c.Spec, checkAdapter)
	case ClientAccounts:
		checkDecoded(found, c.Spec, checkAccount)
	case DrainOrders:
		checkDecoded(found, c.Spec, checkDrain)
	}
}

// checkDecoded decodes a spec, in which unknown fields are faults, and checks it.
func checkDecoded[T any](found *Findings, text json.RawMessage, check func(*Findings, T)) {
	var spec T
	if len(text) == 0 {
		found.add("spec", "is missing")
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		found.add("spec", "%v", err)
		return
	}
	check(found, spec)
}

func checkRoute(found *Findings, r Route) {
	switch {
	case r.Model == "" && r.Service == "":
		found.add("spec", "needs either model or service")
	case r.Model != "" && r.Service != "":
		found.add("spec", "has both model and service; a route leads to one")
	case r.Model != "" && r.Repeatable:
		found.add("spec.repeatable", "is for service routes; a generation is never run again once the caller has seen a token")
	}
	if r.Model != "" {
		checkName(found, "spec.model", r.Model)
	}
	if r.Service != "" {
		checkName(found, "spec.service", r.Service)
	}
	if r.Timeout < 0 || r.Timeout > maxTimeout {
		found.add("spec.timeout", "must lie between 0s and %v", time.Duration(maxTimeout))
	}
}

func checkPool(found *Findings, p EnginePool) {
	switch p.Objective {
	case "", ObjectiveStall, ObjectiveTail:
	default:
		found.add("spec.objective", "is %q; want %q or %q", p.Objective, ObjectiveStall, ObjectiveTail)
	}
	if p.BetweenTokens < 0 || p.BetweenTokens > Duration(10*time.Second) {
		found.add("spec.betweenTokens", "must lie between 0s and 10s")
	}
	if p.QueueLimit < 0 || p.QueueLimit > maxQueueLimit {
		found.add("spec.queueLimit", "must lie between 0 and %d", maxQueueLimit)
	}
	if p.QueueBytes < 0 {
		found.add("spec.queueBytes", "must not be negative")
	}
}

func checkModel(found *Findings, m Model) {
	checkName(found, "spec.pool", m.Pool)
	if m.Version == "" {
		found.add("spec.version", "is missing")
	}
	if m.ContextTokens < 0 || m.ContextTokens > maxContextTokens {
		found.add("spec.contextTokens", "must lie between 0 and %d", maxContextTokens)
	}
}

func checkAdapter(found *Findings, a Adapter) {
	checkName(found, "spec.model", a.Model)
	if a.Version == "" {
		found.add("spec.version", "is missing")
	}
}

func checkAccount(found *Findings, a ClientAccount) {
	if len(a.KeyHashes) == 0 {
		found.add("spec.keyHashes", "is empty: nobody could use the account")
	}
	if len(a.KeyHashes) > MaxKeyHashes {
		found.add("spec.keyHashes", "has %d keys; the limit is %d", len(a.KeyHashes), MaxKeyHashes)
	}
	for i, hash := range a.KeyHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
			found.add(fmt.Sprintf("spec.keyHashes[%d]", i), "is not a SHA-256 sum in small hex letters; `printf %%s KEY | sha256sum` gives one")
		}
	}
	if a.Priority < -maxPriority || a.Priority > maxPriority {
		found.add("spec.priority", "must lie between %d and %d", -maxPriority, maxPriority)
	}
	if a.MaxRunning < 0 {
		found.add("spec.maxRunning", "must not be negative")
	}
	if a.RequestsPerSecond < 0 {
		found.add("spec.requestsPerSecond", "must not be negative")
	}
}

func checkDrain(found *Findings, d DrainOrder) {
	switch {
	case d.Upstream == "" && d.Zone == "":
		found.add("spec.upstream", "is missing, and so is spec.zone; `shedpath status` lists the upstreams and zones")
	case d.Upstream != "" && d.Zone != "":
		found.add("spec.zone", "can't stand beside spec.upstream: an order names one upstream or one zone")
	}
}
