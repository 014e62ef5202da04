// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package peer implements the calls between entry hosts: msgpack messages in
// frames over TCP, with many concurrent calls on one connection, authenticated
// by a shared key.
//
// A frame is a big-endian length of four bytes and one msgpack value, which another
// may follow that extends the message. The shared key authenticates the peers but encrypts nothing, so the network
// between them must be private.
package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes bounds a frame; a longer frame closes the connection.
const MaxFrameBytes = 32 << 20

const frameHeaderBytes = 4

// frame is one message on a connection: a call or its reply.
type frame struct {
	// ID pairs a reply with its call.
	ID    uint64
	Reply bool
	Kind  callKind
	// Error is the error text in the reply to a call that failed; empty otherwise.
	Error string
	Body  msgpack.RawMessage
}

// callKind identifies the method of a call. The numbers are part of the wire format.
type callKind uint8

// encode writes a value in msgpack with structs as arrays, to keep messages
// small.
func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// appendFrame appends the frame's length and its encoding to a buffer.
func appendFrame(into []byte, f *frame) ([]byte, error) {
	body, err := encode(f)
	if err != nil {
		return into, err
	}
	if len(body) > MaxFrameBytes {
		return into, trace.LimitExceeded("a frame of %d bytes is over the limit of %d", len(body), MaxFrameBytes)
	}
	into = binary.BigEndian.AppendUint32(into, uint32(len(body)))
	return append(into, body...), nil
}

// readFrame reads the next frame. Its memory grows with the bytes received rather
// than with the announced length.
func readFrame(r io.Reader) (*frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, trace.Wrap(errMalformed, "a frame of %d bytes is over the limit of %d", size, MaxFrameBytes)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(body) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	if err := checkNesting(body, maxMessageValues); err != nil {
		return nil, trace.Wrap(err, "a frame of %d bytes", size)
	}
	var f frame
	rest := bytes.NewReader(body)
	if err := msgpack.NewDecoder(rest).Decode(&f); err != nil {
		return nil, trace.Wrap(errMalformed, "decoding a frame of %d bytes: %v", size, err)
	}
	// A message may have a second value, which extends the first.
	f.Body = append(f.Body, body[len(body)-rest.Len():]...)
	return &f, nil
}
