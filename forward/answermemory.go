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

// heldChunk is how much of an answer is read at once.
const heldChunk = 16 << 10

// heldBytes counts what the answers to one request take in memory, until it has been answered.
type heldBytes struct {
	budget *spool.Budget

	mu   sync.Mutex
	n    int
	over bool
}

// take counts some bytes; false says that there is no room, or that the request was answered.
func (h *heldBytes) take(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || !h.budget.Take(n) {
		return false
	}
	h.n += n
	return true
}

// end gives back what was taken.
func (h *heldBytes) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = true
	h.budget.Free(h.n)
}

// read reads an answer's body, whole if it isn't too long and there is room for it.
func (h *heldBytes) read(a *Answer) (body []byte, long bool, err error) {
	var held bytes.Buffer
	for held.Len() < mostHeld && h.take(heldChunk) {
		_, err = io.CopyN(&held, a.Body, heldChunk)
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
