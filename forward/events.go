// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errEventTooLong says that an event of a stream is longer than any real one.
var errEventTooLong = errors.New("an event is too long")

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// eventReadBufferBytes is read at once; events have some hundred bytes.
	eventReadBufferBytes = 4096
)

// eventReader splits a stream into its events, each with the bytes that the
// upstream wrote. A part of an event at the stream's end is never returned.
type eventReader struct {
	source *bufio.Reader
	buf    []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{source: bufio.NewReaderSize(r, eventReadBufferBytes)}
}

// next returns the next whole event and its id, which is empty when the event
// has none. They are valid until the next call. At a clean end between two
// events the error is io.EOF.
func (r *eventReader) next() (event []byte, id string, err error) {
	r.buf = r.buf[:0]
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(r.buf) > 0 {
				return nil, "", io.ErrUnexpectedEOF
			}
			return nil, "", err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			return r.buf, id, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// readLine appends the next readLine with its end to the buffer.
func (r *eventReader) readLine() error {
	for {
		part, err := r.source.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		switch {
		case len(r.buf) > maxEventBytes:
			return errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return err
		}
	}
}
