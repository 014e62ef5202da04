// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// errMalformed reports a message that no host of this system sends.
var errMalformed = errors.New("the peer's message is malformed")

const (
	// maxNesting bounds the arrays and maps within one another. The decoder descends into a value that it skips
	// by recursion, and a stack overflow ends the process.
	maxNesting = 64
	// maxMessageValues bounds the values of a message: a value of one byte may take a few hundred in memory.
	maxMessageValues = 1 << 20
)

// checkNesting returns errMalformed if the values nest too deeply or are more than maxValues. It ignores all other
// faults, which the decoder reports.
func checkNesting(encoded []byte, maxValues int) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(encoded))
	var open []int // how many values each open array or map still has
	for range maxValues {
		for len(open) > 0 && open[len(open)-1] <= 0 {
			open = open[:len(open)-1]
		}
		code, err := decoder.PeekCode()
		if err != nil {
			return nil
		}
		if len(open) > 0 {
			open[len(open)-1]--
		}
		switch {
		case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
			var n int
			n, err = decoder.DecodeArrayLen()
			open = append(open, n)
		case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
			var n int
			n, err = decoder.DecodeMapLen()
			open = append(open, 2*n)
		default:
			err = decoder.Skip()
		}
		if err != nil {
			return nil
		}
		if len(open) > maxNesting {
			return trace.Wrap(errMalformed, "more than %d values are nested", maxNesting)
		}
	}
	return trace.Wrap(errMalformed, "it has more than %d values", maxValues)
}

// readBounded reads everything, or returns errMalformed if that is more than limit bytes: compressed bytes may
// stand for any number of others.
func readBounded(r io.Reader, limit int) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(text) > limit {
		return nil, trace.Wrap(errMalformed, "it has more than %d bytes uncompressed", limit)
	}
	return text, nil
}
