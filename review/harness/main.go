// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// runTime is how long clients send requests; settleTime is how long the hosts have before that.
	runTime, settleTime = 45 * time.Second, 6 * time.Second
	// Every disruptionInterval, the disruption of the case is there for burstTime or garbageTime; the
	// first time after disruptionInterval.
	disruptionInterval     = 8 * time.Second
	burstTime, garbageTime = 3 * time.Second, 5 * time.Second
	// burstFactor is how many times the usual clients there are in a burst.
	burstFactor = 1.7
	// longBody is a body just within the configured limit.
	longBody = 4<<20 - 1<<10
	// spoiltEvery is how many answers of the spoiling worker there are to each one that it spoils.
	spoiltEvery = 20
)

// Bounds of the rules.
const (
	// maxLost is how many requests may be lost.
	maxLost = 3
	// maxEnds is how many processes of one machine may end, if two machines have more.
	maxEnds = 2
)

// clientsByZone are the clients of the sheet's three zones.
var clientsByZone = map[string]int{"recife-a": 16, "recife-b": 14, "fortaleza-c": 12}

// site is a small deployment: a worker in each of three zones, and a host in two or three of them.
type site struct {
	record   *record
	store    *store
	fleet    *fleet
	hosts    []*host
	outcomes outcomes
	// streamWorkers are the workers of the case of streams.
	streamWorkers []*workerProcess
	// via holds the name of the host that each request was sent to.
	via sync.Map

	body        []byte
	uploadBytes int
	// chunked says that long bodies are sent in chunks, without a length.
	chunked bool
}

// hostFor returns a ready host for a client, of its zone if possible; nil if none is ready.
func (s *site) hostFor(zone string, client int) *host {
	var own, others []*host
	for _, h := range s.hosts {
		switch {
		case !h.ready.Load():
		case h.zone == zone:
			own = append(own, h)
		default:
			others = append(others, h)
		}
	}
	if len(own) > 0 {
		return own[client%len(own)]
	}
	if len(others) > 0 {
		return others[client%len(others)]
	}
	return nil
}

func main() {
	name := flag.String("case", "", "streams, uploads, garbage or rollout; worker is for the harness itself")
	trouble := flag.Bool("trouble", true, "with the disruption")
	freeze := flag.Bool("freeze", true, "case streams: with machines that stand still")
	crash := flag.Bool("crash", true, "case streams: with workers that crash")
	id := flag.String("id", "", "case worker: the worker's id")
	listen := flag.String("listen", "", "case worker: its address")
	program := flag.String("program", "target/shedpath", "the program of the entry hosts")
	recordFile := flag.String("record", "record.txt", "the file to write what happened to")
	flag.Parse()
	if *name == "worker" {
		runStreamWorker(*id, *listen)
		return
	}
	o := options{name: *name, trouble: *trouble, freeze: *trouble && *freeze, crash: *trouble && *crash, program: *program}
	r, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	status, err := run(r, o)
	if err != nil {
		r.verdict("the case couldn't run: %v", err)
		status = 2
	}
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}

// options say what to play.
type options struct {
	// name is the name of the case, and trouble says that its disruption is there.
	name    string
	trouble bool
	// freeze and crash are the parts of the disruption of the case of streams.
	freeze, crash bool
	// program is the program of the hosts.
	program string
}

