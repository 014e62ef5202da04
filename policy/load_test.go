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

// A load is played in virtual time against the decisions of many hosts, each with a
// pool of its own that knows only what the others have told it. Engines read prompts
// one after another and decode beside that.

// simRequestKind is one kind of request of a load.
type simRequestKind struct {
	route resource.Name
	// meanInterval is the mean time between two of them in one zone.
	meanInterval time.Duration
	objective    time.Duration
	// maxPrompt and maxAnswer are the longest of each; shorter ones are as likely.
	maxPrompt, maxAnswer Tokens
	// medianAnswer is the median of the answers' lengths, which then have a long tail up to
	// out; zero for lengths that are as likely.
	medianAnswer Tokens
	// priority is the request's among those that wait.
	priority int
}

// simConfig is a site and what its callers ask of it.
type simConfig struct {
	zones, hostsPerZone, enginesPerZone int // the latter two in each zone
	kinds                               []simRequestKind
	duration                            time.Duration
	// slowFactor is how much slower every third engine is than the others; zero for not.
	slowFactor float64
	// replaceInterval is how often an engine of each zone leaves, its runs move off it, and
	// an empty one takes its place; zero for never.
	replaceInterval time.Duration
	// addEngineAfter is when an empty engine is added in each zone; zero for never.
	addEngineAfter time.Duration
	// otherZoneCost is what an engine of another zone costs a new run.
	otherZoneCost float64
	// askOtherZones has hosts ask those of other zones for a place where their own has no room.
	askOtherZones bool
	// trafficAmplitude is how far the traffic swings about its mean; zero for not.
	trafficAmplitude float64
	seed             uint64
}

const (
	// trafficPeriod is the time from one crest of the traffic to the next.
	trafficPeriod = 11 * time.Second
	// answerLogStdDev is the standard deviation of the logarithm of lengths with a tail.
	answerLogStdDev = 1.3
)

const (
	simReadRate     = 7300 // tokens that an engine reads in a second beside decoding
	simStepTime     = 9 * time.Millisecond
	simEngineMemory = Tokens(34_000)
	// simNotifyDelay is how late the hosts of a zone hear of a run on one of its engines,
	// and everyone of one that a host of another zone placed.
	simNotifyDelay = 5 * time.Millisecond
	// simShareInterval is the period in which a host tells its zone, and tellFar hosts of other
	// zones in turn, of all its runs.
	simShareInterval   = 500 * time.Millisecond
	simOtherZoneShares = 3
	// simUpdateInterval is how often a host looks at all engines.
	simUpdateInterval = 100 * time.Millisecond
)

// simResult is what the callers of one kind got.
type simResult struct {
	requests, inTime, late, refused int
	timesToFirstToken               []time.Duration
	// placements are when each engine got its requests.
	placements map[EngineID][]time.Duration
}

func (r *simResult) timeToFirstToken(share float64) time.Duration {
	slices.Sort(r.timesToFirstToken)
	return r.timesToFirstToken[int(share*float64(len(r.timesToFirstToken)-1))]
}

// simHost is one host with what it knows.
type simHost struct {
	zone int
	pool *Pool
	// ownRuns are its runs; theirs those that each other host told of.
	ownRuns           map[RunID]*simRun
	peerRuns          map[*simHost]map[RunID]bool
	nextOtherZoneHost int
	// queued are its requests that wait for a place, with their answers' lengths.
	queued map[RunID]simQueuedRequest
}

// simQueuedRequest is a request that waits.
type simQueuedRequest struct {
	request      Request
	answerLength Tokens
}

type simRun struct {
	request      Request
	engine       EngineID
	firstTokenAt time.Time
	// memoryRun is the run on an engine whose memory is memoryRun; nil where it isn't.
	memoryRun *memoryRun
}

