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

// balancer sends each call to an entry that says that it is ready, and to the
// next when the call was surely not run, as the platform's does.
type balancer struct {
	mu        sync.Mutex
	entries   []*process
	nextIndex int
}

func (b *balancer) replace(i int, e *process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[i] = e
}

func (b *balancer) nextOrder() []*process {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextIndex++
	offset := b.nextIndex % len(b.entries)
	return slices.Concat(b.entries[offset:], b.entries[:offset])
}

func isReady(e *process) bool {
	response, err := http.Get(e.url("admin", "/readyz"))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

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

// rollingRestartTokens make an answer of about three seconds, longer than any part of a
// stop but the wait for it.
const rollingRestartTokens = 240

// TestRollingRestart restarts every entry of a site, one by one, under load: no
// running answer is cut and no call is refused by all.
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
					failures = append(failures, fmt.Sprintf("%d tokens, failure %+v, error %v", len(got.texts), got.failure, got.err))
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

// TestAllStartAtOnce starts nine entries at the same moment on a platform with
// the brief's rates: it refuses none of their calls.
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
		s.waitFor("ready", func() error {
			if !isReady(e) {
				return fmt.Errorf("not yet")
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
	t.Logf("%d reads and %d writes to start nine entries", counts.Reads, counts.Writes)
}