// run plays a case and returns the exit status.
func run(r *record, o options) (int, error) {
	name, trouble := o.name, o.trouble
	if !slices.Contains([]string{"streams", "uploads", "garbage", "rollout"}, name) {
		return 2, fmt.Errorf("unknown case %q", name)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(dir)
	s := &site{
		record: r, store: newStore(), fleet: &fleet{record: r, runs: map[string]int{}, unsound: map[string]bool{}}, outcomes: outcomes{byResult: map[string]int{}},
		body: make([]byte, longBody), uploadBytes: longBody, chunked: trouble,
	}
	// A signal ends the case, and with it all processes that it started.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	var processes sync.WaitGroup
	defer processes.Wait()
	defer cancel()
	l := layout{workerZones: []string{"recife-a", "recife-b", "fortaleza-c"}, template: nodeTemplate}
	l.hostZones = l.workerZones
	switch name {
	case "uploads":
		// The hosts of a zone are away. This is to be borne, and is so without the disruption, too.
		l.hostZones = l.hostZones[:2]
	case "streams":
		l = layout{workerZones: streamZones, hostZones: slices.Concat(streamZones, streamZones), template: streamsNodeTemplate, streams: true}
	case "rollout":
		l = layout{workerZones: rolloutZones, hostZones: slices.Concat(rolloutZones, rolloutZones), template: rolloutNodeTemplate, rollout: true}
	}
	if err := s.start(ctx, &processes, dir, o.program, l); err != nil {
		return 2, err
	}
	sleep(ctx, settleTime)
	for _, h := range s.hosts {
		if !h.ready.Load() {
			return 2, fmt.Errorf("%s isn't ready", h.name)
		}
	}
	if name == "streams" {
		return s.playStreams(ctx, o.freeze, o.crash, s.streamWorkers)
	}
	if name == "rollout" {
		return s.playRollout(ctx, trouble)
	}
	s.playLoad(ctx, name, trouble)
	if ctx.Err() != nil {
		return 2, ctx.Err()
	}
	return s.judge(), nil
}

// rolloutZones are the zones of the case of a rollout.
var rolloutZones = []string{"asturias-a", "asturias-b", "asturias-c"}

// layout says which hosts and workers there are.
type layout struct {
	// hostZones has the zone of each host, and workerZones that of each worker.
	hostZones, workerZones []string
	// template is the settings file.
	template string
	// rollout says that there are workers of the new version, too.
	rollout bool
	// streams says that the workers are those of a streaming service.
	streams bool
}

// plainZones are the zones of the workers that aren't processes of their own.
func (l *layout) plainZones() []string {
	if l.streams {
		return nil
	}
	return l.workerZones
}

// startStreamWorkers starts processes of stream workers, four in each zone. They end with the context.
func (s *site) startStreamWorkers(ctx context.Context, processes *sync.WaitGroup, zones []string, address func(n int) string) error {
	for n, zone := range slices.Concat(zones, zones, zones, zones) {
		w := &workerProcess{number: n + 1, zone: zone, address: address(40+n) + ":8428", record: s.record, store: s.store}
		if err := w.start(); err != nil {
			return err
		}
		s.streamWorkers = append(s.streamWorkers, w)
		processes.Go(func() {
			<-ctx.Done()
			w.stop()
		})
	}
	return nil
}

// start starts the store, the workers and the hosts.
func (s *site) start(ctx context.Context, processes *sync.WaitGroup, dir, program string, l layout) error {
	block, err := freeAddresses()
	if err != nil {
		return err
	}
	address := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", block>>8, block&0xff, n) }
	listener, err := net.Listen("tcp", address(1)+":8742")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	if l.streams {
		s.store.put(configKey, streamsConfigDocument)
		if err := s.startStreamWorkers(ctx, processes, l.workerZones, address); err != nil {
			return err
		}
	} else {
		s.store.put(configKey, configDocument)
	}
	if err := s.fleet.start(l.plainZones(), oldVersion, func(n int) string { return address(40 + n) }, s.store); err != nil {
		return err
	}
	if l.rollout {
		if err := s.fleet.start(l.workerZones, newVersion, func(n int) string { return address(60 + n) }, s.store); err != nil {
			return err
		}
	}
	var seeds []string
	for n := range min(len(l.hostZones), 3) {
		seeds = append(seeds, address(10+n)+":7248")
	}
	for n, zone := range l.hostZones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, 1+n/len(l.workerZones)), zone: zone, ip: address(10 + n), record: s.record, unlimited: l.rollout}
		h.setSettings(l.template, dir, address(1)+":8742", seeds)
		s.hosts = append(s.hosts, h)
		processes.Go(func() { h.run(ctx, program) })
		go h.checkReady(ctx)
	}
	return nil
}

// freeAddresses returns a block of loopback addresses on which nobody listens.
func freeAddresses() (int, error) {
	for n := range 1 << 12 {
		block := 1<<14 + (os.Getpid()*7+n)%(1<<14)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:8742", block>>8, block&0xff))
		if err == nil {
			return block, lock.Close()
		}
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

// playLoad lets the clients send requests, in bursts from time to time.
func (s *site) playLoad(ctx context.Context, name string, trouble bool) {
	ctx, cancel := context.WithTimeout(ctx, runTime)
	defer cancel()
	began := time.Now()
	disrupted := func() bool {
		since, lasts := time.Since(began), burstTime
		if name == "garbage" {
			lasts = garbageTime
		}
		return since >= disruptionInterval && since%disruptionInterval < lasts
	}
	var clients sync.WaitGroup
	number := 0
	for zone, count := range clientsByZone {
		guests := int(float64(count)*burstFactor) - count
		for n := range count + guests {
			number++
			c := &client{number: number, zone: zone, site: s, pause: meanPause}
			clients.Go(func() {
				if name == "garbage" {
					if n < count {
						c.run(ctx, func() bool { return false })
					}
					return
				}
				for n >= count && ctx.Err() == nil && !disrupted() {
					sleep(ctx, 10*time.Millisecond)
				}
				c.run(ctx, disrupted)
			})
		}
	}
	if name == "garbage" && trouble {
		go func() {
			for ctx.Err() == nil {
				s.setGarbage(disrupted())
				sleep(ctx, 10*time.Millisecond)
			}
		}()
	}
	clients.Wait()
}

func (s *site) setGarbage(on bool) {
	if s.fleet.garbage.Swap(on) != on {
		s.record.add("workers hand out wrong bytes: %v", on)
	}
}

// judge writes what was seen and returns 1 if a rule was broken.
func (s *site) judge() int {
	s.outcomes.mu.Lock()
	defer s.outcomes.mu.Unlock()
	for result, count := range s.outcomes.byResult {
		s.record.verdict("attempts that ended with %s: %d", result, count)
	}
	failing := 0
	for _, h := range s.hosts {
		s.record.verdict("%s: %d processes ended, %d MB at most of %d", h.name, h.ends.Load(), h.peakMB.Load(), memoryLimitMB)
		if h.ends.Load() > maxEnds {
			failing++
		}
	}
	s.record.verdict("requests of kept connections that were passed on and got no answer: %d, allowed %d", s.outcomes.lost, maxLost)
	broken := 0
	if failing >= 2 {
		s.record.verdict("rule Fault is broken: processes of %d machines ended by themselves three times", failing)
		broken = 1
	}
	if s.outcomes.lost > maxLost {
		s.record.verdict("rule LOST is broken")
		broken = 1
	}
	return broken
}
