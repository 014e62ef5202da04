// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"bytes"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestRingLogClosesUnderWriters checks that lines written while and after the log is closed are either in
// the log or counted, and don't panic.
func TestRingLogClosesUnderWriters(t *testing.T) {
	const writers, linesEach = 4, 50
	is := is.New(t)
	var out bytes.Buffer
	log := NewRingLog(&out)
	var running sync.WaitGroup
	for range writers {
		running.Go(func() {
			for range linesEach {
				_, err := log.Write([]byte("line\n"))
				is.NoErr(err)
			}
		})
	}
	log.Close()
	running.Wait()
	_, err := log.Write([]byte("after\n"))
	is.NoErr(err)
	log.Close()
	is.Equal(int64(bytes.Count(out.Bytes(), []byte("line\n")))+log.Dropped(), int64(writers*linesEach+1))
	is.True(!bytes.Contains(out.Bytes(), []byte("after")))
}
