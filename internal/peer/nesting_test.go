// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"compress/flate"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/member"
)

// malformedBodies holds, by test name, the bodies of calls that no host sends.
var malformedBodies = map[string][]byte{
	"nested arrays":       append(bytes.Repeat([]byte{0x91}, 16<<20), 0xc0),
	"nested maps":         append(bytes.Repeat([]byte{0x81, 0xc0}, 8<<20), 0xc0),
	"nested, never ended": bytes.Repeat([]byte{0xdc, 0x00, 0x02}, 4<<20),
	"nested after empty":  append([]byte{0x92, 0x90}, bytes.Repeat([]byte{0x91}, 16<<20)...),
	"a value after it":    append([]byte{0xc0}, bytes.Repeat([]byte{0x91}, 16<<20)...),
	"too many values":     append(binary.BigEndian.AppendUint32([]byte{0xdd}, 8<<20), bytes.Repeat([]byte{0xc0}, 8<<20)...),
}

// frameOf returns the frame of a heartbeat with a body.
func frameOf(body []byte) []byte {
	message := append([]byte{0x95, 0x01, 0xc2, byte(kindHeartbeat), 0xa0}, body...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// TestMalformedFrame checks that a frame which would overflow the stack or take much memory is refused.
func TestMalformedFrame(t *testing.T) {
	for name, body := range malformedBodies {
		t.Run(name, func(t *testing.T) {
			_, err := readFrame(bytes.NewReader(frameOf(body)))
			if !errors.Is(err, errMalformed) {
				t.Fatalf("got %v, want errMalformed", err)
			}
		})
	}
}

// TestOddBodies checks that calls and replies of another type, or with lengths that are too large, are decoded
// without a panic and without much memory.
func TestOddBodies(t *testing.T) {
	for name, body := range map[string][]byte{
		"nothing": {}, "nil": {0xc0}, "number": {0x07}, "text": {0xa1, 'x'}, "map": {0x80}, "array": {0x90}, "unknown code": {0xc1},
		"text too long":   {0x91, 0xdb, 0xff, 0xff, 0xff, 0xff, 'x'},
		"bytes too long":  {0x91, 0xc6, 0xff, 0xff, 0xff, 0xff, 'x'},
		"array too long":  {0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0},
		"inner too long":  {0x92, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0},
		"map too long":    {0xdf, 0xff, 0xff, 0xff, 0xff, 0xc0},
		"extension":       {0xc9, 0xff, 0xff, 0xff, 0xff, 0x01},
		"field a list":    {0x9b, 0x91, 0xa1, 'x'},
		"field a map":     {0x9b, 0x81, 0xa1, 'x', 0xc0},
		"field too large": {0x9b, 0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"not text":        {0x9b, 0xa2, 0xff, 0xfe},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for k := callKind(0); k <= kindLend+1; k++ {
				_, _ = dispatchEntryCall(t.Context(), time.Now(), &fuzzHandler{}, "a", k, body)
				dispatchIgnoringCalls(t, k, body)
			}
			for _, reply := range []any{
				&wireHeartbeat{}, &wireDecisions{}, &wireLogTail{}, &wireClaimRepair{}, &wireShare{}, &wireFollowReply{}, &wireConfigReply{}, &wireTunnelReply{},
			} {
				_ = msgpack.Unmarshal(body, reply)
			}
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 64<<20 {
				t.Errorf("%d bytes were allocated", allocated)
			}
		})
	}
}

var errCalled = errors.New("the handler was called")

// dispatchIgnoringCalls decodes a call to a forwarder. It panics unless the call is refused or reaches the handler.
func dispatchIgnoringCalls(t *testing.T, k callKind, body []byte) {
	defer func() {
		if v := recover(); v != nil && v != errCalled {
			panic(v)
		}
	}()
	_, _ = newTestMesh(t, testKey).dispatchForwardCall(t.Context(), goldenHost{on: func(any) any { panic(errCalled) }}, k, body)
}

// TestMalformedMessageEndsOneConnection checks that a malformed message is reported and ends its connection only.
func TestMalformedMessageEndsOneConnection(t *testing.T) {
	is := is.New(t)
	refused := make(chan error, 1)
	to := startServer(t, &recordingHandler{}, func(err error) { refused <- err })
	bad := newTestMesh(t, testKey)
	link, err := bad.openConn(t.Context(), to.PeerAddress)
	is.NoErr(err)
	defer link.close()
	_, err = link.netConn.Write(frameOf(bytes.Repeat([]byte{0x91}, 400_000)))
	is.NoErr(err)
	is.True(errors.Is(<-refused, errMalformed))
	_, err = link.netConn.Read(make([]byte, 1))
	is.True(err != nil)
	_, err = newTestMesh(t, testKey).Heartbeat(t.Context(), to, entry.Heartbeat{From: member.Entry{ID: "c"}})
	is.NoErr(err)
}

// TestMalformedReplyIsReported checks that a call says why its connection ended.
func TestMalformedReplyIsReported(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	m := newTestMesh(t, testKey)
	c := newConn(near, &m.sentBytes, &m.receivedBytes)
	go c.readReplies()
	go func() {
		_, _ = readFrame(far)
		_, _ = far.Write(frameOf(bytes.Repeat([]byte{0x91}, 1000)))
	}()
	var answer wireHeartbeat
	err := c.call(t.Context(), kindHeartbeat, wireHeartbeat{}, &answer)
	is.True(errors.Is(err, errMalformed))
	is.True(strings.Contains(err.Error(), errMalformed.Error()))
}

// TestInflatedReplies checks that compressed bytes which stand for very many are an error.
func TestInflatedReplies(t *testing.T) {
	is := is.New(t)
	var list, nested, config bytes.Buffer
	flater, err := flate.NewWriter(&list, flate.BestSpeed)
	is.NoErr(err)
	_, err = io.CopyN(flater, zeros{}, maxListBytes+1)
	is.NoErr(err)
	is.NoErr(flater.Close())
	_, err = wireFollowReply{Packed: list.Bytes()}.reply(time.Now())
	is.True(errors.Is(err, errMalformed))

	flater.Reset(&nested)
	_, err = flater.Write(append([]byte{0x01}, bytes.Repeat([]byte{0x91}, 16<<20)...))
	is.NoErr(err)
	is.NoErr(flater.Close())
	_, err = wireFollowReply{Packed: nested.Bytes()}.reply(time.Now())
	is.True(errors.Is(err, errMalformed))

	gzipper := gzip.NewWriter(&config)
	_, err = io.CopyN(gzipper, zeros{}, maxConfigBytes+1)
	is.NoErr(err)
	is.NoErr(gzipper.Close())
	_, err = wireConfigReply{Config: config.Bytes()}.reply()
	is.True(errors.Is(err, errMalformed))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
