// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import "time"

const (
	// sampleInterval is the time from one sample of the processor's lag to the next.
	sampleInterval = 25 * time.Millisecond
	// lagWindow is the time over which samples are averaged.
	lagWindow = time.Second
)

// lag measures how long what is due waits for the processor. The zero value is ready to use.
type lag struct {
	samples []lagSample
}

// lagSample is how much later than due the process got to run.
type lagSample struct {
	at   time.Time
	late time.Duration
}

// record adds a sample and drops those outside the window.
func (l *lag) record(now time.Time, late time.Duration) {
	kept := 0
	for kept < len(l.samples) && now.Sub(l.samples[kept].at) > lagWindow {
		kept++
	}
	l.samples = append(append(l.samples[:0], l.samples[kept:]...), lagSample{now, max(late, 0)})
}

// mean returns the average time that an event waits for the processor, if events are due at random times within the
// window: one that falls into a delay of d waits for d/2. The longest delay is left out, as a garbage collection or
// a suspension causes a single one.
func (l *lag) mean() time.Duration {
	var sum, longest float64
	for _, s := range l.samples {
		sum += s.late.Seconds() * s.late.Seconds()
		longest = max(longest, s.late.Seconds())
	}
	return time.Duration((sum - longest*longest) / 2 / lagWindow.Seconds() * float64(time.Second))
}