// generated is how many tokens the run has.
func (r *simRun) generated(now time.Time) Tokens {
	if r.memoryRun != nil {
		return r.memoryRun.generated
	}
	if now.Before(r.firstTokenAt) {
		return 0
	}
	return min(Tokens(now.Sub(r.firstTokenAt)/simStepTime)+1, r.request.MaxOutputTokens)
}

// firstTokenSeen is when its first token came; zero while it has none.
func (r *simRun) firstTokenSeen(now time.Time) time.Time {
	if r.firstTokenAt.IsZero() || now.Before(r.firstTokenAt) {
		return time.Time{}
	}
	return r.firstTokenAt
}

// simulation plays a plan.
type simulation struct {
	simConfig
	requestRand *rand.Rand
	now         time.Time
	events      simEventQueue
	hosts       []*simHost
	engineIDs   []EngineID
	engineZones map[EngineID]int
	slowEngines map[EngineID]bool
	readUntil   map[EngineID]time.Time // when each has read what it got
	results     map[resource.Name]*simResult
	seq         int
	// startOnEngine has an engine whose memory is played take a run of some length; nil where
	// engines have room for whatever they get.
	startOnEngine func(h *simHost, run *simRun, out Tokens)
	// decisionRand is for what differs between ways of deciding; the callers' requests don't.
	decisionRand *rand.Rand
	// settings are those of the hosts' pools.
	settings Settings
	// engineMemory is an engine's.
	engineMemory Tokens
}

// simEvent is something that happens at a time.
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

// simulate returns what the callers of each kind got.
func simulate(p simConfig) map[resource.Name]*simResult {
	s := newSimulation(p)
	s.run()
	return s.results
}

func newSimulation(p simConfig) *simulation {
	return &simulation{
		simConfig: p, engineMemory: simEngineMemory, settings: Settings{InitialPrefillRate: simReadRate, MaxBatchSize: 24}, requestRand: rand.New(rand.NewPCG(p.seed, 0)), decisionRand: rand.New(rand.NewPCG(p.seed, 1)), now: testStart,
		engineZones: map[EngineID]int{}, slowEngines: map[EngineID]bool{}, readUntil: map[EngineID]time.Time{}, results: map[resource.Name]*simResult{},
	}
}

