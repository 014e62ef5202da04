// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/zoneload"
)

// fakeTransport simulates upstreams by the functions that a test sets.
type fakeTransport struct {
	mu sync.Mutex
	// send answers a request; nil fails each with ErrNotSent.
	send func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error)
	// move answers a request to move a run; nil fails each with ErrRunNotFound.
	move func(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error)
	// checkHealth answers health checks; nil reports healthy.
	checkHealth func(u Upstream) (bool, error)
	// report answers requests for an engine's report; nil fails each with ErrNotSent.
	report func(ctx context.Context, u Upstream) (EngineReport, error)
	// checkReachable answers reachability checks; nil reports reachable.
	checkReachable func(u Upstream) error
	// instance returns the instance at an upstream's address; nil reports none.
	instance func(u Upstream) member.UpstreamID
	// linksBroken has upstreams be reached through a peer only.
	linksBroken atomic.Bool
	// sent are the upstreams that requests were sent to, in order.
	sent []member.UpstreamID
	// discarded are the handles of copies that were discarded.
	discarded []string
}

func (f *fakeTransport) Send(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, u.ID)
	f.mu.Unlock()
	if f.send == nil {
		return nil, ErrNotSent
	}
	return f.send(ctx, u, r)
}

func (f *fakeTransport) Move(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error) {
	if f.move == nil {
		return MoveResult{}, ErrRunNotFound
	}
	return f.move(ctx, from, r)
}

func (f *fakeTransport) Discard(_ context.Context, _ Upstream, handle string) (Signals, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discarded = append(f.discarded, handle)
	return Signals{}, nil
}

func (f *fakeTransport) Health(_ context.Context, u Upstream, _ eligibility.Purpose, _ string) (Health, error) {
	well, err := true, error(nil)
	if f.checkHealth != nil {
		well, err = f.checkHealth(u)
	}
	health := Health{Healthy: well}
	if f.instance != nil {
		health.Instance = f.instance(u)
	}
	return health, err
}

func (f *fakeTransport) Report(ctx context.Context, u Upstream) (EngineReport, error) {
	if f.report == nil {
		return EngineReport{}, ErrNotSent
	}
	return f.report(ctx, u)
}

func (f *fakeTransport) CheckReachable(_ context.Context, u Upstream) (bool, error) {
	if f.checkReachable == nil {
		return !f.linksBroken.Load(), nil
	}
	return true, f.checkReachable(u)
}

func (f *fakeTransport) sentTo() []member.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]member.UpstreamID(nil), f.sent...)
}

// fakeSink records what the caller receives.
type fakeSink struct {
	mu     sync.Mutex
	status int
	// length is the length that a response which follows in parts declares.
	length    int64
	body      strings.Builder
	refused   *Refusal
	truncated bool
	// callerGone makes writes to the caller fail.
	callerGone bool
	// onWrite, if set, is called on each write.
	onWrite func(p []byte)
}

var errConnectionLost = errors.New("the caller is gone")

func (s *fakeSink) SendResponse(a *Response, body []byte) error {
	s.status = a.Status
	s.body.Write(body)
	return nil
}

func (s *fakeSink) BeginResponse(a *Response) error {
	s.status, s.length = a.Status, a.ContentLength
	return nil
}

func (s *fakeSink) Write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callerGone {
		return errConnectionLost
	}
	s.body.Write(p)
	if s.onWrite != nil {
		s.onWrite(p)
	}
	return nil
}

func (s *fakeSink) Abort() {}

func (s *fakeSink) Refuse(r Refusal) error {
	s.refused = &r
	return nil
}

func (s *fakeSink) Truncate() { s.truncated = true }

// silentJournal and silentObserver discard everything.
type (
	silentJournal  struct{}
	silentObserver struct{}
)

