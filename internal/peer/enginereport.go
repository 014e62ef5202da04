// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"time"

	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// wireEngineReport encodes enginereport.Mark; Age is in milliseconds.
type wireEngineReport struct {
	Engine               string
	Life                 int64
	Used, Active, Queued int
	Age                  int64
}

// wireReportRequest encodes enginereport.Request; For is the remaining time in milliseconds, rounded up:
// peers count a request that has no time left as unusable.
type wireReportRequest struct {
	Engine string
	For    int64
}

func toWireEngineReports(marks []enginereport.Mark) []wireEngineReport {
	var w []wireEngineReport
	for _, m := range marks {
		w = append(w, wireEngineReport{Engine: string(m.Engine), Life: m.Incarnation, Used: int(m.Used), Active: m.Active, Queued: m.Queued, Age: m.Age.Milliseconds()})
	}
	return w
}

func engineReports(w []wireEngineReport) []enginereport.Mark {
	var marks []enginereport.Mark
	for _, m := range w {
		marks = append(marks, enginereport.Mark{
			Engine: member.UpstreamID(m.Engine), Incarnation: m.Life, Age: duration(m.Age, time.Millisecond),
			Load: enginereport.Load{Used: policy.Tokens(m.Used), Active: m.Active, Queued: m.Queued},
		})
	}
	return marks
}

func toWireReportRequests(requests []enginereport.Request) []wireReportRequest {
	var w []wireReportRequest
	for _, r := range requests {
		w = append(w, wireReportRequest{Engine: string(r.Engine), For: (r.Remaining + time.Millisecond - 1).Milliseconds()})
	}
	return w
}

func reportRequests(w []wireReportRequest) []enginereport.Request {
	var requests []enginereport.Request
	for _, r := range w {
		requests = append(requests, enginereport.Request{Engine: member.UpstreamID(r.Engine), Remaining: duration(r.For, time.Millisecond)})
	}
	return requests
}
