// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// The simulation runs a load in virtual time against many hosts. Each host decides with a pool of
// its own that knows only what the other hosts have shared. Engines read prompts one after another
// and decode at the same time.

// simRequestKind describes one kind of request of a simulated load.
type simRequestKind struct {
	route resource.Name
	// meanInterval is the mean time between two requests of this kind in one zone.
	meanInterval time.Duration
	objective    time.Duration
	// maxPrompt and maxAnswer are the longest lengths; lengths are uniform up to them.
	maxPrompt, maxAnswer Tokens
	// medianAnswer is the median answer length of a distribution with a long tail that is cut off
	// at maxAnswer; zero makes answer lengths uniform.
	medianAnswer Tokens
	// priority is the priority of the requests in the queue.
	priority int
}

// simConfig describes a simulated site and the requests of its callers.
type simConfig struct {
	zones, hostsPerZone, enginesPerZone int
	kinds                               []simRequestKind
	duration                            time.Duration
	// slowFactor is how many times longer every third engine takes to read prompts; zero makes
	// all engines equal.
	slowFactor float64
	// replaceInterval is how often an engine of each zone leaves. Its runs are moved and an empty
	// engine replaces it. Zero disables replacements.
	replaceInterval time.Duration
	// addEngineAfter is when an empty engine is added in each zone; zero adds none.
	addEngineAfter time.Duration
	// otherZoneCost is the additional cost of an engine in another zone than the request.
	otherZoneCost float64
	// askOtherZones has hosts ask those of other zones for a place if their own zone has no room.
	askOtherZones bool
	// trafficAmplitude is how far the request rate oscillates around its mean, as a share of the
	// mean; zero makes it constant.
	trafficAmplitude float64
	seed             uint64
}

const (
	// trafficPeriod is the time from one peak of the traffic to the next.
	trafficPeriod = 11 * time.Second
	// answerLogStdDev is the standard deviation of the logarithm of answer lengths with a long
	// tail.
	answerLogStdDev = 1.3
)

const (
	simReadRate     = 7300 // prompt tokens that an engine reads per second while decoding
	simStepTime     = 9 * time.Millisecond
	simEngineMemory = Tokens(34_000)
	// simNotifyDelay is how long it takes the hosts of a zone to learn of a new run on one of its
	// engines, and all hosts to learn of one that was placed by a host of another zone.
	simNotifyDelay = 5 * time.Millisecond
	// Every simShareInterval a host shares all its runs with the hosts of its zone and, in turn,
	// with simOtherZoneShares hosts of other zones.
	simShareInterval   = 500 * time.Millisecond
	simOtherZoneShares = 3
	// simUpdateInterval is how often a host updates its pool with the state of all engines.
	simUpdateInterval = 100 * time.Millisecond
)

// simResult counts the outcomes of requests of one kind.
type simResult struct {
	requests, inTime, late, refused int
	timesToFirstToken               []time.Duration
	// placements holds the times since the start at which each engine got requests.
	placements map[EngineID][]time.Duration
}

// timeToFirstToken returns a quantile of the times to the first token.
func (r *simResult) timeToFirstToken(share float64) time.Duration {
	slices.Sort(r.timesToFirstToken)
	return r.timesToFirstToken[int(share*float64(len(r.timesToFirstToken)-1))]
}

// simHost is a host with its pool and what it knows of the runs of other hosts.
type simHost struct {
	zone int
	pool *Pool
	// ownRuns are the runs that this host placed, and peerRuns those that each other host shared.
	ownRuns  map[RunID]*simRun
	peerRuns map[*simHost]map[RunID]bool
	// nextOtherZoneHost rotates through the hosts of other zones, to which the runs are shared.
	nextOtherZoneHost int
	// queued are the requests that wait for a place here.
	queued map[RunID]simQueuedRequest
}

// simQueuedRequest is a request that waits for a place, with the length of its answer.
type simQueuedRequest struct {
	request      Request
	answerLength Tokens
}

