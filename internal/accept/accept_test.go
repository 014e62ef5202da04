// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package accept

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPersistentError checks that the error is reported once Accept has failed for a second, until
// a connection is accepted or no further failure follows.
func TestPersistentError(t *testing.T) {
	const step = 500 * time.Millisecond
	errTooManyFiles := errors.New("too many open files")
	for name, c := range map[string]struct {
		// accepts are the results of successive calls of Accept, one step apart.
		accepts []error
		after   time.Duration
		want    error
	}{
		"nothing came":              {nil, 0, nil},
		"taken":                     {[]error{nil, nil}, 0, nil},
		"one failure":               {[]error{errTooManyFiles}, 0, nil},
		"failures for a second":     {[]error{nil, errTooManyFiles, errTooManyFiles, errTooManyFiles}, 0, errTooManyFiles},
		"taken again":               {[]error{errTooManyFiles, errTooManyFiles, errTooManyFiles, nil}, 0, nil},
		"failures, then none since": {[]error{errTooManyFiles, errTooManyFiles, errTooManyFiles}, maxRetryInterval + time.Millisecond, nil},
		"failures, then silence":    {[]error{errTooManyFiles, errTooManyFiles, errTooManyFiles}, maxRetryInterval, errTooManyFiles},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, now := &Listener{}, time.Now()
			for _, err := range c.accepts {
				now = now.Add(step)
				l.recordAccept(now, err)
			}
			is.Equal(l.persistentErrorAt(now.Add(c.after)), c.want)
		})
	}
}

// TestIsolatedFailures checks that a failure long after the previous one begins a new series.
func TestIsolatedFailures(t *testing.T) {
	is := is.New(t)
	l, now := &Listener{}, time.Now()
	errTooManyFiles := errors.New("too many open files")
	l.recordAccept(now, errTooManyFiles)
	now = now.Add(time.Minute)
	l.recordAccept(now, errTooManyFiles)
	is.NoErr(l.persistentErrorAt(now))
}
