// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
)

// identityAnswer is how an upstream answers an identity question or a connection.
type identityAnswer struct {
	delay time.Duration
	// instance answers; empty for the upstream itself.
	instance member.UpstreamID
	err      error
	// closed has the upstream refuse connections from then on.
	closed bool
}

// unframedTransport gives whole answers without a declared end, and answers the first questions by a script. The last
// answer is repeated.
type unframedTransport struct {
	fakeTransport
	body string
	// onlyFirst has the script and the delay of connections hold for the first upstream that got the request only.
	onlyFirst bool
	// connectDelay is how long a connection takes.
	connectDelay time.Duration
	// linkRefuses has the host's own link refuse connections, so that peers take connectDelay to make one.
	linkRefuses bool

	mu     sync.Mutex
	script []identityAnswer
	first  member.UpstreamID
	closed bool
}

func (f *unframedTransport) Send(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
	f.mu.Lock()
	if f.first == "" {
		f.first = u.ID
	}
	f.mu.Unlock()
	f.fakeTransport.mu.Lock()
	f.sent = append(f.sent, u.ID)
	f.fakeTransport.mu.Unlock()
	a := answer(200, f.body)
	a.ContentLength, a.Framed = -1, false
	if r.Continue != nil {
		a.Body = io.NopCloser(strings.NewReader(sseEvent(2)))
	}
	return a, nil
}

func (f *unframedTransport) Health(ctx context.Context, u Upstream, _ eligibility.Purpose, _ string) (Health, error) {
	f.mu.Lock()
	next := f.script[0]
	if f.onlyFirst && u.ID != f.first {
		next = identityAnswer{}
	} else if len(f.script) > 1 {
		f.script = f.script[1:]
	}
	f.mu.Unlock()
	PauseFor(ctx, next.delay)
	if ctx.Err() != nil {
		return Health{}, ctx.Err()
	}
	f.mu.Lock()
	f.closed = f.closed || next.closed
	f.mu.Unlock()
	if next.instance == "" {
		next.instance = u.ID
	}
	return Health{Healthy: true, Instance: next.instance}, next.err
}

func (f *unframedTransport) CheckReachable(ctx context.Context, u Upstream) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.onlyFirst || u.ID == f.first {
		f.mu.Unlock()
		PauseFor(ctx, f.connectDelay)
		f.mu.Lock()
	}
	if f.closed || f.linkRefuses && ctx.Err() != nil {
		return false, ErrPortClosed
	}
	return ctx.Err() == nil, ctx.Err()
}

// identityCounter counts what was found out about the upstreams of unframed answers.
type identityCounter struct {
	silentObserver
	mu    sync.Mutex
	found []Identity
}

func (c *identityCounter) Identified(i Identity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.found = append(c.found, i)
}

// newUnframedHost returns a host whose routes allow a minute.
func newUnframedHost(t *testing.T, transport Transport) (*Forwarder, *identityCounter) {
	f, counter := newForwarder(t, transport), &identityCounter{}
	f.observer = counter
	setRouteTimeouts(f, time.Minute)
	return f, counter
}

// silent is an upstream that accepts connections and never answers an identity question.
const silent = time.Hour

// unframedAnswers are requests and their whole answers, by name.
var unframedAnswers = map[string]struct{ path, body string }{
	"call":             {"/order/", "fine"},
	"empty call":       {"/order/", ""},
	"long call":        {"/order/", strings.Repeat("x", maxBufferedResponse+1)},
	"safe call":        {"/status/", "fine"},
	"stream":           {"/llm/", sseEvent(1)},
	"long stream":      {"/llm/", strings.Repeat(sseEvent(1), 1000)},
	"resumable stream": {"/resumable/", sseEvent(1)},
}

// TestWholeAnswerIsNotCutBeforeItsUpstreamIsIdentified guards against a whole answer without a declared end that is cut or lost because
// its upstream answers the identity question late, or not on the first connection.
func TestWholeAnswerIsNotCutBeforeItsUpstreamIsIdentified(t *testing.T) {
	reset := identityAnswer{err: syscall.ECONNRESET}
	for name, c := range map[string]struct {
		script       []identityAnswer
		connectDelay time.Duration
		linkRefuses  bool
	}{
		"at once":                      {[]identityAnswer{{}}, 0, false},
		"waits 80 ms for a slot":       {[]identityAnswer{{delay: 80 * time.Millisecond}}, 0, false},
		"waits 500 ms for a slot":      {[]identityAnswer{{delay: 500 * time.Millisecond}}, 0, false},
		"waits 3 s for a slot":         {[]identityAnswer{{delay: 3 * time.Second}}, 0, false},
		"first question reset":         {[]identityAnswer{reset, {}}, 0, false},
		"too many connections, thrice": {[]identityAnswer{reset, reset, reset, {delay: 100 * time.Millisecond}}, 0, false},
		"a slow link":                  {[]identityAnswer{{delay: 250 * time.Millisecond}}, 200 * time.Millisecond, false},
		"own link cut, peers slow":     {[]identityAnswer{{}}, 200 * time.Millisecond, true},
	} {
		for kind, a := range unframedAnswers {
			t.Run(kind+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					transport := &unframedTransport{script: c.script, connectDelay: c.connectDelay, linkRefuses: c.linkRefuses, body: a.body}
					f, counter := newUnframedHost(t, transport)
					sink := &fakeSink{}
					f.Serve(t.Context(), call(a.path), sink)
					if body := sink.body.String(); sink.refused != nil || sink.truncated || body != a.body {
						t.Errorf("refused: %v, cut: %v, body %.40q", sink.refused, sink.truncated, body)
					}
					synctest.Wait()
					if !slices.Contains(counter.found, IdentitySame) {
						t.Errorf("the upstream is found to be %q", counter.found)
					}
				})
			})
		}
	}
}