// simRun is a run that a host has placed.
type simRun struct {
	request      Request
	engine       EngineID
	firstTokenAt time.Time
	// memoryRun is the run on an engine whose memory is simulated; nil if memory isn't simulated.
	memoryRun *memoryRun
}

// generated returns how many tokens the run has made.
func (r *simRun) generated(now time.Time) Tokens {
	if r.memoryRun != nil {
		return r.memoryRun.generated
	}
	if now.Before(r.firstTokenAt) {
		return 0
	}
	return min(Tokens(now.Sub(r.firstTokenAt)/simStepTime)+1, r.request.MaxOutputTokens)
}

// firstTokenSeen returns when the first token came; zero if none has come by now.
func (r *simRun) firstTokenSeen(now time.Time) time.Time {
	if r.firstTokenAt.IsZero() || now.Before(r.firstTokenAt) {
		return time.Time{}
	}
	return r.firstTokenAt
}

// simulation is the state of a running simulation.
type simulation struct {
	simConfig
	requestRand *rand.Rand
	now         time.Time
	events      simEventQueue
	hosts       []*simHost
	engineIDs   []EngineID
	engineZones map[EngineID]int
	slowEngines map[EngineID]bool
	readUntil   map[EngineID]time.Time // when each engine has read its prompts
	results     map[resource.Name]*simResult
	// seq numbers the events. The IDs of engines and runs are made from it, too.
	seq int
	// startOnEngine starts a run on an engine whose memory is simulated. Nil means that engines
	// have memory for every run they get.
	startOnEngine func(h *simHost, run *simRun, answerLength Tokens)
	// decisionRand draws what depends on the hosts' decisions. Requests are drawn from
	// requestRand, so they are the same whatever the hosts decide.
	decisionRand *rand.Rand
	// settings are the settings of the hosts' pools.
	settings Settings
	// engineMemory is the memory of each engine.
	engineMemory Tokens
	// report replaces the reports of the engines unless it is nil.
	report func(id EngineID) Report
	// burst multiplies the rate of the requests of a kind unless it is nil.
	burst func(k simRequestKind) float64
}

// simEvent is a function to call at a simulated time. Events of the same time are ordered by seq.
type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEventQueue []simEvent

func (e simEventQueue) Len() int { return len(e) }
func (e simEventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e simEventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEventQueue) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func simZone(z int) member.Zone { return member.Zone(fmt.Sprint("z", z)) }

// simulate runs a simulation and returns the results by route.
func simulate(c simConfig) map[resource.Name]*simResult {
	s := newSimulation(c)
	s.run()
	return s.results
}

func newSimulation(c simConfig) *simulation {
	return &simulation{
		simConfig: c, engineMemory: simEngineMemory, settings: Settings{InitialPrefillRate: simReadRate, MaxBatchSize: 24}, requestRand: rand.New(rand.NewPCG(c.seed, 0)), decisionRand: rand.New(rand.NewPCG(c.seed, 1)), now: testStart,
		engineZones: map[EngineID]int{}, slowEngines: map[EngineID]bool{}, readUntil: map[EngineID]time.Time{}, results: map[resource.Name]*simResult{},
	}
}

// run runs the simulation until its duration has passed.
func (s *simulation) run() {
	c := s.simConfig
	for z := range c.zones {
		for range c.enginesPerZone {
			s.addEngine(z)
		}
	}
	for z := range c.zones {
		for range c.hostsPerZone {
			h := &simHost{zone: z, pool: NewPool(s.poolSettings(len(s.hosts))), ownRuns: map[RunID]*simRun{}, peerRuns: map[*simHost]map[RunID]bool{}, queued: map[RunID]simQueuedRequest{}}
			s.listEngines(h)
			s.hosts = append(s.hosts, h)
		}
		if c.addEngineAfter > 0 {
			s.schedule(c.addEngineAfter, func() {
				s.addEngine(z)
				s.listEnginesOnAllHosts()
			})
		}
		if c.replaceInterval > 0 {
			s.schedule(time.Duration(z+1)*c.replaceInterval/time.Duration(c.zones), func() { s.replaceEngine(z) })
		}
	}
	for _, h := range s.hosts {
		s.updatePool(h)
		s.schedule(time.Duration(s.requestRand.Int64N(int64(simShareInterval))), func() { s.shareRuns(h) })
	}
	for _, k := range c.kinds {
		s.results[k.route] = &simResult{placements: map[EngineID][]time.Duration{}}
		for z := range c.zones {
			s.scheduleArrival(z, k)
		}
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.Sub(testStart) > c.duration {
			break
		}
		s.now = e.at
		e.do()
	}
}

