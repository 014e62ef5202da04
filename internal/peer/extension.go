// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"io"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// The library doesn't decode a struct that was encoded as an array with another number of fields, so
// a field that is added to a message would cut hosts off from those of the previous version. New
// fields are sent in an extension instead: a second msgpack value after the message, with structs as
// maps. Hosts that don't know extensions ignore bytes after the first value, and those that do ignore
// unknown fields. A message without an extension leaves the fields zero, which means "not known".

// extensible is a message that may have an extension.
type extensible interface {
	// extension returns a pointer to the extension, into which it is also decoded, and whether
	// there is anything to send.
	extension() (to any, present bool)
}

// appendExtension appends a message's extension, if it has one.
func appendExtension(out *bytes.Buffer, v any) error {
	message, ok := v.(extensible)
	if !ok {
		return nil
	}
	extension, present := message.extension()
	if !present {
		return nil
	}
	encoder := msgpack.NewEncoder(out)
	encoder.UseCompactInts(true)
	encoder.SetOmitEmpty(true)
	return trace.Wrap(encoder.Encode(extension))
}

// decode reads a message and the extension that may follow it.
func decode(body []byte, into any) error {
	rest, err := decodeFirst(body, into)
	message, ok := into.(extensible)
	if err != nil || !ok || len(rest) == 0 {
		return err
	}
	extension, _ := message.extension()
	_, err = decodeFirst(rest, extension)
	return err
}

// decodeFirst reads the first of several values and returns the bytes after it.
func decodeFirst(text []byte, into any) (rest []byte, err error) {
	reader := bytes.NewReader(text)
	if err := msgpack.NewDecoder(reader).Decode(into); err != nil {
		return nil, trace.Wrap(err)
	}
	return io.ReadAll(reader)
}