func (silentJournal) Request(RequestID, string, ...any)     {}
func (silentJournal) HostEvent(string, ...any)              {}
func (silentObserver) Answered(Kind, string, time.Duration) {}
func (silentObserver) FirstEvent(time.Duration)             {}
func (silentObserver) EventGap(time.Duration)               {}
func (silentObserver) Repeated(string)                      {}
func (silentObserver) UnreadableEntries(int)                {}
func (silentObserver) ConnectionBroken(bool)                {}
func (silentObserver) Identified(Identity)                  {}
func (silentObserver) Suspended(time.Duration)              {}
func (silentObserver) Panicked()                            {}
func (silentObserver) ZoneShift(zoneload.Outcome)           {}
func (silentObserver) EngineReport(enginereport.Outcome)    {}
func (silentObserver) Permit(permit.Outcome)                {}
func (silentObserver) Send(eligibility.Verdict)             {}
func (silentObserver) Signal(SignalKind)                    {}
func (silentObserver) Moved(string, time.Duration)          {}

func (silentObserver) Admission(AdmissionOutcome, time.Duration) {}

// testConfig returns a configuration with a route of each kind; "/llm/" leads to engines.
func testConfig(version Version) Config {
	engine := &Engine{
		Batch: 24, Memory: 34000, TokenBytes: 327680, LinkBitsPerSecond: 47e9, Moves: true, EventTokens: 4,
	}
	route := func(path string, kind Kind, service ServiceName, attempts int) Route {
		return Route{
			Name: path, Host: "shop.example", PathPrefix: path, Kind: kind, Timeout: 800 * time.Millisecond,
			Objective: 150 * time.Millisecond, Attempts: attempts,
			Services: []WeightedService{{Service: service, Weight: 1}},
		}
	}
	llm := route("/llm/", KindStream, "llm", 1)
	llm.Timeout, llm.Objective = 39*time.Second, 1800*time.Millisecond
	resumable := llm
	resumable.Name, resumable.PathPrefix, resumable.Attempts, resumable.Resumable = "/resumable/", "/resumable/", 3, true
	return Config{
		Version: version,
		Routes: []Route{
			route("/status/", KindSafe, "app", 2), route("/order/", KindUnsafe, "app", 1), llm, resumable,
		},
		Services: []Service{{Name: "app"}, {Name: "llm", Engine: engine}},
		Accounts: []Account{{Name: "counter", Keys: []string{"k1"}}},
	}
}

// newForwarder returns a forwarder with testConfig and three upstreams of each service.
func newForwarder(t *testing.T, transport Transport) *Forwarder {
	t.Helper()
	f := New(Settings{
		Self: Peer{ID: "h1", Zone: "z1", PeerAddress: "10.0.0.1:1"}, DrainTime: 2 * time.Second, MaxContactAge: 3 * time.Second,
		RetryLimit: RetryLimit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}, transport, silentJournal{}, silentObserver{})
	f.retries.setHosts(1) // as after peer discovery
	now := time.Now()
	var list []Upstream
	for _, service := range []ServiceName{"app", "llm"} {
		for n := 1; n <= 3; n++ {
			id := fmt.Sprintf("%s%d", service, n)
			list = append(list, Upstream{
				ID: member.UpstreamID(id), Service: service, Address: "10.1.0.1:" + id, Zone: "z1", Slots: 6, Revision: rev(1),
			})
		}
	}
	f.fleet.Replace(now, list, rev(1))
	f.Configure(now, testConfig(1))
	f.ContactProved(now)
	f.originProvedAt.advance(now)
	return f
}

// setRouteTimeouts has all routes of testConfig allow a time.
func setRouteTimeouts(f *Forwarder, timeout time.Duration) {
	config := testConfig(2)
	for n := range config.Routes {
		config.Routes[n].Timeout = timeout
	}
	f.Configure(f.now(), config)
}

// call returns a caller's request for a path.
func call(path string) *Call {
	return &Call{
		ID: "r1", Method: http.MethodPost, Host: "shop.example:80", Path: path + "x", Target: path + "x",
		Header: http.Header{}, APIKey: "k1", Arrived: time.Now(), CallerTimeout: 39 * time.Second,
		Prompt: Prompt{Tokens: 3000, MaxOutputTokens: 2000},
	}
}

// sendAfterDelay answers with status 200 after 100 ms of virtual time.
func sendAfterDelay(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
	time.Sleep(100 * time.Millisecond)
	return answer(http.StatusOK, "late"), nil
}

// answer returns a complete, signed response of an upstream.
func answer(status int, body string) *Response {
	return &Response{
		Status: status, Header: http.Header{}, ContentLength: int64(len(body)), Framed: true, Signed: true,
		Body: io.NopCloser(strings.NewReader(body)),
	}
}
