// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestAtMostOnce checks that a call with an idempotency key is never executed
// twice when it is sent:
//   - through several entries at once
//   - while the platform loses responses, is slow or is down
//   - again after the entry that holds its claim was frozen and killed
func TestAtMostOnce(t *testing.T) {
	s := newSite(t, 3, 1)
	send := func(e *process, key string) (int, string) {
		status, body, err := callService(e, "orders", "confirm", map[string]string{"Idempotency-Key": key})
		if err != nil {
			return 0, err.Error()
		}
		return status, body
	}
	sendAll := func(key string, entries ...*process) (ok int) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for _, e := range entries {
			all.Go(func() {
				status, _ := send(e, key)
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					ok++
				}
			})
		}
		all.Wait()
		return ok
	}
	t.Run("several entries at once", func(t *testing.T) {
		is := is.New(t)
		for i := range 5 {
			key := fmt.Sprintf("at-once-%d", i)
			is.Equal(sendAll(key, s.entries...), 1)
			is.Equal(s.executionCount(key), 1)
		}
	})
	t.Run("platform loses answers", func(t *testing.T) {
		is := is.New(t)
		for i := range 5 {
			key := fmt.Sprintf("lost-%d", i)
			s.setFaults(s.platform, `{"drop_answers":2}`)
			is.Equal(sendAll(key, s.entries...), 1)
			is.Equal(s.executionCount(key), 1)
		}
		s.setFaults(s.platform, `{}`)
	})
	t.Run("platform slow", func(t *testing.T) {
		is := is.New(t)
		s.setFaults(s.platform, `{"delay_ms":400,"drop_answers":1}`)
		is.Equal(sendAll("slow", s.entries...), 1)
		is.Equal(s.executionCount("slow"), 1)
		s.setFaults(s.platform, `{}`)
	})
	t.Run("platform down", func(t *testing.T) {
		is := is.New(t)
		s.setFaults(s.platform, `{"outage":true}`)
		status, body := send(s.entries[0], "down")
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(s.executionCount("down"), 0)
		is.True(len(body) > 0)
		s.setFaults(s.platform, `{}`)
		s.waitFor("call to succeed after the platform outage", func() error {
			if status, body := send(s.entries[0], "down"); status != http.StatusOK {
				return fmt.Errorf("status %d, body %q, expected status 200", status, body)
			}
			return nil
		})
		is.Equal(s.executionCount("down"), 1)
	})
	t.Run("retried after the claimant froze and died", func(t *testing.T) {
		is := is.New(t)
		s.setFaults(s.services[0], `{"delay_ms":1500}`)
		first := make(chan int)
		go func() {
			status, _ := send(s.entries[0], "frozen")
			first <- status
		}()
		s.waitFor("execution of the first call", func() error {
			if s.executionCount("frozen") == 0 {
				return fmt.Errorf("service has not executed the call with key \"frozen\"")
			}
			return nil
		})
		s.entries[0].signal(syscall.SIGSTOP)
		status, _ := send(s.entries[1], "frozen")
		is.Equal(status, http.StatusConflict)
		s.entries[0].signal(syscall.SIGCONT)
		is.Equal(<-first, http.StatusOK)
		s.entries[0].kill()
		status, _ = send(s.entries[2], "frozen")
		is.Equal(status, http.StatusConflict)
		is.Equal(s.executionCount("frozen"), 1)
	})
}
