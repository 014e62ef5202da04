// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errEventTooLong is returned for an event that exceeds maxEventBytes, which no real one does.
var errEventTooLong = errors.New("an event of the stream exceeds 1 MiB")

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// eventReadBufferBytes is the size of the read buffer; events have a few hundred bytes.
	eventReadBufferBytes = 4096
)

// eventReader splits a stream into its events, each with the bytes that the upstream wrote. It
// never returns an incomplete event at the end of the stream.
type eventReader struct {
	source *bufio.Reader
	buf    []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{source: bufio.NewReaderSize(r, eventReadBufferBytes)}
}

// next returns the next complete event and its id, which is empty if the event has none. The
// event is valid until the next call. The error is io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends within one.
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

// readLine appends the next line, with its line ending, to the buffer.
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
