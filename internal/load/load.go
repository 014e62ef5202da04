// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package load sends generations and service calls to entries at a steady rate,
// whatever becomes of the earlier ones, reads every stream token by token, and
// reports what its callers saw.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"sigs.k8s.io/yaml"

	"github.com/shedpath/shedpath/resource"
)

// Kind is one sort of call in a mix.
type Kind struct {
	Name string `json:"name"`
	// Share is its part of the calls, relative to the others'.
	Share float64 `json:"share"`
	// Model makes it a generation and Service a call of a plain service.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// PromptTokens is about how long the prompt is, drawn between half and
	// twice of it.
	PromptTokens int `json:"promptTokens,omitempty"`
	// MaxTokens bounds the answer; with Exact it is its length on a stand-in.
	MaxTokens   int  `json:"maxTokens,omitempty"`
	ExactLength bool `json:"exact,omitempty"`
}

// Mix is the workload of a run.
type Mix struct {
	Kinds []Kind `json:"kinds"`
}

// DefaultMix is the counter staff's: short prompts, and now and then a look at
// the stock.
func DefaultMix() Mix {
	return Mix{Kinds: []Kind{
		{Name: "quote", Share: 4, Model: "quote", PromptTokens: 300},
		{Name: "stock", Share: 1, Service: "stock"},
	}}
}

// ParseMix reads a mix from YAML or JSON and reports everything wrong with it.
func ParseMix(text []byte) (Mix, error) {
	var m Mix
	if err := yaml.UnmarshalStrict(text, &m); err != nil {
		return m, err
	}
	var found resource.Findings
	add := func(i int, field, message string) {
		found = append(found, resource.Finding{Field: fmt.Sprintf("kinds[%d].%s", i, field), Message: message})
	}
	if len(m.Kinds) == 0 {
		found = append(found, resource.Finding{Field: "kinds", Message: "is empty"})
	}
	for i, k := range m.Kinds {
		if k.Name == "" {
			add(i, "name", "is missing")
		}
		if k.Share <= 0 {
			add(i, "share", "must be above 0")
		}
		if (k.Model == "") == (k.Service == "") {
			add(i, "model", "needs either model or service")
		}
	}
	return m, found.Err()
}

// Settings are those of a run.
type Settings struct {
	// Entries are the URLs of entries' caller sides, used in turn.
	Entries  []string
	Key      string
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Mix      Mix
	// RetryRefused has refused callers come back once, when they were told to.
	RetryRefused bool
	// Progress takes a line a second; nil writes none.
	Progress io.Writer
}

// Quantiles are a distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// KindReport is what the callers of one kind saw.
type KindReport struct {
	Calls    int64 `json:"calls"`
	Complete int64 `json:"whole"`
	// Refused, Partial, Unknown and Broken are how the others ended: with
	// not_run, with partial, with unknown, and without a word.
	Refused int64 `json:"refused"`
	Partial int64 `json:"partial"`
	Unknown int64 `json:"unknown"`
	Broken  int64 `json:"broken"`
	// Retried are the refused that came back, and TakenBack those of them
	// that were then answered whole.
	Retried         int64 `json:"cameBack"`
	RetriedComplete int64 `json:"takenBack"`
	// OutOfOrder are streams with a token missing, twice or out of order.
	OutOfOrder int64 `json:"disorder"`
	Tokens     int64 `json:"tokens"`
	// Stalls are pauses between tokens of StallAfter and more.
	Stalls        int64            `json:"stalls"`
	StallMillis   int64            `json:"stallMillis"`
	FirstToken    Quantiles        `json:"firstTokenMs"`
	BetweenTokens Quantiles        `json:"betweenTokensMs"`
	Duration      Quantiles        `json:"durationMs"`
	Codes         map[string]int64 `json:"codes,omitempty"`
}

// Report is what a run saw, by kind.
type Report struct {
	Seconds float64               `json:"seconds"`
	Rate    float64               `json:"rate"`
	Kinds   map[string]KindReport `json:"kinds"`
}

// StallThreshold is the pause between tokens that counts as a stall.
const StallThreshold = 500 * time.Millisecond

// Bounds of the histograms, in microseconds.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
}

func newQuantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Run sends calls at the rate until the time is over or the context ends, waits
// for those under way and reports.
func Run(ctx context.Context, s Settings) Report {
	gather := newCollector(s.Mix)
	caller := newCaller(s, gather)
	random := rand.New(rand.NewPCG(s.Seed, 3))
	began := time.Now()
	var calls, progress conc.WaitGroup
	finished := make(chan struct{})
	if s.Progress != nil {
		progress.Go(func() { gather.progress(s.Progress, began, finished) })
	}
	next := began
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		if next.Sub(began) >= s.Duration || !waitUntil(ctx, next) {
			break
		}
		kind := pickKind(random, s.Mix)
		prompt := randomPrompt(random, kind)
		entry := s.Entries[n%len(s.Entries)]
		calls.Go(func() { caller.call(ctx, entry, kind, prompt) })
	}
	calls.Wait()
	close(finished)
	progress.Wait()
	return gather.report(time.Since(began), s.Rate)
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func pickKind(random *rand.Rand, m Mix) Kind {
	total := 0.0
	for _, k := range m.Kinds {
		total += k.Share
	}
	p := random.Float64() * total
	for _, k := range m.Kinds {
		if p < k.Share {
			return k
		}
		p -= k.Share
	}
	return m.Kinds[len(m.Kinds)-1]
}

// randomPrompt makes up a prompt, different for each call, so that the stand-in's
// made-up lengths differ.
func randomPrompt(random *rand.Rand, k Kind) string {
	words := max(k.PromptTokens, 1)
	words = words/2 + random.IntN(words+words/2+1)
	var text strings.Builder
	fmt.Fprintf(&text, "%016x", random.Uint64())
	for range words {
		text.WriteString(" abc")
	}
	return text.String()
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
