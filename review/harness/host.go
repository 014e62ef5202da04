// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is the limit of the settings file. The platform kills a process above it.
	memoryLimitMB = 134
	// memoryCheckInterval is how often the platform looks at the memory of a process.
	memoryCheckInterval = 5 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
)

// host is an entry host, with the process that runs now.
type host struct {
	name, zone, ip string
	settingsFile   string
	// settings is the text of the settings file, with a gap for what differs at the first start.
	settings string
	record   *record
	// unlimited says that the memory isn't checked.
	unlimited bool

	ready atomic.Bool
	// ends counts the processes that ended by themselves or were above their memory limit.
	ends atomic.Int64
	// peakMB is the most memory that a process had.
	peakMB atomic.Int64

	mu      sync.Mutex
	process *os.Process
	// recordedAt is when the process last logged a decision about a rollout, which it then writes to the
	// store under a condition.
	recordedAt time.Time
	// awayUntil is until when the platform keeps a process from starting after it killed it.
	awayUntil time.Time
}

// setSettings sets the settings of a host, whose file is to be in dir.
func (h *host) setSettings(template, dir, store string, seeds []string) {
	h.settingsFile = filepath.Join(dir, h.name+".toml")
	h.settings = strings.NewReplacer("{name}", h.name, "{ip}", h.ip, "{zone}", h.zone, "{store}", store,
		"{seeds}", `["`+strings.Join(seeds, `","`)+`"]`).Replace(template)
}

// writeSettings writes the settings file. firstStart says that the whole system starts for the first time.
func (h *host) writeSettings(firstStart bool) error {
	text := strings.ReplaceAll(h.settings, "{bootstrap}", strconv.FormatBool(firstStart))
	return os.WriteFile(h.settingsFile, []byte(text), 0o600)
}

// run keeps a process of the host running until the context ends.
func (h *host) run(ctx context.Context, program string) {
	for firstStart := true; ctx.Err() == nil; firstStart = false {
		if err := h.writeSettings(firstStart); err != nil {
			h.record.add("%s gets no settings: %v", h.name, err)
			return
		}
		c := exec.CommandContext(ctx, program, "serve")
		c.Env = append(os.Environ(), "SHEDPATH_NODE_FILE="+h.settingsFile)
		c.Stdout = &logReader{host: h}
		c.Cancel = func() error { return c.Process.Signal(syscall.SIGKILL) }
		if err := c.Start(); err != nil {
			h.record.add("%s doesn't start: %v", h.name, err)
			return
		}
		h.record.add("%s starts, process %d", h.name, c.Process.Pid)
		h.mu.Lock()
		h.process = c.Process
		h.mu.Unlock()
		watchCtx, stopWatch := context.WithCancel(ctx)
		go h.limitMemory(watchCtx, c.Process)
		err := c.Wait()
		stopWatch()
		h.ready.Store(false)
		if ctx.Err() != nil {
			return
		}
		h.mu.Lock()
		away := time.Until(h.awayUntil)
		h.mu.Unlock()
		if away > 0 {
			h.record.add("%s was killed by the platform", h.name)
			sleep(ctx, away)
			continue
		}
		h.ends.Add(1)
		h.record.add("%s ended: %v", h.name, err)
		sleep(ctx, restartDelay)
	}
}

// logReader records the lines about rollouts of a process's log.
type logReader struct {
	host *host
	rest []byte
}

func (l *logReader) Write(p []byte) (int, error) {
	l.rest = append(l.rest, p...)
	for {
		line, after, found := bytes.Cut(l.rest, []byte("\n"))
		if !found {
			return len(p), nil
		}
		l.rest = after
		if bytes.Contains(line, []byte("rollout")) {
			l.host.record.add("%s logs: %s", l.host.name, line)
		}
		if bytes.Contains(line, []byte("rollout decided")) {
			l.host.mu.Lock()
			l.host.recordedAt = time.Now()
			l.host.mu.Unlock()
		}
	}
}

// lastRecorded returns when the process last logged a decision about a rollout.
func (h *host) lastRecorded() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recordedAt
}

// kill kills the process and starts it again after a time.
func (h *host) kill(away time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awayUntil = time.Now().Add(away)
	// The process may have ended by itself.
	_ = h.process.Kill()
}

// signal sends a signal to the process, which may have ended.
func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Signal(s)
}

// limitMemory kills the process once it has more memory than the settings allow.
func (h *host) limitMemory(ctx context.Context, p *os.Process) {
	for ctx.Err() == nil {
		mb, err := privateMB(p.Pid)
		if err != nil {
			return
		}
		if mb > h.peakMB.Load() {
			h.peakMB.Store(mb)
		}
		if mb > memoryLimitMB && !h.unlimited {
			h.record.add("%s has %d MB of %d: killed", h.name, mb, memoryLimitMB)
			// The process may have ended by itself.
			_ = p.Kill()
			return
		}
		sleep(ctx, memoryCheckInterval)
	}
}

var errNoStatus = errors.New("the memory of the process can't be read")

// privateMB returns the resident memory of a process without the pages of its program file, in units
// of 1,048,576 bytes.
func privateMB(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 3 {
		return 0, errNoStatus
	}
	resident, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, err
	}
	shared, err := strconv.ParseInt(fields[2], 10, 64)
	return (resident - shared) * int64(os.Getpagesize()) >> 20, err
}

// checkReady asks the host each second whether it is ready, like the platform's balancer: after two
// misses it gets no new connections until it answers again.
func (h *host) checkReady(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	misses := 0
	for ctx.Err() == nil {
		answer, err := client.Get("http://" + h.ip + ":7249/shedpath/ready")
		if err == nil {
			_ = answer.Body.Close()
		}
		if err == nil && answer.StatusCode == http.StatusOK {
			misses = 0
			h.ready.Store(true)
		} else if misses++; misses >= 2 {
			h.ready.Store(false)
		}
		sleep(ctx, time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