func (s *simulation) addEngine(zone int) {
	s.seq++
	id := EngineID(fmt.Sprintf("g%06d", s.seq))
	s.engineIDs = append(s.engineIDs, id)
	s.engineZones[id] = zone
	s.slowEngines[id] = s.simConfig.slowFactor > 0 && len(s.engineZones)%3 == 0
}

// poolSettings returns the settings of the pool of a host, which is given by its index.
func (s *simulation) poolSettings(host int) Settings {
	settings := s.settings
	settings.DeciderID = fmt.Sprint("h", host)
	return settings
}

// listEngines updates a host's pool with the engines that take work.
func (s *simulation) listEngines(h *simHost) {
	h.pool.SetEngines(s.engineIDs)
	for _, id := range s.engineIDs {
		h.pool.SetZone(id, simZone(s.engineZones[id]))
		h.pool.Report(s.now, s.engineReport(id))
	}
}

// engineReport returns the present report of an engine.
func (s *simulation) engineReport(id EngineID) Report {
	if s.report != nil {
		return s.report(id)
	}
	return Report{Engine: id, TotalMemory: s.engineMemory, StepTime: simStepTime}
}

func (s *simulation) listEnginesOnAllHosts() {
	for _, h := range s.hosts {
		s.listEngines(h)
		s.advance(h)
	}
}

// replaceEngine replaces an engine of a zone by an empty one and moves its runs.
func (s *simulation) replaceEngine(zone int) {
	index := slices.IndexFunc(s.engineIDs, func(id EngineID) bool { return s.engineZones[id] == zone })
	removed := s.engineIDs[index]
	s.engineIDs = slices.Delete(s.engineIDs, index, index+1)
	s.addEngine(zone)
	s.listEnginesOnAllHosts()
	for _, h := range s.hosts {
		for _, run := range h.sortedRuns() {
			if run.engine != removed {
				continue
			}
			if to, found := h.pool.Relocate(s.now, run.request.Run, Target{CrossZoneCost: s.otherZoneCost}); found {
				run.engine = to
			}
		}
	}
	s.schedule(s.replaceInterval, func() { s.replaceEngine(zone) })
}

// sortedRuns returns the host's runs ordered by ID, so that results don't depend on map order.
func (h *simHost) sortedRuns() []*simRun {
	return slices.SortedFunc(maps.Values(h.ownRuns), func(a, b *simRun) int {
		return cmp.Compare(a.request.Run, b.request.Run)
	})
}

// updatePool updates a host's pool with the state of the engines and runs, and schedules the next
// update.
func (s *simulation) updatePool(h *simHost) {
	for _, id := range s.engineIDs {
		h.pool.Report(s.now, s.engineReport(id))
	}
	for _, run := range h.sortedRuns() {
		h.pool.Progress(s.now, run.request.Run, run.generated(s.now))
		h.pool.UpdatePrefill(s.now, run.request.Run, run.firstTokenSeen(s.now))
	}
	s.advance(h)
	s.schedule(simUpdateInterval, func() { s.updatePool(h) })
}

func (s *simulation) scheduleArrival(zone int, k simRequestKind) {
	interval := float64(k.meanInterval)
	if s.trafficAmplitude > 0 {
		interval /= 1 + s.trafficAmplitude*math.Sin(2*math.Pi*s.now.Sub(testStart).Seconds()/trafficPeriod.Seconds())
	}
	if s.burst != nil {
		interval /= s.burst(k)
	}
	wait := time.Duration(s.requestRand.ExpFloat64() * interval)
	s.schedule(wait, func() {
		s.handleArrival(s.hosts[zone*s.simConfig.hostsPerZone+s.requestRand.IntN(s.simConfig.hostsPerZone)], k)
		s.scheduleArrival(zone, k)
	})
}

