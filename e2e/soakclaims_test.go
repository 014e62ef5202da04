// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shedpath/shedpath/standin/platform"
)

var (
	claimSoakSeed     = flag.Uint64("soak.seed", 1, "seed of the fault schedule of TestSoakClaims")
	claimSoakDuration = flag.Duration("soak.for", 30*time.Second, "how long TestSoakClaims injects faults")
	// claimSoakEntries counts the entries that are restarted; each takes about 30 MB.
	claimSoakEntries = flag.Int("soak.entries", 2, "number of entries that TestSoakClaims restarts")
)

const (
	// claimingEntries is the number of entries that send calls for the first time. They aren't
	// ended, because the claims of an entry that ended before a restore are not repaired.
	claimingEntries = 2
	claimCallers    = 12
	// maxSoakCopyAge is the age of the oldest copy that the platform is restored from.
	maxSoakCopyAge = 5 * time.Second
)

// claimSoak is one run of TestSoakClaims.
type claimSoak struct {
	*site
	platformServer *platform.Server
	random         *rand.Rand

	mu sync.Mutex
	// copies are the platform's copies of the last maxSoakCopyAge, oldest first.
	copies []platform.Snapshot
	// answers counts the answers to the callers by status and failure code.
	answers map[string]int
}

// TestSoakClaims checks that no call runs twice while the platform is restored from copies, loses
// answers and is away, entries start, end and are suspended, and callers repeat what they sent.
func TestSoakClaims(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak takes some seconds")
	}
	server := platform.New()
	listener := httptest.NewServer(server)
	defer listener.CloseClientConnections()
	process := &process{t: t, addresses: map[string]string{"listen": strings.TrimPrefix(listener.URL, "http://")}}
	s := &claimSoak{
		site: newSiteOn(t, process, claimingEntries+*claimSoakEntries, 1), platformServer: server,
		random: rand.New(rand.NewPCG(*claimSoakSeed, 0)), answers: map[string]int{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for n := range claimCallers {
		running.Go(func() { s.call(ctx, n) })
	}
	running.Go(func() { s.copyPlatform(ctx) })
	for _, fault := range []struct {
		minInterval, spread time.Duration
		inject              func(random *rand.Rand, n int)
	}{
		{8 * time.Second, 6 * time.Second, s.restore},
		{time.Second, 2 * time.Second, s.loseAnswers},
		{time.Second, 3 * time.Second, s.restartEntry},
		{time.Second, 3 * time.Second, s.suspendEntry},
	} {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				<-time.After(fault.minInterval + time.Duration(random.Int64N(int64(fault.spread))))
				fault.inject(random, n)
			}
		})
	}
	<-time.After(*claimSoakDuration)
	cancel()
	running.Wait()
	s.setFaults(s.platform, `{}`)
	s.checkExecutions()
	t.Logf("seed %d: answers by status and code: %v", *claimSoakSeed, s.answers)
}

// copyPlatform keeps copies of the platform's recent states.
func (s *claimSoak) copyPlatform(ctx context.Context) {
	const interval = 100 * time.Millisecond
	for ctx.Err() == nil {
		s.mu.Lock()
		s.copies = append(s.copies, s.platformServer.Snapshot())
		s.copies = s.copies[max(len(s.copies)-int(maxSoakCopyAge/interval), 0):]
		s.mu.Unlock()
		<-time.After(interval)
	}
}

// restore restores the platform from a copy, at once or after an outage.
func (s *claimSoak) restore(random *rand.Rand, _ int) {
	if random.IntN(2) == 0 {
		s.platformServer.SetFaults(platform.Faults{Outage: true})
		<-time.After(time.Duration(random.IntN(2000)) * time.Millisecond)
		defer s.platformServer.SetFaults(platform.Faults{})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformServer.Restore(s.copies[random.IntN(len(s.copies))])
}

// loseAnswers has the platform lose answers, or answer slowly.
func (s *claimSoak) loseAnswers(random *rand.Rand, _ int) {
	s.platformServer.SetFaults(platform.Faults{DropResponses: random.IntN(4), DelayMillis: random.IntN(2) * 300})
	<-time.After(time.Duration(random.IntN(1000)) * time.Millisecond)
	s.platformServer.SetFaults(platform.Faults{})
}

// restartEntry ends an entry that claims nothing, and starts it again.
func (s *claimSoak) restartEntry(random *rand.Rand, n int) {
	i := claimingEntries + n%*claimSoakEntries
	s.mu.Lock()
	old := s.entries[i]
	s.mu.Unlock()
	if random.IntN(2) == 0 {
		old.signal(syscall.SIGTERM)
		<-old.exited
	} else {
		old.kill()
	}
	started := s.startEntry(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[i] = started
}

// suspendEntry suspends an entry that claims calls.
func (s *claimSoak) suspendEntry(random *rand.Rand, _ int) {
	e := s.entry(random.IntN(claimingEntries))
	e.signal(syscall.SIGSTOP)
	<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
	e.signal(syscall.SIGCONT)
}

func (s *claimSoak) entry(i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i]
}

// call sends calls until the context ends. A call that ran is repeated through all entries, also
// after the restores that follow.
func (s *claimSoak) call(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("c%d-%d", caller, n)
		if s.send(s.entry(rand.IntN(claimingEntries)), key) != http.StatusOK {
			<-time.After(100 * time.Millisecond)
			continue
		}
		for range 20 {
			s.send(s.entry(rand.IntN(len(s.entries))), key)
			<-time.After(time.Duration(rand.IntN(500)) * time.Millisecond)
		}
	}
}

// send sends a call and returns the status of the answer, or zero if no answer came.
func (s *claimSoak) send(e *process, key string) int {
	status, text, err := callService(e, "orders", "confirm", map[string]string{"Idempotency-Key": key})
	if err != nil {
		status = 0
	}
	var body struct{ Error apiError }
	if status != http.StatusOK && err == nil {
		// An answer that isn't JSON is counted without a code.
		_ = json.Unmarshal([]byte(text), &body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[strings.TrimSpace(fmt.Sprintf("%d %s", status, body.Error.Code))]++
	return status
}

// checkExecutions checks that calls ran, and none of them more than once.
func (s *claimSoak) checkExecutions() {
	ran := 0
	for key, count := range s.executionCounts() {
		if !strings.HasPrefix(key, "c") {
			continue
		}
		ran++
		if count > 1 {
			s.t.Errorf("seed %d: call %s ran %d times, want at most once", *claimSoakSeed, key, count)
		}
	}
	if ran == 0 {
		s.t.Errorf("seed %d: no call ran", *claimSoakSeed)
	}
}
