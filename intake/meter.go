// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"context"
	"sync"
	"time"
)

const (
	// loadInterval is how often the load is computed.
	loadInterval = 100 * time.Millisecond
	// linkAveraging and processorAveraging are the times over which their use is averaged.
	linkAveraging      = 300 * time.Millisecond
	processorAveraging = time.Second
	// A process that used exceededShare of its share over shareWindow has more than it, and counts as such for
	// shareExceededFor. A quota that is given out each tenth of a second allows up to 1.2 within the window.
	exceededShare    = 1.25
	shareWindow      = 500 * time.Millisecond
	shareExceededFor = time.Minute
	// minConnects is the number of new connections to upstreams from which their least time counts.
	minConnects = 4
)

// Load is what a host has in use.
type Load struct {
	// LinkOut and LinkIn are the parts of the link's rate that are in use, without what long transfers take beyond
	// elasticShare each; zero if the rate isn't known.
	LinkOut, LinkIn float64
	// Processor is the part of the processor's share that is in use; zero if the share isn't known.
	Processor float64
	// ShareExceeded says that the process has used more than its share lately, so the share isn't enforced.
	ShareExceeded bool
	// Lag is how long what is due waits for the processor.
	Lag time.Duration
	// Connect is the least time that a new connection to an upstream took lately; zero if there were few.
	Connect time.Duration
}

// Meter measures a host's load. Link has to be set before use. It is safe for concurrent use.
type Meter struct {
	Link *Link
	// BytesPerSecond is the rate of the link in each direction; zero means that it isn't known.
	BytesPerSecond float64
	// ProcessorShare is the number of processors, or the part of one, that the host may use; zero means that
	// it isn't known. ProcessorTime returns how much processor time the process has used so far.
	ProcessorShare float64
	ProcessorTime  func() time.Duration

	mu sync.Mutex
	// lag has the latest samples.
	lag lag
	// connects counts the connections to upstreams since the load was computed, and leastConnect is the
	// shortest time that one of them took.
	connects     int
	leastConnect time.Duration
	// sent and received are the bytes up to loadAt that count as load, and sentRate and receivedRate the bytes per
	// second before.
	sent, received         int64
	sentRate, receivedRate float64
	// processorTime is the processor time up to loadAt, and processorUse the use before.
	processorTime time.Duration
	processorUse  float64
	// windowTime is the processor time up to windowAt, the start of a shareWindow, and exceededAt is when the
	// process last used more than its share over one.
	windowTime           time.Duration
	windowAt, exceededAt time.Time
	loadAt               time.Time
	load                 Load
}

// Run measures the load until the context ends.
func (m *Meter) Run(ctx context.Context, now func() time.Time) {
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	for {
		due := now().Add(sampleInterval)
		timer.Reset(sampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		t := now()
		m.sample(t, t.Sub(due))
	}
}

// sample records how much later than due the process got to run, and computes the load if that is due.
func (m *Meter) sample(now time.Time, late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag.record(now, late)
	since := now.Sub(m.loadAt)
	if since < loadInterval {
		return
	}
	sent, received := m.Link.load()
	var used time.Duration
	if m.ProcessorShare > 0 && m.ProcessorTime != nil {
		used = m.ProcessorTime()
	}
	if !m.loadAt.IsZero() {
		average(&m.sentRate, float64(sent-m.sent)/since.Seconds(), since, linkAveraging)
		average(&m.receivedRate, float64(received-m.received)/since.Seconds(), since, linkAveraging)
		average(&m.processorUse, (used-m.processorTime).Seconds()/since.Seconds(), since, processorAveraging)
	}
	if !m.loadAt.IsZero() {
		m.Link.grant(now, m.BytesPerSecond, since, m.sentRate/max(m.BytesPerSecond, 1))
	}
	m.sent, m.received, m.processorTime, m.loadAt = sent, received, used, now
	m.load = Load{Lag: m.lag.mean()}
	if m.BytesPerSecond > 0 {
		m.load.LinkOut, m.load.LinkIn = m.sentRate/m.BytesPerSecond, m.receivedRate/m.BytesPerSecond
	}
	if m.ProcessorShare > 0 {
		m.load.Processor = m.processorUse / m.ProcessorShare
		m.load.ShareExceeded = m.shareExceeded(now, used)
	}
	if m.connects >= minConnects {
		m.load.Connect = m.leastConnect
	}
	m.connects, m.leastConnect = 0, 0
}

// shareExceeded reports whether the process has used more than its share lately. used is its processor time so far.
func (m *Meter) shareExceeded(now time.Time, used time.Duration) bool {
	if since := now.Sub(m.windowAt); m.windowAt.IsZero() || since >= shareWindow {
		if !m.windowAt.IsZero() && (used-m.windowTime).Seconds() > exceededShare*m.ProcessorShare*since.Seconds() {
			m.exceededAt = now
		}
		m.windowAt, m.windowTime = now, used
	}
	return !m.exceededAt.IsZero() && now.Sub(m.exceededAt) < shareExceededFor
}

// average moves an average towards a value that held for a time.
func average(to *float64, value float64, held, averaging time.Duration) {
	*to += (value - *to) * min(held.Seconds()/averaging.Seconds(), 1)
}

// Connected records how long a new connection to an upstream took.
func (m *Meter) Connected(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connects == 0 || took < m.leastConnect {
		m.leastConnect = took
	}
	m.connects++
}

// Load returns the load as it was computed last.
func (m *Meter) Load() Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load
}
