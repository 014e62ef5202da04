// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// TestAdmit checks that a request without a valid route, key or upstream is refused with the code for
// that, and that nothing is sent.
func TestAdmit(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *Forwarder, c *Call)
		code   Code
	}{
		"no configuration yet": {func(f *Forwarder, _ *Call) { f.table.Store(nil) }, CodeNotReady},
		"unknown path":         {func(_ *Forwarder, c *Call) { c.Path = "/none/" }, CodeNoRoute},
		"unknown host":         {func(_ *Forwarder, c *Call) { c.Host = "other.example" }, CodeNoRoute},
		"unknown key":          {func(_ *Forwarder, c *Call) { c.APIKey = "k2" }, CodeBadKey},
		"no key":               {func(_ *Forwarder, c *Call) { c.APIKey = "" }, CodeBadKey},
		"unknown path, contact lost": {func(f *Forwarder, c *Call) {
			f.contactProvedAt.clear()
			c.Path = "/none/"
		}, CodeNotReady},
		"unknown key, contact lost": {func(f *Forwarder, c *Call) {
			f.contactProvedAt.clear()
			c.APIKey = "k2"
		}, CodeNotReady},
		"key taken away": {func(f *Forwarder, _ *Call) {
			next := testConfig(2)
			next.Accounts[0].Keys = []string{"k3"}
			f.Configure(time.Now(), next)
		}, CodeBadKey},
		"route dropped": {func(f *Forwarder, _ *Call) {
			next := testConfig(2)
			next.Routes = next.Routes[1:]
			f.Configure(time.Now(), next)
		}, CodeNoRoute},
		"no upstream": {func(f *Forwarder, _ *Call) { f.fleet.Replace(time.Now(), nil, rev(2)) }, CodeNoUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport := &fakeTransport{}
			f := newForwarder(t, transport)
			request, sink := call("/status/"), &fakeSink{}
			c.change(f, request)
			f.Serve(t.Context(), request, sink)
			is.True(sink.refused != nil)
			is.Equal(sink.refused.Code, c.code)
			is.True(!sink.refused.MayHaveRun)
			is.Equal(len(transport.sentTo()), 0)
			if c.code == CodeNotReady {
				is.True(sink.refused.RetryAfter > 0)
			}
		})
	}
}

// TestOlderConfigurationIgnored checks that a configuration older than the one in force changes nothing.
func TestOlderConfigurationIgnored(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	is.True(f.Configure(time.Now(), testConfig(7)))
	old := testConfig(3)
	old.Routes = nil
	is.True(!f.Configure(time.Now(), old))
	is.Equal(f.Table().Version, Version(7))
	_, found := f.Table().Match("shop.example", "/status/x")
	is.True(found)
}

// TestLongestPrefix checks that the route with the longest matching prefix wins.
func TestLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "x", Host: "A.example", PathPrefix: "/x/"},
	}})
	for path, want := range map[string]string{"/": "all", "/x/y/z": "deep", "/x/y": "x", "/xy": "all"} {
		r, found := table.Match("a.EXAMPLE:8080", path)
		is.True(found)
		is.Equal(r.Name, want)
	}
}