// run plays the plan to its end.
func (s *simulation) run() {
	p := s.simConfig
	for z := range p.zones {
		for range p.enginesPerZone {
			s.addEngine(z)
		}
	}
	for z := range p.zones {
		for range p.hostsPerZone {
			h := &simHost{zone: z, pool: NewPool(s.poolSettings(len(s.hosts))), ownRuns: map[RunID]*simRun{}, peerRuns: map[*simHost]map[RunID]bool{}, queued: map[RunID]simQueuedRequest{}}
			s.listEngines(h)
			s.hosts = append(s.hosts, h)
		}
		if p.addEngineAfter > 0 {
			s.schedule(p.addEngineAfter, func() {
				s.addEngine(z)
				s.listEnginesOnAllHosts()
			})
		}
		if p.replaceInterval > 0 {
			s.schedule(time.Duration(z+1)*p.replaceInterval/time.Duration(p.zones), func() { s.replaceEngine(z) })
		}
	}
	for _, h := range s.hosts {
		s.updatePool(h)
		s.schedule(time.Duration(s.requestRand.Int64N(int64(simShareInterval))), func() { s.shareRuns(h) })
	}
	for _, k := range p.kinds {
		s.results[k.route] = &simResult{placements: map[EngineID][]time.Duration{}}
		for z := range p.zones {
			s.scheduleArrival(z, k)
		}
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.Sub(testStart) > p.duration {
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

// poolSettings are the settings of a host's pool.
func (s *simulation) poolSettings(host int) Settings {
	settings := s.settings
	settings.DeciderID = fmt.Sprint("h", host)
	return settings
}

// listEngines tells a host which engines take work.
func (s *simulation) listEngines(h *simHost) {
	h.pool.SetEngines(s.engineIDs)
	for _, id := range s.engineIDs {
		h.pool.SetZone(id, simZone(s.engineZones[id]))
		h.pool.Report(s.now, Report{Engine: id, TotalMemory: s.engineMemory, StepTime: simStepTime})
	}
}

func (s *simulation) listEnginesOnAllHosts() {
	for _, h := range s.hosts {
		s.listEngines(h)
		s.advance(h)
	}
}

// replaceEngine has an engine of a zone leave for an empty one.
func (s *simulation) replaceEngine(zone int) {
	leaves := slices.IndexFunc(s.engineIDs, func(id EngineID) bool { return s.engineZones[id] == zone })
	left := s.engineIDs[leaves]
	s.engineIDs = slices.Delete(s.engineIDs, leaves, leaves+1)
	s.addEngine(zone)
	s.listEnginesOnAllHosts()
	for _, h := range s.hosts {
		for _, run := range h.sortedRuns() {
			if run.engine != left {
				continue
			}
			if to, found := h.pool.Relocate(s.now, run.request.Run, Target{CrossZoneCost: s.otherZoneCost}); found {
				run.engine = to
			}
		}
	}
	s.schedule(s.replaceInterval, func() { s.replaceEngine(zone) })
}

// sortedRuns are the host's, in an order that doesn't depend on a map.
func (h *simHost) sortedRuns() []*simRun {
	return slices.SortedFunc(maps.Values(h.ownRuns), func(a, b *simRun) int {
		return cmp.Compare(a.request.Run, b.request.Run)
	})
}

// updatePool has a host take in how the engines stand, as it does all the time.
func (s *simulation) updatePool(h *simHost) {
	for _, id := range s.engineIDs {
		h.pool.Report(s.now, Report{Engine: id, TotalMemory: s.engineMemory, StepTime: simStepTime})
	}
	for _, run := range h.sortedRuns() {
		h.pool.Progress(s.now, run.request.Run, run.generated(s.now))
		h.pool.UpdatePrefill(s.now, run.request.Run, run.firstTokenSeen(s.now))
	}
	s.advance(h)
	s.schedule(simUpdateInterval, func() { s.updatePool(h) })
}

func (s *simulation) scheduleArrival(zone int, k simRequestKind) {
	every := float64(k.meanInterval)
	if s.trafficAmplitude > 0 {
		every /= 1 + s.trafficAmplitude*math.Sin(2*math.Pi*s.now.Sub(testStart).Seconds()/trafficPeriod.Seconds())
	}
	wait := time.Duration(s.requestRand.ExpFloat64() * every)
	s.schedule(wait, func() {
		s.handleArrival(s.hosts[zone*s.simConfig.hostsPerZone+s.requestRand.IntN(s.simConfig.hostsPerZone)], k)
		s.scheduleArrival(zone, k)
	})
}

// handleArrival has a host place a request, and its engine run it.
func (s *simulation) handleArrival(h *simHost, k simRequestKind) {
	out := 1 + s.requestRand.IntN(int(k.maxAnswer))
	if k.medianAnswer > 0 {
		out = min(int(float64(k.medianAnswer)*math.Exp(answerLogStdDev*s.requestRand.NormFloat64()))+1, int(k.maxAnswer))
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
		h.queued[r.Run] = simQueuedRequest{r, Tokens(out)}
		return
	case d.Verdict != Granted:
		h.pool.Finish(s.now, Finish{Run: r.Run})
		result.refused++
		return
	}
	if s.startOnEngine != nil {
		s.startRun(h, r, d, Tokens(out))
		return
	}
	read := s.now
	if s.readUntil[d.Engine].After(read) {
		read = s.readUntil[d.Engine]
	}
	takes := time.Duration(float64(r.PromptTokens) / simReadRate * float64(time.Second))
	if s.slowEngines[d.Engine] {
		takes = time.Duration(float64(takes) * s.simConfig.slowFactor)
	}
	read = read.Add(takes)
	s.readUntil[d.Engine] = read
	run := &simRun{request: r, engine: d.Engine, firstTokenAt: read.Add(simStepTime)}
	h.ownRuns[r.Run] = run
	took := run.firstTokenAt.Sub(s.now)
	result.timesToFirstToken = append(result.timesToFirstToken, took)
	result.placements[d.Engine] = append(result.placements[d.Engine], s.now.Sub(testStart))
	if took <= k.objective {
		result.inTime++
	} else {
		result.late++
	}
	s.notifyPlacement(h, d.Engine)
	s.schedule(took, func() { h.pool.RecordFirstToken(s.now, r.Run) })
	s.schedule(took+time.Duration(out)*simStepTime, func() {
		h.pool.Finish(s.now, Finish{Run: r.Run, GeneratedTokens: Tokens(out), Complete: true})
		delete(h.ownRuns, r.Run)
	})
}

// startRun has an engine whose memory is played take a request.
func (s *simulation) startRun(h *simHost, r Request, d Decision, out Tokens) {
	run := &simRun{request: r, engine: d.Engine}
	h.ownRuns[r.Run] = run
	s.notifyPlacement(h, d.Engine)
	s.startOnEngine(h, run, out)
}

// advance has a host decide about what waits there.
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

// submit has a host place a request: in its own zone, and then by asking a host of
// another one, if the plan has them ask.
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
		asked := s.hosts[zone*s.simConfig.hostsPerZone+s.decisionRand.IntN(s.simConfig.hostsPerZone)]
		there := r
		there.Zone = simZone(zone)
		d, ok := asked.pool.TryPlace(s.now, there)
		if !ok {
			continue
		}
		// It tells the host that asked, whose word counts from then on.
		asked.pool.Finish(s.now, Finish{Run: r.Run})
		if d, ok = h.pool.PlaceOn(s.now, r, d.Engine, d.TimeToFirstToken); ok {
			return d
		}
	}
	r.SameZoneOnly = true
	return h.pool.Submit(s.now, r)
}

// notifyPlacement has a host tell others at once of a run that it has placed.
func (s *simulation) notifyPlacement(h *simHost, on EngineID) {
	far := s.engineZones[on] != h.zone
	for _, other := range s.hosts {
		if other != h && (far || other.zone == h.zone) {
			s.schedule(simNotifyDelay, func() { s.receiveRuns(other, h) })
		}
	}
}

// shareRuns has a host shareRuns its zone, and some hosts of others, of its runs.
func (s *simulation) shareRuns(h *simHost) {
	var far []*simHost
	for _, other := range s.hosts {
		switch {
		case other.zone != h.zone:
			far = append(far, other)
		case other != h:
			s.receiveRuns(other, h)
		}
	}
	for range min(simOtherZoneShares, len(far)) {
		s.receiveRuns(far[h.nextOtherZoneHost%len(far)], h)
		h.nextOtherZoneHost++
	}
	s.schedule(simShareInterval, func() { s.shareRuns(h) })
}

// hear replaces what a host knows of another's runs.
func (s *simulation) receiveRuns(to, from *simHost) {
	known := to.peerRuns[from]
	if known == nil {
		known = map[RunID]bool{}
		to.peerRuns[from] = known
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if run := from.ownRuns[id]; run == nil || to.pool.EngineOf(id) != run.engine {
			delete(known, id)
			to.pool.Finish(s.now, Finish{Run: id})
		}
	}
	for _, run := range from.sortedRuns() {
		r := run.request
		if known[r.Run] {
			to.pool.Progress(s.now, r.Run, run.generated(s.now))
			to.pool.UpdatePrefill(s.now, r.Run, run.firstTokenSeen(s.now))
		} else {
			known[r.Run] = true
			to.pool.Adopt(s.now, Request{Run: r.Run, Account: r.Account, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens}, run.engine, run.generated(s.now))
		}
	}
}

// TestLoadOfManyHosts plays a quiet load on many hosts of three zones: chats, and short
// answers to long prompts. Hosts hear of other zones' runs late, so short answers that
// are placed there meet one another on engines that looked idle.
func TestLoadOfManyHosts(t *testing.T) {
	plan := simConfig{
		zones: 3, hostsPerZone: 24, enginesPerZone: 12, duration: 15 * time.Second, replaceInterval: 1500 * time.Millisecond, seed: 1,
		kinds: []simRequestKind{
			{route: "chat", meanInterval: 160 * time.Millisecond, objective: 1800 * time.Millisecond, maxPrompt: 6000, maxAnswer: 2000},
			{route: "digest", meanInterval: 130 * time.Millisecond, objective: 1500 * time.Millisecond, maxPrompt: 5000, maxAnswer: 40},
		},
	}
	play := func(farCost float64) map[resource.Name]*simResult {
		plan.otherZoneCost = farCost
		results := simulate(plan)
		for _, k := range plan.kinds {
			r := results[k.route]
			t.Logf("cost of another zone %.1f: %s asked %d, in time %d, late %d, refused %d, first token %v (median), %v (99 of 100)",
				farCost, k.route, r.requests, r.inTime, r.late, r.refused, r.timeToFirstToken(0.5), r.timeToFirstToken(0.99))
		}
		return results
	}
	is := is.New(t)
	cheap, dear := play(0.1), play(0.7)
	for route, r := range dear {
		is.True(r.timeToFirstToken(0.5) < cheap[route].timeToFirstToken(0.5))
		is.Equal(r.late, 0)
		is.Equal(r.refused, 0) // there is room
	}
	is.True(dear["digest"].timeToFirstToken(0.99)*10 <= cheap["digest"].timeToFirstToken(0.99)*9)
}

// TestLoadOfUnequalEngines plays a load of many prompts on engines of which a third is
// slower by a half. What is foreseen of these ends too early; without what is seen of
// their reading they keep a backlog that nobody knows of: 25 of 297 chats and 59 of 621
// short answers were late, 13 and 23 with what runs without a token tell, 1 and 2 with
// each engine's own speed learnt as well.
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
		t.Logf("%s asked %d, in time %d, late %d, refused %d, first token %v (median), %v (99 of 100)",
			route, r.requests, r.inTime, r.late, r.refused, r.timeToFirstToken(0.5), r.timeToFirstToken(0.99))
		is.True((r.late+r.refused)*100 <= r.requests)
	}
}

