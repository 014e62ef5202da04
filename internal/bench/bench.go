// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// Settings selects the combinations to measure. The zero value measures nothing.
type Settings struct {
	Policies  []string
	Workloads []string
	// Loads are arrival rates as multiples of the pool's capacity.
	Loads []float64
	// Seeds is the number of seeds that each combination runs with.
	Seeds int
}

// deciderFactory creates the decider of one simulation.
type deciderFactory func(seed uint64, s *simulation) decider

func policySettings(change func(*policy.Settings)) policy.Settings {
	s := policy.Settings{MaxQueueLength: 512, MaxStepTime: maxStepTime}
	if change != nil {
		change(&s)
	}
	return s
}

func withHeadroomDeviations(z float64) deciderFactory {
	return func(uint64, *simulation) decider {
		return newPoolDecider(engineIDs(), policySettings(func(s *policy.Settings) { s.HeadroomDeviations = z }))
	}
}

func withMaxMemoryFraction(mark float64) deciderFactory {
	return func(uint64, *simulation) decider {
		return newPoolDecider(engineIDs(), policySettings(func(s *policy.Settings) { s.MaxMemoryFraction = mark }))
	}
}

// policies holds the policies that can be measured by name; "ours" is the daemon's.
var policies = map[string]deciderFactory{
	"random": func(seed uint64, _ *simulation) decider {
		return &randomDecider{engines: engineIDs(), source: rand.New(rand.NewPCG(seed, 1))}
	},
	"least-loaded": func(seed uint64, _ *simulation) decider { return newLeastLoadedPerEntry(seed, 0) },
	"reserve-20":   func(seed uint64, _ *simulation) decider { return newLeastLoadedPerEntry(seed, 0.2) },
	"reserve-40":   func(seed uint64, _ *simulation) decider { return newLeastLoadedPerEntry(seed, 0.4) },
	"ours":         func(uint64, *simulation) decider { return newPoolDecider(engineIDs(), policySettings(nil)) },
	"ours-local": func(uint64, *simulation) decider {
		return newPerEntryDecider(entryCount, func() decider {
			d := newPoolDecider(engineIDs(), policySettings(nil))
			d.pool.SetDeciderCount(entryCount)
			return d
		})
	},
	"ours-mean": func(uint64, *simulation) decider {
		return newPoolDecider(engineIDs(), policySettings(nil), policy.WithLengthModel(&meanLengthModel{}))
	},
	"z0.5": withHeadroomDeviations(0.5), "z1": withHeadroomDeviations(1), "z1.5": withHeadroomDeviations(1.5),
	"z2": withHeadroomDeviations(2), "z2.5": withHeadroomDeviations(2.5), "z3": withHeadroomDeviations(3), "z4": withHeadroomDeviations(4),
	"mark90": withMaxMemoryFraction(0.90), "mark94": withMaxMemoryFraction(0.94), "mark96": withMaxMemoryFraction(0.96), "mark98": withMaxMemoryFraction(0.98),
	"oracle": func(_ uint64, s *simulation) decider { return &oracle{sim: s} },
}

func newLeastLoadedPerEntry(seed uint64, reserve float64) decider {
	return newPerEntryDecider(entryCount, func() decider {
		seed++
		return &leastLoadedDecider{
			reports: map[member.UpstreamID]policy.Report{}, reservedFraction: reserve, source: rand.New(rand.NewPCG(seed, 2)),
		}
	})
}

// PolicyNames returns the sorted names of all policies.
func PolicyNames() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// row holds the measurements of one combination, one per seed.
type row struct {
	policy, workload string
	load             float64
	measurements     []measurement
}

// Run measures every combination and writes a table of the medians over all seeds to
// out. It fails if a policy or workload is unknown.
func Run(out io.Writer, s Settings) error {
	rows, err := combinations(s)
	if err != nil {
		return err
	}
	rates := calibrate(s.Workloads)
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i := range rows {
		r := &rows[i]
		r.measurements = make([]measurement, s.Seeds)
		for seed := range s.Seeds {
			workers.Go(func() { r.measurements[seed] = measure(r.policy, r.workload, r.load*rates[r.workload], uint64(seed)+1) })
		}
	}
	workers.Wait()
	return writeTable(out, rows, rates)
}

