// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/shedpath/shedpath/spool"
)

// readChunkBytes is how much of an answer is read at once.
const readChunkBytes = 16 << 10

// answerMemory counts what the answers to one request take in memory, until it has been answered.
type answerMemory struct {
	budget *spool.Budget

	mu       sync.Mutex
	held     int
	released bool
}

// reserve counts some bytes; false says that there is no room, or that the request was answered.
func (h *answerMemory) reserve(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || !h.budget.Take(n) {
		return false
	}
	h.held += n
	return true
}

// release gives back what was taken.
func (h *answerMemory) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	h.budget.Free(h.held)
}

// readBody reads an answer's body, whole if it isn't too long and there is room for it.
func (h *answerMemory) readBody(a *Response) (body []byte, long bool, err error) {
	var held bytes.Buffer
	for held.Len() < maxBufferedResponse && h.reserve(readChunkBytes) {
		_, err = io.CopyN(&held, a.Body, readChunkBytes)
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
		if closing := a.Body.Close(); err == nil && closing != nil {
			err = closing
		}
		return held.Bytes(), false, err
	}
	return held.Bytes(), true, nil
}