// TestUnaryOutcomes checks whether a request is answered, retried or refused, depending on how its
// upstreams respond.
func TestUnaryOutcomes(t *testing.T) {
	notRun := func() *Response { a := answer(503, ""); a.NotRun = true; return a }
	unsigned := func() *Response { a := answer(200, "x"); a.Signed = false; return a }
	encoded := func() *Response { a := answer(200, "x"); a.UnexpectedEncoding = true; return a }
	wrongInstance := func() *Response { a := answer(421, ""); a.WrongInstance = true; return a }
	truncated := func() *Response {
		a := answer(200, "")
		a.Body = io.NopCloser(io.MultiReader(errReader{}))
		return a
	}
	type step func() (*Response, error)
	succeed := func() (*Response, error) { return answer(200, "fine"), nil }
	respond := func(a func() *Response) step { return func() (*Response, error) { return a(), nil } }
	failWith := func(err error) step { return func() (*Response, error) { return nil, err } }
	serverError := respond(func() *Response { return answer(500, "broken") })
	for name, c := range map[string]struct {
		path       string
		steps      []step
		status     int
		code       Code
		mayHaveRun bool
		sent       int
	}{
		"first try":                           {"/order/", []step{succeed}, 200, "", false, 1},
		"safe, upstream failed once":          {"/status/", []step{serverError, succeed}, 200, "", false, 2},
		"safe, failed twice":                  {"/status/", []step{serverError, serverError}, 500, "", false, 2},
		"safe, lost once":                     {"/status/", []step{failWith(io.ErrUnexpectedEOF), succeed}, 200, "", false, 2},
		"safe, answer cut short once":         {"/status/", []step{respond(truncated), succeed}, 200, "", false, 2},
		"safe, answer unsigned once":          {"/status/", []step{respond(unsigned), succeed}, 200, "", false, 2},
		"unsafe, upstream failed":             {"/order/", []step{serverError, succeed}, 500, "", false, 1},
		"unsafe, lost":                        {"/order/", []step{failWith(io.ErrUnexpectedEOF), succeed}, 0, CodeLost, true, 1},
		"unsafe, answer cut short":            {"/order/", []step{respond(truncated), succeed}, 0, CodeLost, true, 1},
		"unsafe, answer unsigned":             {"/order/", []step{respond(unsigned), succeed}, 0, CodeBadAnswer, true, 1},
		"unsafe, answer encoded":              {"/order/", []step{respond(encoded), succeed}, 0, CodeBadAnswer, true, 1},
		"unsafe, not sent":                    {"/order/", []step{failWith(ErrNotSent), succeed}, 200, "", false, 2},
		"unsafe, other instance":              {"/order/", []step{respond(wrongInstance), succeed}, 200, "", false, 2},
		"unsafe, not run once":                {"/order/", []step{respond(notRun), succeed}, 200, "", false, 2},
		"unsafe, not run twice":               {"/order/", []step{respond(notRun), respond(notRun), succeed}, 200, "", false, 3},
		"unsafe, not run anywhere":            {"/order/", []step{respond(notRun), respond(notRun), respond(notRun)}, 0, CodeOverloaded, false, 3},
		"unsafe, not run, then failed":        {"/order/", []step{respond(notRun), serverError, succeed}, 500, "", false, 2},
		"safe, not run anywhere":              {"/status/", []step{respond(notRun), respond(notRun), respond(notRun)}, 0, CodeOverloaded, false, 3},
		"safe, not run once":                  {"/status/", []step{respond(notRun), succeed}, 200, "", false, 2},
		"unsafe, a 503 that promises nothing": {"/order/", []step{respond(func() *Response { return answer(503, "") }), succeed}, 0, CodeBadAnswer, true, 1},
		"unsafe, a 429 that promises nothing": {"/order/", []step{respond(func() *Response { return answer(429, "") }), succeed}, 0, CodeBadAnswer, true, 1},
		"never sent":                          {"/order/", []step{failWith(ErrNotSent), failWith(ErrNotSent), failWith(ErrNotSent)}, 0, CodeNoUpstream, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			transport := &fakeTransport{}
			transport.send = func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
				n++
				return c.steps[n-1]()
			}
			f, sink := newForwarder(t, transport), &fakeSink{}
			f.Serve(t.Context(), call(c.path), sink)
			is.Equal(len(transport.sentTo()), c.sent)
			is.Equal(sink.status, c.status)
			if c.code == "" {
				is.True(sink.refused == nil)
				return
			}
			is.Equal(sink.refused.Code, c.code)
			is.Equal(sink.refused.MayHaveRun, c.mayHaveRun)
			is.True(c.mayHaveRun || sink.refused.RetryAfter > 0)
		})
	}
}