// TestUnidentifiedUpstreamIsNotTakenForWhole guards against an answer that counts as whole although its upstream ended while it was
// asked for its identity, or never answers.
func TestUnidentifiedUpstreamIsNotTakenForWhole(t *testing.T) {
	const delay = 500 * time.Millisecond
	for name, c := range map[string]struct {
		script []identityAnswer
		// endsAt is when the answer ends.
		endsAt time.Duration
		found  Identity
	}{
		"ends meanwhile":           {[]identityAnswer{{delay: delay, err: io.ErrUnexpectedEOF, closed: true}}, delay + minIdentityPause, IdentityEnded},
		"replaced meanwhile":       {[]identityAnswer{{delay: delay, instance: "another"}}, delay, IdentityOther},
		"reset, then replaced":     {[]identityAnswer{{err: syscall.ECONNRESET}, {instance: "another"}}, minIdentityPause, IdentityOther},
		"silent":                   {[]identityAnswer{{delay: silent}}, 39 * time.Second, IdentityUnknown},
		"resets all its questions": {[]identityAnswer{{err: syscall.ECONNRESET}}, 39 * time.Second, IdentityUnknown},
	} {
		for _, kind := range []string{"call", "long call", "stream"} {
			t.Run(kind+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					a := unframedAnswers[kind]
					f, counter := newUnframedHost(t, &unframedTransport{script: c.script, body: a.body})
					sink, began := &fakeSink{}, time.Now()
					f.Serve(t.Context(), call(a.path), sink)
					is.True(sink.refused != nil || sink.truncated)
					is.Equal(time.Since(began), c.endsAt)
					synctest.Wait()
					is.Equal(counter.found, []Identity{c.found})
				})
			})
		}
	}
}

// TestWaitForIdentityEnds guards against a request that outlasts its caller or its host's stop because it isn't known who its upstream is,
// and against one that holds back what it has read or holds a place on its engine meanwhile.
func TestWaitForIdentityEnds(t *testing.T) {
	for _, kind := range []string{"call", "long call", "stream"} {
		for name, end := range map[string]func(f *Forwarder, leave context.CancelFunc){
			"caller left": func(_ *Forwarder, leave context.CancelFunc) { leave() },
			"host stops": func(f *Forwarder, _ context.CancelFunc) {
				ended, cancel := context.WithCancel(context.Background())
				cancel()
				f.Stop(ended)
			},
		} {
			t.Run(fmt.Sprint(kind, ", ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					a := unframedAnswers[kind]
					f, _ := newUnframedHost(t, &unframedTransport{script: []identityAnswer{{delay: silent}}, body: a.body})
					ctx, leave := context.WithCancel(t.Context())
					defer leave()
					sink, began := &fakeSink{}, time.Now()
					time.AfterFunc(2*time.Second, func() {
						is.Equal(len(f.engines.runStates(time.Now())), 0)
						sink.mu.Lock()
						is.True(kind == "call" || sink.body.String() == a.body)
						sink.mu.Unlock()
						end(f, leave)
					})
					f.Serve(ctx, call(a.path), sink)
					is.True(sink.refused != nil || sink.truncated)
					is.Equal(time.Since(began), 2*time.Second)
				})
			})
		}
	}
}

// TestUnidentifiedUpstreamDoesNotHoldUpRepeats guards against a request that may be sent to another upstream and waits for the identity
// of a silent one instead.
func TestUnidentifiedUpstreamDoesNotHoldUpRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		path, body, want string
		connectDelay     time.Duration
		question         identityAnswer
		within           time.Duration
	}{
		"safe call":                     {"/status/", "fine", "fine", 0, identityAnswer{delay: silent}, 150 * time.Millisecond},
		"resumable stream, unreachable": {"/resumable/", sseEvent(1), sseEvent(1) + sseEvent(2), silent, identityAnswer{delay: 400 * time.Millisecond, err: syscall.ETIMEDOUT}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &unframedTransport{script: []identityAnswer{c.question}, onlyFirst: true, body: c.body, connectDelay: c.connectDelay}
				f, _ := newUnframedHost(t, transport)
				sink, began := &fakeSink{}, time.Now()
				f.Serve(t.Context(), call(c.path), sink)
				is.Equal(sink.refused, nil)
				is.True(!sink.truncated)
				is.Equal(sink.body.String(), c.want)
				is.True(time.Since(began) <= c.within)
				is.Equal(len(transport.sentTo()), 2)
				synctest.Wait()
			})
		})
	}
}
