// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package load is an open-loop load generator: it sends generations and service calls
// to entries at a fixed mean rate, regardless of how earlier calls fare. It reads
// every stream token by token and reports the outcomes as callers see them.
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

// Kind describes one kind of call in a mix.
type Kind struct {
	Name string `json:"name"`
	// Share is the weight of this kind relative to the other kinds.
	Share float64 `json:"share"`
	// Model is the model of a generation, Service the name of a plain service.
	// Exactly one of them is set.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// PromptTokens is the typical prompt length. Each prompt's length is drawn between
	// half and twice this value.
	PromptTokens int `json:"promptTokens,omitempty"`
	// MaxTokens limits the length of the answer. With ExactLength, a stand-in engine
	// generates exactly that many tokens.
	MaxTokens   int  `json:"maxTokens,omitempty"`
	ExactLength bool `json:"exact,omitempty"`
}

// Mix holds the kinds of calls that a run sends.
type Mix struct {
	Kinds []Kind `json:"kinds"`
}

// DefaultMix returns the mix of counter staff: generations with short prompts and, as
// a fifth of the calls, stock look-ups.
func DefaultMix() Mix {
	return Mix{Kinds: []Kind{
		{Name: "quote", Share: 4, Model: "quote", PromptTokens: 300},
		{Name: "stock", Share: 1, Service: "stock"},
	}}
}

// ParseMix parses a mix from YAML or JSON. Its error lists all invalid fields.
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

// Settings configures a run.
type Settings struct {
	// Entries are the base URLs of the entries' caller listeners, used in turn.
	Entries  []string
	Key      string
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Mix      Mix
	// RetryRefused makes a caller retry a refused call once, after the delay that the
	// refusal gives.
	RetryRefused bool
	// Progress receives one line per second; nil disables progress output.
	Progress io.Writer
}

// Quantiles summarises a distribution of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// KindReport summarises the outcomes of the calls of one kind.
type KindReport struct {
	Calls    int64 `json:"calls"`
	Complete int64 `json:"whole"`
	// Refused, Partial, Unknown and Broken count the calls that failed: with the run
	// state not_run, partial or unknown, or without any run state.
	Refused int64 `json:"refused"`
	Partial int64 `json:"partial"`
	Unknown int64 `json:"unknown"`
	Broken  int64 `json:"broken"`
	// Retried counts the refused calls that were retried, and RetriedComplete those
	// retries that got a complete answer.
	Retried         int64 `json:"cameBack"`
	RetriedComplete int64 `json:"takenBack"`
	// OutOfOrder counts streams with a token that is missing, duplicated or out of
	// order.
	OutOfOrder int64 `json:"disorder"`
	Tokens     int64 `json:"tokens"`
	// Stalls counts gaps between tokens of at least StallThreshold, and StallMillis is
	// their sum in milliseconds.
	Stalls        int64            `json:"stalls"`
	StallMillis   int64            `json:"stallMillis"`
	FirstToken    Quantiles        `json:"firstTokenMs"`
	BetweenTokens Quantiles        `json:"betweenTokensMs"`
	Duration      Quantiles        `json:"durationMs"`
	Codes         map[string]int64 `json:"codes,omitempty"`
}

// Report holds the outcomes of a run by the name of the kind.
type Report struct {
	Seconds float64               `json:"seconds"`
	Rate    float64               `json:"rate"`
	Kinds   map[string]KindReport `json:"kinds"`
}

// StallThreshold is the shortest gap between two tokens that counts as a stall.
const StallThreshold = 500 * time.Millisecond

// Range of the histograms in microseconds, and their precision.
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

// Run sends calls at the mean rate s.Rate, with exponentially distributed gaps, until
// s.Duration has passed or ctx ends. It then waits for the calls in flight and returns
// the report.
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

// waitUntil waits until the given time and reports whether it was reached before ctx
// ended.
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

// randomPrompt returns a prompt that differs for each call. The stand-in engine derives
// the answer's length from the prompt, so that the lengths differ too.
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

// WriteJSON writes the report to out as indented JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