// calibrate returns the arrival rate per second of load 1.0 for each workload.
// Workloads that differ only in burst, flood or event share one rate.
func calibrate(names []string) map[string]float64 {
	rates := map[string]float64{}
	var mu sync.Mutex
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	byMix := map[string][]string{}
	for _, name := range names {
		w, _ := findWorkload(name)
		mix := fmt.Sprint(w.shares, w.kinds[0].route)
		byMix[mix] = append(byMix[mix], name)
	}
	for _, sameMix := range byMix {
		workers.Go(func() {
			w, _ := findWorkload(sameMix[0])
			rate := capacity(w)
			mu.Lock()
			defer mu.Unlock()
			for _, name := range sameMix {
				rates[name] = rate
			}
		})
	}
	workers.Wait()
	return rates
}

func combinations(s Settings) ([]row, error) {
	var rows []row
	for _, workload := range s.Workloads {
		if _, known := findWorkload(workload); !known {
			return nil, fmt.Errorf("there is no workload %q; there are %v", workload, WorkloadNames())
		}
		for _, load := range s.Loads {
			for _, name := range s.Policies {
				if policies[name] == nil {
					return nil, fmt.Errorf("there is no policy %q; there are %v", name, PolicyNames())
				}
				rows = append(rows, row{policy: name, workload: workload, load: load})
			}
		}
	}
	return rows, nil
}

func measure(name, workload string, rate float64, seed uint64) measurement {
	w, _ := findWorkload(workload)
	arrivals := w.arrivals(seed, rate, arrivalPeriod)
	build := func(s *simulation) decider { return policies[name](seed, s) }
	return newSimulation(w, arrivals, build).run()
}

// capacity returns the highest arrival rate per second at which the oracle refuses at
// most maxRefused of the generations, found by bisection and without the workload's
// burst, flood or event.
func capacity(w workload) float64 {
	const seed, steps, maxRefused = 99, 8, 0.01
	w.event, w.burstFactor, w.floodFraction = noEvent, 0, 0
	low, high := 0.0, 128.0
	for range steps {
		rate := (low + high) / 2
		arrivals := w.arrivals(seed, rate, arrivalPeriod)
		t := newSimulation(w, arrivals, func(s *simulation) decider { return &oracle{sim: s} }).run()
		if t.refusedFraction <= maxRefused {
			low = rate
		} else {
			high = rate
		}
	}
	return low
}

func median[T cmp.Ordered](tallies []measurement, value func(t measurement) T) T {
	values := make([]T, len(tallies))
	for i, t := range tallies {
		values[i] = value(t)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func writeTable(out io.Writer, rows []row, rates map[string]float64) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workload\tload\tpolicy\tpreempt/1000\tstall p99\tstall mean\tgap p99\tfirst p95\trefused\tback in\tlost\ttokens/s\tleast share\twasted\t")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%.1f\t%s\t%.1f\t%s\t%s\t%s\t%s\t%.1f%%\t%.0f%%\t%.1f%%\t%.0f\t%.2f\t%.2f\t\n",
			r.workload, r.load, r.policy,
			median(r.measurements, func(t measurement) float64 { return t.preemptionsPer1000 }),
			formatSeconds(median(r.measurements, func(t measurement) time.Duration { return t.stallP99 })),
			formatSeconds(median(r.measurements, func(t measurement) time.Duration { return t.stallMean })),
			formatSeconds(median(r.measurements, func(t measurement) time.Duration { return t.longestGapP99 })),
			formatSeconds(median(r.measurements, func(t measurement) time.Duration { return t.firstTokenP95 })),
			100*median(r.measurements, func(t measurement) float64 { return t.refusedFraction }),
			100*median(r.measurements, func(t measurement) float64 { return t.retryGrantedFraction }),
			100*median(r.measurements, func(t measurement) float64 { return t.lostFraction }),
			median(r.measurements, func(t measurement) float64 { return t.finishedPerSecond }),
			median(r.measurements, func(t measurement) float64 { return t.minShare }),
			median(r.measurements, func(t measurement) float64 { return t.wastedPerToken }),
		)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(out, "load 1.0 of %s: %.2f generations a second\n", name, rates[name])
	}
	return nil
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }
