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

// answerMemory counts the memory that the answers to one request take until the request has
// been answered. Its budget must be set.
type answerMemory struct {
	budget *spool.Budget

	mu sync.Mutex
	// held is how many bytes are reserved.
	held int
	// released is set once the request has been answered; nothing is reserved after that.
	released bool
}

// reserve reserves n bytes. It returns false if there is no room or the request has been
// answered.
func (h *answerMemory) reserve(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || !h.budget.Reserve(n) {
		return false
	}
	h.held += n
	return true
}

// release returns all reserved bytes to the budget.
func (h *answerMemory) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	h.budget.Release(h.held)
}

// readBody reads an answer's body and closes it. If the body is too long to be held, or there
// is no room for all of it, long is set: body is only its beginning then, and a.Body stays
// open.
func (h *answerMemory) readBody(a *Response) (body []byte, long bool, err error) {
	var buf bytes.Buffer
	for buf.Len() < maxBufferedResponse && h.reserve(readChunkBytes) {
		_, err = io.CopyN(&buf, a.Body, readChunkBytes)
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
		if closeErr := a.Body.Close(); err == nil && closeErr != nil {
			err = closeErr
		}
		return buf.Bytes(), false, err
	}
	return buf.Bytes(), true, nil
}
