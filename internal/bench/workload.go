// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package bench compares placement policies in a simulation of one pool in one zone.
// The simulation steps the stand-in engine's memory and step-time model in virtual
// time, delays load reports and has several entries decide. It runs the same policy
// code as the daemon, and every policy gets the same seeded arrivals.
//
// There is no network and no cluster: membership, peers and the platform are not
// simulated.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// arrival is a generation that a caller requests at a given time.
type arrival struct {
	offset  time.Duration
	request policy.Request
	// outputTokens is the true length of the answer, which only the oracle knows
	// beforehand.
	outputTokens int
}

// generationKind describes the prompts and answers of one kind of generation.
type generationKind struct {
	route        resource.Name
	promptTokens func(r *rand.Rand) int
	outputTokens func(r *rand.Rand) int
	// prefixCount is the number of different shared prompt prefixes, each of
	// prefixTokens tokens. Zero means that prompts share no prefix.
	prefixCount, prefixTokens int
}

// logNormal returns a function that draws from a log-normal distribution, clamped to
// [least, most]. spread is the standard deviation of the logarithm.
func logNormal(median, spread float64, least, most int) func(r *rand.Rand) int {
	return func(r *rand.Rand) int {
		n := int(median * math.Exp(r.NormFloat64()*spread))
		return min(max(n, least), most)
	}
}

// counterKind models counter staff: short prompts of three to forty lines.
var counterKind = generationKind{
	route: "quote", promptTokens: logNormal(300, 0.5, 50, 2000), outputTokens: logNormal(120, 0.9, 30, 2000),
	prefixCount: 8, prefixTokens: 200,
}

// catalogueKind models summaries: long prompts and short answers.
var catalogueKind = generationKind{
	route: "catalogue", promptTokens: logNormal(2000, 0.5, 500, 8000), outputTokens: logNormal(60, 0.4, 15, 300),
	prefixCount: 20, prefixTokens: 500,
}

// statementKind models verdicts on very long histories: most answers are one line, a
// few are very long.
var statementKind = generationKind{
	route: "statement", promptTokens: logNormal(6000, 0.5, 1500, 14000), outputTokens: statementLength,
}

// statementLength draws the answer length of a statementKind generation.
func statementLength(r *rand.Rand) int {
	switch p := r.Float64(); {
	case p < 0.90:
		return logNormal(30, 0.4, 8, 120)(r)
	case p < 0.98:
		return logNormal(300, 0.5, 100, 1000)(r)
	default:
		return logNormal(2500, 0.4, 1000, 6000)(r)
	}
}

// workload is a mix of generation kinds, with an optional burst, flood or event.
type workload struct {
	name  string
	kinds []generationKind
	// shares are the fractions of the arrivals by kind, in the order of kinds.
	shares []float64
	// burstFactor multiplies the rate between burstFrom and burstTo; zero means no
	// burst.
	burstFactor float64
	// floodFraction is the fraction of the arrivals that is assigned to account 0, in
	// addition to its regular share of the others.
	floodFraction float64
	event         event
}

// event is a failure of an engine or of the coordinator at eventOffset.
type event int

const (
	noEvent event = iota
	engineLost
	engineSlowed
	coordinatorLost
	coordinatorPaused
)

const (
	burstFrom    = 25 * time.Second
	burstTo      = 35 * time.Second
	eventOffset  = 30 * time.Second
	accountCount = 10
)

// workloads are the workloads that can be run.
var workloads = []workload{
	{name: "counter", kinds: []generationKind{counterKind}, shares: []float64{1}},
	{name: "catalogue", kinds: []generationKind{catalogueKind}, shares: []float64{1}},
	{name: "statement", kinds: []generationKind{statementKind}, shares: []float64{1}},
	{name: "mixture", kinds: []generationKind{counterKind, catalogueKind, statementKind}, shares: []float64{0.7, 0.2, 0.1}},
	{name: "burst", kinds: []generationKind{counterKind}, shares: []float64{1}, burstFactor: 3},
	{name: "flood", kinds: []generationKind{counterKind}, shares: []float64{1}, floodFraction: 0.7},
	{name: "engine-lost", kinds: []generationKind{counterKind}, shares: []float64{1}, event: engineLost},
	{name: "engine-slowed", kinds: []generationKind{counterKind}, shares: []float64{1}, event: engineSlowed},
	{name: "coordinator-lost", kinds: []generationKind{counterKind}, shares: []float64{1}, event: coordinatorLost},
	{name: "coordinator-paused", kinds: []generationKind{counterKind}, shares: []float64{1}, event: coordinatorPaused},
}

// WorkloadNames returns the names of all workloads.
func WorkloadNames() []string {
	names := make([]string, len(workloads))
	for i, w := range workloads {
		names[i] = w.name
	}
	return names
}

func findWorkload(name string) (workload, bool) {
	i := slices.IndexFunc(workloads, func(w workload) bool { return w.name == name })
	if i < 0 {
		return workload{}, false
	}
	return workloads[i], true
}

// arrivals draws the arrivals within span at a mean rate per second.
func (w workload) arrivals(seed uint64, rate float64, span time.Duration) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	var all []arrival
	for at := time.Duration(0); ; {
		currentRate := rate
		if w.burstFactor > 0 && at >= burstFrom && at < burstTo {
			currentRate *= w.burstFactor
		}
		at += time.Duration(r.ExpFloat64() / currentRate * float64(time.Second))
		if at >= span {
			return all
		}
		all = append(all, w.drawArrival(r, at, len(all)))
	}
}

func (w workload) drawArrival(r *rand.Rand, at time.Duration, n int) arrival {
	k := w.pickKind(r)
	account := r.IntN(accountCount)
	if w.floodFraction > 0 && r.Float64() < w.floodFraction {
		account = 0
	}
	a := arrival{offset: at, outputTokens: k.outputTokens(r)}
	a.request = policy.Request{
		Run: policy.RunID(fmt.Sprintf("r%d", n)), Route: k.route, Account: resource.Account(fmt.Sprintf("a%d", account)),
		PromptTokens: policy.Tokens(k.promptTokens(r)), MaxOutputTokens: maxOutputTokens,
	}
	if k.prefixCount > 0 {
		a.request.Prefix = uint64(r.IntN(k.prefixCount) + 1)
		a.request.PrefixTokens = policy.Tokens(min(k.prefixTokens, int(a.request.PromptTokens)))
	}
	return a
}

// maxOutputTokens is the output limit that every request states.
const maxOutputTokens = 8000

func (w workload) pickKind(r *rand.Rand) generationKind {
	p := r.Float64()
	for i, share := range w.shares {
		if p < share {
			return w.kinds[i]
		}
		p -= share
	}
	return w.kinds[len(w.kinds)-1]
}