// errReader is a body that breaks off at its first read.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestUnsafeRunsOnce checks that a request that isn't safe to repeat is sent to one upstream only,
// however many attempts its route allows, unless it certainly did not run.
func TestUnsafeRunsOnce(t *testing.T) {
	notRun := answer(503, "")
	notRun.NotRun = true
	for name, c := range map[string]struct {
		first *Response
		err   error
		sent  int
	}{
		"lost":    {nil, io.ErrUnexpectedEOF, 1},
		"failed":  {answer(500, ""), nil, 1},
		"not run": {notRun, nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport := &fakeTransport{}
			transport.send = func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
				if len(transport.sentTo()) == 1 {
					return c.first, c.err
				}
				return answer(200, ""), nil
			}
			f := newForwarder(t, transport)
			next := testConfig(2)
			next.Routes[1].Attempts = 3
			f.Configure(time.Now(), next)
			f.Serve(t.Context(), call("/order/"), &fakeSink{})
			is.Equal(len(transport.sentTo()), c.sent)
		})
	}
}

// TestRefusedConnection checks that an upstream that refused a connection is tried again if no other is
// available: a broken link also refuses connections.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	refuse := true
	transport := &fakeTransport{}
	transport.send = func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		if refuse {
			return nil, ErrNotSent
		}
		return answer(200, ""), nil
	}
	f := newForwarder(t, transport)
	f.Serve(t.Context(), call("/order/"), &fakeSink{})
	refuse = false
	sink := &fakeSink{}
	f.Serve(t.Context(), call("/order/"), sink)
	is.Equal(sink.status, 200)
	is.Equal(len(f.fleet.LeavingMarks(time.Now())), 0) // peers must not be notified that it leaves
}

// TestSlowUpstream checks that a request that is safe to repeat is also sent to a second upstream when
// the first is slow, and that the first one's work is then ended.
func TestSlowUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := make(chan struct{})
		transport := &fakeTransport{}
		transport.send = func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			if len(transport.sentTo()) > 1 {
				return answer(200, "second"), nil
			}
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		}
		f, sink := newForwarder(t, transport), &fakeSink{}
		began := time.Now()
		f.Serve(t.Context(), call("/status/"), sink)
		is.Equal(sink.body.String(), "second")
		is.True(time.Since(began) < 150*time.Millisecond)
		<-ended
	})
}

// TestTimeout checks that a request is refused when its route's timeout is over, and that the upstream's
// work is ended.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{send: func(ctx context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
			is.True(r.TimeLeft <= 800*time.Millisecond)
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		f, sink := newForwarder(t, transport), &fakeSink{}
		began := time.Now()
		f.Serve(t.Context(), call("/order/"), sink)
		is.Equal(time.Since(began), 800*time.Millisecond)
		is.Equal(*sink.refused, Refusal{Code: CodeTimeout, MayHaveRun: true})
		synctest.Wait()
	})
}

// TestCallerLeft checks that the upstream's work ends when the caller leaves.
func TestCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stopped := false
		transport := &fakeTransport{send: func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			<-ctx.Done()
			stopped = true
			return nil, ctx.Err()
		}}
		ctx, cancel := context.WithCancel(t.Context())
		f, sink := newForwarder(t, transport), &fakeSink{}
		time.AfterFunc(10*time.Millisecond, cancel)
		f.Serve(ctx, call("/order/"), sink)
		synctest.Wait()
		is.True(stopped)
		is.Equal(sink.refused, &Refusal{Code: CodeCallerLeft, MayHaveRun: true})
	})
}

// TestLatencyBalancer checks that an upstream that fails more often than the others gets fewer requests,
// and is tried again later.
func TestLatencyBalancer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := newLatencyBalancer("z1")
	from := []Upstream{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1"}}
	for range 30 {
		for _, u := range from {
			c.statsFor(now, u.ID).inFlight++
			c.done(now, u.ID, 20*time.Millisecond, u.ID == "a")
		}
	}
	counts := map[string]int{}
	for range 50 {
		u, found := c.pick(now, from, nil, nil)
		is.True(found)
		counts[string(u.ID)]++
		c.done(now, u.ID, 0, false)
	}
	is.Equal(counts["b"], 50)
	later := now.Add(time.Minute)
	for range 50 {
		u, _ := c.pick(later, from, nil, nil)
		counts[string(u.ID)]++
		c.done(later, u.ID, 0, false)
	}
	is.True(counts["a"] > 5)
	_, found := c.pick(now, from, []member.UpstreamID{"a", "b"}, nil)
	is.True(!found)
}

