// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"errors"
	"io"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/policy"
)

// wireShareExtension holds the fields of a share that hosts of the first version don't know. That version
// rejects an array with more fields than it knows, but it ignores what follows the share in its frame. The
// extension is therefore a second value there, a map with the names of the fields: a host ignores those that
// it doesn't know, and a missing one means "not known". It is left out if it is empty.
type wireShareExtension struct {
	Paces          []wirePace          `msgpack:",omitempty"`
	Reports        []wireEngineReport  `msgpack:",omitempty"`
	ReportRequests []wireReportRequest `msgpack:",omitempty"`
	ZoneLoad       []wireZoneLoad      `msgpack:",omitempty"`
	Waiting        []wireWaiting       `msgpack:",omitempty"`
	Rejections     []wireRejection     `msgpack:",omitempty"`
	MergesRuns     bool                `msgpack:",omitempty"`
	RunChangesOnly bool                `msgpack:",omitempty"`
	GoneRuns       []string            `msgpack:",omitempty"`
}

func toWireShareExtension(s forward.Share) wireShareExtension {
	return wireShareExtension{
		Paces: toWirePaces(s.Paces), Reports: toWireEngineReports(s.Reports), ReportRequests: toWireReportRequests(s.ReportRequests), ZoneLoad: toWireZoneLoads(s.ZoneLoad),
		Waiting: toWireWaiting(s.Waiting), Rejections: toWireRejections(s.RejectionLimits),
		MergesRuns: s.MergesRuns, RunChangesOnly: s.RunChangesOnly, GoneRuns: toWireRunIDs(s.GoneRuns),
	}
}

func toWireRunIDs(runs []policy.RunID) []string {
	var w []string
	for _, id := range runs {
		w = append(w, string(id))
	}
	return w
}

func runIDs(w []string) []policy.RunID {
	var runs []policy.RunID
	for _, id := range w {
		runs = append(runs, policy.RunID(id))
	}
	return runs
}

// isEmpty reports whether the extension has no fields to send.
func (e *wireShareExtension) isEmpty() bool {
	return !e.MergesRuns && !e.RunChangesOnly && len(e.GoneRuns)+len(e.Paces)+len(e.Reports)+len(e.ReportRequests)+len(e.ZoneLoad)+len(e.Waiting)+len(e.Rejections) == 0
}

// plainShare is a wireShare without the methods that add the extension.
type plainShare wireShare

// EncodeMsgpack writes the share, and after it the extension.
func (w wireShare) EncodeMsgpack(to *msgpack.Encoder) error {
	if err := to.Encode((*plainShare)(&w)); err != nil || w.extension.isEmpty() {
		return trace.Wrap(err)
	}
	to.UseArrayEncodedStructs(false)
	defer to.UseArrayEncodedStructs(true)
	return trace.Wrap(to.Encode(&w.extension))
}

// DecodeMsgpack reads the share, and the extension if there is one.
func (w *wireShare) DecodeMsgpack(from *msgpack.Decoder) error {
	if err := from.Decode((*plainShare)(w)); err != nil {
		return trace.Wrap(err)
	}
	if err := from.Decode(&w.extension); err != nil && !errors.Is(err, io.EOF) {
		return trace.Wrap(err)
	}
	return nil
}