// handleArrival has a host place a new request and an engine run it.
func (s *simulation) handleArrival(h *simHost, k simRequestKind) {
	answerLength := 1 + s.requestRand.IntN(int(k.maxAnswer))
	if k.medianAnswer > 0 {
		answerLength = min(int(float64(k.medianAnswer)*math.Exp(answerLogStdDev*s.requestRand.NormFloat64()))+1, int(k.maxAnswer))
	}
	r := Request{
		Run: RunID(fmt.Sprint("r", s.seq)), Route: k.route, Account: "a", Priority: k.priority, PromptTokens: Tokens(1 + s.requestRand.IntN(int(k.maxPrompt))), MaxOutputTokens: k.maxAnswer,
		Zone: simZone(h.zone), CrossZoneCost: s.otherZoneCost, Objective: k.objective, ArrivedAt: s.now, Deadline: s.now.Add(k.objective),
	}
	result := s.results[k.route]
	result.requests++
	d := s.submit(h, r)
	switch {
	case s.startOnEngine != nil && d.Verdict == Queued:
		h.queued[r.Run] = simQueuedRequest{r, Tokens(answerLength)}
		return
	case d.Verdict != Granted:
		h.pool.Finish(s.now, Finish{Run: r.Run})
		result.refused++
		return
	}
	if s.startOnEngine != nil {
		s.startRun(h, r, d, Tokens(answerLength))
		return
	}
	readUntil := s.now
	if s.readUntil[d.Engine].After(readUntil) {
		readUntil = s.readUntil[d.Engine]
	}
	readTime := time.Duration(float64(r.PromptTokens) / simReadRate * float64(time.Second))
	if s.slowEngines[d.Engine] {
		readTime = time.Duration(float64(readTime) * s.simConfig.slowFactor)
	}
	readUntil = readUntil.Add(readTime)
	s.readUntil[d.Engine] = readUntil
	run := &simRun{request: r, engine: d.Engine, firstTokenAt: readUntil.Add(simStepTime)}
	h.ownRuns[r.Run] = run
	timeToFirstToken := run.firstTokenAt.Sub(s.now)
	result.timesToFirstToken = append(result.timesToFirstToken, timeToFirstToken)
	result.placements[d.Engine] = append(result.placements[d.Engine], s.now.Sub(testStart))
	if timeToFirstToken <= k.objective {
		result.inTime++
	} else {
		result.late++
	}
	s.notifyPlacement(h, d.Engine)
	s.schedule(timeToFirstToken, func() { h.pool.RecordFirstToken(s.now, r.Run) })
	s.schedule(timeToFirstToken+time.Duration(answerLength)*simStepTime, func() {
		h.pool.Finish(s.now, Finish{Run: r.Run, GeneratedTokens: Tokens(answerLength), Complete: true})
		delete(h.ownRuns, r.Run)
	})
}

// startRun starts a request on the engine of its decision; only for engines whose memory is
// simulated.
func (s *simulation) startRun(h *simHost, r Request, d Decision, answerLength Tokens) {
	run := &simRun{request: r, engine: d.Engine}
	h.ownRuns[r.Run] = run
	s.notifyPlacement(h, d.Engine)
	s.startOnEngine(h, run, answerLength)
}

// advance has a host decide on its queued requests.
func (s *simulation) advance(h *simHost) {
	for _, d := range h.pool.Advance(s.now) {
		q, waits := h.queued[d.Run]
		delete(h.queued, d.Run)
		switch {
		case !waits:
		case d.Verdict == Granted:
			s.startRun(h, q.request, d, q.answerLength)
		default:
			s.results[q.request.Route].refused++
		}
	}
}