// TestScarceUpstreamPreferred checks that an upstream whose permits are scarce is picked while it
// has few requests in flight, but not if it fails more than the others.
func TestScarceUpstreamPreferred(t *testing.T) {
	now := time.Now()
	for name, tt := range map[string]struct {
		inFlight int
		fails    bool
		want     member.UpstreamID
	}{
		"idle":  {0, false, "scarce"},
		"busy":  {2, false, "scarce"},
		"full":  {5, false, "other"},
		"fails": {0, true, "other"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newLatencyBalancer("z1")
			for range 30 {
				for _, id := range []member.UpstreamID{"scarce", "other"} {
					c.statsFor(now, id).inFlight++
					c.done(now, id, 20*time.Millisecond, tt.fails && id == "scarce")
				}
			}
			c.statsFor(now, "scarce").inFlight = tt.inFlight
			u, found := c.pick(now, []Upstream{{ID: "other", Zone: "z1"}, {ID: "scarce", Zone: "z1"}}, nil, []member.UpstreamID{"scarce"})
			is.True(found)
			is.Equal(u.ID, tt.want)
		})
	}
}

// TestUnseenUpstreamCostsDefault checks that an upstream that hasn't responded yet keeps the default
// latency while it is idle; decay must not make it look faster.
func TestUnseenUpstreamCostsDefault(t *testing.T) {
	now := time.Now()
	for _, idle := range []time.Duration{0, 2 * time.Second, 8 * time.Second, time.Minute} {
		t.Run(idle.String(), func(t *testing.T) {
			is := is.New(t)
			c := newLatencyBalancer("z1")
			u, _ := c.pick(now, []Upstream{{ID: "a", Zone: "z1"}}, nil, nil)
			c.done(now, u.ID, 0, false)
			lowest := 0.9 * float64(defaultLatency)
			is.True(c.cost(now.Add(idle), u, 0) >= lowest)
		})
	}
}

// endlessBody is a body that has no end, and ends with its request's context.
type endlessBody struct {
	ctx context.Context
	// sent is how many bytes were read.
	sent int
}

// Read returns as many bytes as are asked for. What is beyond a buffered answer takes time.
func (b *endlessBody) Read(p []byte) (int, error) {
	if b.sent += len(p); b.sent > maxBufferedResponse {
		time.Sleep(50 * time.Millisecond)
	}
	return len(p), context.Cause(b.ctx)
}

// TestUpstreamWithoutEndOfAnswerIsAvoided guards against an upstream that keeps getting requests although its
// answers never end, or break off late.
func TestUpstreamWithoutEndOfAnswerIsAvoided(t *testing.T) {
	const requests, most = 30, 5
	for name, body := range map[string]func(ctx context.Context) io.Reader{
		"never end": func(ctx context.Context) io.Reader { return &endlessBody{ctx: ctx} },
		"break off late": func(ctx context.Context) io.Reader {
			return io.MultiReader(io.LimitReader(&endlessBody{ctx: ctx}, 2*maxBufferedResponse), errReader{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var faulty member.UpstreamID
				transport := &fakeTransport{}
				transport.send = func(ctx context.Context, u Upstream, _ *UpstreamRequest) (*Response, error) {
					if faulty == "" {
						faulty = u.ID
					}
					time.Sleep(30 * time.Millisecond)
					a := answer(200, "fine")
					if u.ID == faulty {
						a.ContentLength, a.Body = 1<<40, io.NopCloser(body(ctx))
					}
					return a, nil
				}
				f, cut := newForwarder(t, transport), 0
				for range requests {
					sink := &fakeSink{}
					f.Serve(t.Context(), call("/order/"), sink)
					if sink.truncated {
						cut++
					}
					time.Sleep(100 * time.Millisecond)
				}
				if cut == 0 || cut > most {
					t.Errorf("%d of %d answers were cut, expected %d at most", cut, requests, most)
				}
			})
		})
	}
}