// TestLoadReachesNewEngines has an empty engine that is added to a busy zone get at
// least its share of the requests from its first second on, and not all of them.
func TestLoadReachesNewEngines(t *testing.T) {
	is := is.New(t)
	const engines, addAt, every = 8, 5 * time.Second, 90 * time.Millisecond
	results := simulate(simConfig{
		zones: 1, hostsPerZone: 30, enginesPerZone: engines, duration: 10 * time.Second, addEngineAfter: addAt, otherZoneCost: 0.7, seed: 3,
		kinds: []simRequestKind{{route: "digest", meanInterval: every, objective: 1500 * time.Millisecond, maxPrompt: 5000, maxAnswer: 40}},
	})
	r := results["digest"]
	newest := slices.Max(slices.Collect(maps.Keys(r.placements)))
	within := func(d time.Duration) (n int) {
		for _, at := range r.placements[newest] {
			if at < addAt+d {
				n++
			}
		}
		return n
	}
	share := float64(time.Second/every) / (engines + 1)
	t.Logf("share %.1f a second; got %d in one second, %d in five; late %d of %d", share, within(time.Second), within(5*time.Second), r.late, r.requests)
	is.True(float64(within(time.Second)) >= 0.8*share)
	is.True(float64(within(time.Second)) <= 4*share)
	is.True(float64(within(5*time.Second)) <= 2*5*share)
	is.Equal(r.late+r.refused, 0)
}