// submit has a host place a request: first in its own zone and then, with askOtherZones, by
// asking one host of each other zone.
func (s *simulation) submit(h *simHost, r Request) Decision {
	if !s.askOtherZones {
		return h.pool.Submit(s.now, r)
	}
	r.SameZoneOnly = true
	if d, ok := h.pool.TryPlace(s.now, r); ok {
		return d
	}
	for _, other := range s.decisionRand.Perm(s.zones - 1) {
		zone := (h.zone + 1 + other) % s.zones
		peer := s.hosts[zone*s.simConfig.hostsPerZone+s.decisionRand.IntN(s.simConfig.hostsPerZone)]
		remote := r
		remote.Zone = simZone(zone)
		d, ok := peer.pool.TryPlace(s.now, remote)
		if !ok {
			continue
		}
		// The peer drops the run again; from now on the asking host accounts for it.
		peer.pool.Finish(s.now, Finish{Run: r.Run})
		if d, ok = h.pool.PlaceOn(s.now, r, d.Engine, d.TimeToFirstToken); ok {
			return d
		}
	}
	r.SameZoneOnly = true
	return h.pool.Submit(s.now, r)
}

// notifyPlacement notifies other hosts of a run that a host has placed.
func (s *simulation) notifyPlacement(h *simHost, engine EngineID) {
	otherZone := s.engineZones[engine] != h.zone
	for _, other := range s.hosts {
		if other != h && (otherZone || other.zone == h.zone) {
			s.schedule(simNotifyDelay, func() { s.receiveRuns(other, h) })
		}
	}
}

// shareRuns shares a host's runs with its zone and some hosts of other zones, and schedules the
// next share.
func (s *simulation) shareRuns(h *simHost) {
	var otherZoneHosts []*simHost
	for _, other := range s.hosts {
		switch {
		case other.zone != h.zone:
			otherZoneHosts = append(otherZoneHosts, other)
		case other != h:
			s.receiveRuns(other, h)
		}
	}
	for range min(simOtherZoneShares, len(otherZoneHosts)) {
		s.receiveRuns(otherZoneHosts[h.nextOtherZoneHost%len(otherZoneHosts)], h)
		h.nextOtherZoneHost++
	}
	s.schedule(simShareInterval, func() { s.shareRuns(h) })
}

// receiveRuns replaces what a host knows of another host's runs.
func (s *simulation) receiveRuns(receiver, sender *simHost) {
	known := receiver.peerRuns[sender]
	if known == nil {
		known = map[RunID]bool{}
		receiver.peerRuns[sender] = known
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if run := sender.ownRuns[id]; run == nil || receiver.pool.EngineOf(id) != run.engine {
			delete(known, id)
			receiver.pool.Finish(s.now, Finish{Run: id})
		}
	}
	for _, run := range sender.sortedRuns() {
		r := run.request
		if known[r.Run] {
			receiver.pool.Progress(s.now, r.Run, run.generated(s.now))
			receiver.pool.UpdatePrefill(s.now, r.Run, run.firstTokenSeen(s.now))
		} else {
			known[r.Run] = true
			receiver.pool.Adopt(s.now, Request{Run: r.Run, Account: r.Account, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens}, run.engine, run.generated(s.now))
		}
	}
}

