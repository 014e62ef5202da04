// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// balancer sends calls to ready entries in turn, as the platform's load balancer
// does. It retries a call at the next entry only if the error states that the
// call was not run.
type balancer struct {
	mu        sync.Mutex
	entries   []*process
	nextIndex int
}

// replace puts a restarted entry in the place of entry i.
func (b *balancer) replace(i int, e *process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[i] = e
}

// nextOrder returns the entries in the order in which to try the next call.
func (b *balancer) nextOrder() []*process {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextIndex++
	offset := b.nextIndex % len(b.entries)
	return slices.Concat(b.entries[offset:], b.entries[:offset])
}

// isReady reports whether the entry's /readyz returns status 200.
func isReady(e *process) bool {
	response, err := http.Get(e.url("admin", "/readyz"))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// generate returns the first result that is not an error of a call that was not
// run, or else the last result.
func (b *balancer) generate(tokens int) generationResult {
	var got generationResult
	for _, e := range b.nextOrder() {
		if !isReady(e) {
			continue
		}
		got = generate(e, tokens)
		if got.failure == nil || got.failure.Run != "not_run" {
			return got
		}
	}
	return got
}

// rollingRestartTokens gives a generation of about three seconds: longer than
// every phase of an entry's shutdown except the wait for running generations.
const rollingRestartTokens = 240

// TestRollingRestart restarts the entries of a site one by one under load and
// checks that no generation is cut off and no call is refused by every entry.
func TestRollingRestart(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 4, 3)
	b := &balancer{entries: slices.Clone(s.entries)}
	stop := make(chan struct{})
	var mu sync.Mutex
	var failures []string
	completed := 0
	var load sync.WaitGroup
	for range 6 {
		load.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := b.generate(rollingRestartTokens)
				mu.Lock()
				if got.done && len(got.texts) == rollingRestartTokens {
					completed++
				} else {
					failures = append(failures, fmt.Sprintf("got %d tokens, failure %+v, error %v", len(got.texts), got.failure, got.err))
				}
				mu.Unlock()
			}
		})
	}
	for i, e := range s.entries {
		e.signal(syscall.SIGTERM)
		<-e.exited
		is.True(e.cmd.ProcessState.Success())
		replacement := s.startEntry(i)
		s.waitUntilServing(replacement)
		b.replace(i, replacement)
	}
	close(stop)
	load.Wait()
	is.Equal(len(failures), 0)
	for _, failure := range failures {
		t.Log(failure)
	}
	is.True(completed > 0)
}

// TestAllStartAtOnce starts nine entries at the same time and checks that the
// platform, with its default rate limits, refuses none of their calls.
func TestAllStartAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 1)
	var starting sync.WaitGroup
	started := make([]*process, 9)
	for i := range started {
		starting.Go(func() { started[i] = s.startEntry(i + 1) })
	}
	starting.Wait()
	for _, e := range started {
		s.waitFor("entry "+e.addresses["caller"]+" to become ready", func() error {
			if !isReady(e) {
				return fmt.Errorf("/readyz did not return status 200")
			}
			return nil
		})
	}
	response, err := http.Get(s.platform.url("listen", "/standin/counts"))
	is.NoErr(err)
	defer response.Body.Close()
	var counts struct{ Reads, Writes, Refused int }
	is.NoErr(json.NewDecoder(response.Body).Decode(&counts))
	is.Equal(counts.Refused, 0)
	t.Logf("nine entries started with %d platform reads and %d writes", counts.Reads, counts.Writes)
}