// TestLoadOfManyHosts simulates a light load of chats, and of short answers to long prompts, on
// many hosts in three zones. Hosts learn late of the runs of other zones, so short answers that
// several hosts place in another zone collide on engines that looked idle. A higher cost of other
// zones must prevent that.
func TestLoadOfManyHosts(t *testing.T) {
	config := simConfig{
		zones: 3, hostsPerZone: 24, enginesPerZone: 12, duration: 15 * time.Second, replaceInterval: 1500 * time.Millisecond, seed: 1,
		kinds: []simRequestKind{
			{route: "chat", meanInterval: 160 * time.Millisecond, objective: 1800 * time.Millisecond, maxPrompt: 6000, maxAnswer: 2000},
			{route: "digest", meanInterval: 130 * time.Millisecond, objective: 1500 * time.Millisecond, maxPrompt: 5000, maxAnswer: 40},
		},
	}
	simulateWithCost := func(otherZoneCost float64) map[resource.Name]*simResult {
		config.otherZoneCost = otherZoneCost
		results := simulate(config)
		for _, k := range config.kinds {
			r := results[k.route]
			t.Logf("cost of another zone %.1f: %s: %d requests, %d in time, %d late, %d refused, time to first token %v (p50), %v (p99)",
				otherZoneCost, k.route, r.requests, r.inTime, r.late, r.refused, r.timeToFirstToken(0.5), r.timeToFirstToken(0.99))
		}
		return results
	}
	is := is.New(t)
	lowCost, highCost := simulateWithCost(0.1), simulateWithCost(0.7)
	for route, r := range highCost {
		is.True(r.timeToFirstToken(0.5) < lowCost[route].timeToFirstToken(0.5))
		is.Equal(r.late, 0)
		is.Equal(r.refused, 0) // the engines have room for all requests
	}
	is.True(highCost["digest"].timeToFirstToken(0.99)*10 <= lowCost["digest"].timeToFirstToken(0.99)*9)
}

// TestLoadOfUnequalEngines simulates a load of many prompts on engines of which a third is slower
// by half. Predictions for slow engines end too early, so these engines build up a backlog that
// no host knows of, and about every tenth request is late. Two corrections have to prevent that:
//   - a run without a first token counts as unread, and
//   - the speed of each engine is learned.
func TestLoadOfUnequalEngines(t *testing.T) {
	is := is.New(t)
	results := simulate(simConfig{
		zones: 1, hostsPerZone: 30, enginesPerZone: 12, duration: 60 * time.Second, otherZoneCost: 0.7, slowFactor: 1.5, seed: 2,
		kinds: []simRequestKind{
			{route: "chat", meanInterval: 186 * time.Millisecond, objective: 1800 * time.Millisecond, maxPrompt: 6000, maxAnswer: 1800},
			{route: "digest", meanInterval: 100 * time.Millisecond, objective: 1500 * time.Millisecond, maxPrompt: 5000, maxAnswer: 40},
		},
	})
	for route, r := range results {
		t.Logf("%s: %d requests, %d in time, %d late, %d refused, time to first token %v (p50), %v (p99)",
			route, r.requests, r.inTime, r.late, r.refused, r.timeToFirstToken(0.5), r.timeToFirstToken(0.99))
		is.True((r.late+r.refused)*100 <= r.requests)
	}
}

// TestLoadReachesNewEngines checks that an empty engine which is added to a busy zone gets at
// least about its share of the requests from its first second on, but not all of them.
func TestLoadReachesNewEngines(t *testing.T) {
	is := is.New(t)
	const engines, addAt, interval = 8, 5 * time.Second, 90 * time.Millisecond
	results := simulate(simConfig{
		zones: 1, hostsPerZone: 30, enginesPerZone: engines, duration: 10 * time.Second, addEngineAfter: addAt, otherZoneCost: 0.7, seed: 3,
		kinds: []simRequestKind{{route: "digest", meanInterval: interval, objective: 1500 * time.Millisecond, maxPrompt: 5000, maxAnswer: 40}},
	})
	r := results["digest"]
	newest := slices.Max(slices.Collect(maps.Keys(r.placements)))
	placedWithin := func(d time.Duration) (n int) {
		for _, at := range r.placements[newest] {
			if at < addAt+d {
				n++
			}
		}
		return n
	}
	expected := float64(time.Second/interval) / (engines + 1)
	t.Logf("the newest engine's share is %.1f requests per second; it got %d in the first second, %d in five seconds; %d of %d requests were late", expected, placedWithin(time.Second), placedWithin(5*time.Second), r.late, r.requests)
	is.True(float64(placedWithin(time.Second)) >= 0.8*expected)
	is.True(float64(placedWithin(time.Second)) <= 4*expected)
	is.True(float64(placedWithin(5*time.Second)) <= 2*5*expected)
	is.Equal(r.late+r.refused, 0)
}
