// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// newResumableForwarder returns a forwarder whose route "/llm/" has resumable streams.
func newResumableForwarder(t *testing.T, transport Transport, attempts int, slack float64) *Forwarder {
	f := newForwarder(t, transport)
	c := testConfig(2)
	c.Routes[2].Resumable, c.Routes[2].Attempts = true, attempts
	f.Configure(time.Now(), c)
	f.SetRetryLimit(RetryLimit{Slack: slack, Window: 10 * time.Second})
	return f
}

// brokenAnswer returns an answer that breaks off after some events.
func brokenAnswer(events string) *Response {
	a := answer(200, "")
	a.ContentLength, a.Body = -1, io.NopCloser(io.MultiReader(strings.NewReader(events), errReader{}))
	return a
}

// TestResume checks that a resumable stream that an engine lost or broke off continues at
// another engine after the last event that the caller has. No other stream does.
func TestResume(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		resumable bool
		attempts  int
		slack     float64
		// firstAnswer is nil if the first engine loses the request.
		firstAnswer *Response
		// callerHas is the id of the last event that the caller reports.
		callerHas string
		sent      int
		// continuedAfter lists the event ids after which the engines are asked to continue.
		continuedAfter []string
		want           string
		cut            bool
		refused        Code
	}{
		"lost":                      {true, 2, 100, nil, "", 2, []string{"", ""}, rest, false, ""},
		"lost, not resumable":       {false, 2, 100, nil, "", 1, []string{""}, "", false, CodeLost},
		"lost, one attempt":         {true, 1, 100, nil, "", 1, []string{""}, "", false, CodeLost},
		"lost, no budget":           {true, 2, 0, nil, "", 1, []string{""}, "", false, CodeLost},
		"broken":                    {true, 2, 100, brokenAnswer(first), "", 2, []string{"", "1"}, first + rest, false, ""},
		"broken within an event":    {true, 2, 100, brokenAnswer(first + "id: 2\nda"), "", 2, []string{"", "1"}, first + rest, false, ""},
		"broken, not resumable":     {false, 2, 100, brokenAnswer(first), "", 1, []string{""}, first, true, ""},
		"broken, no ids":            {true, 2, 100, brokenAnswer("data: a\n\n"), "", 1, []string{""}, "data: a\n\n", true, ""},
		"broken, one attempt":       {true, 1, 100, brokenAnswer(first), "", 1, []string{""}, first, true, ""},
		"lost, caller has an event": {true, 2, 100, nil, "1", 2, []string{"1", "1"}, rest, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var after []string
			transport := &fakeTransport{send: func(_ context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
				last := ""
				if r.Continue != nil {
					is.Equal(r.Continue.Handle, "") // the run left no copy
					last = r.Continue.LastEventID
				}
				after = append(after, last)
				switch {
				case len(after) > 1:
					return answer(200, rest), nil
				case c.firstAnswer == nil:
					return nil, io.ErrUnexpectedEOF
				default:
					return c.firstAnswer, nil
				}
			}}
			f, sink := newResumableForwarder(t, transport, c.attempts, c.slack), &fakeSink{}
			if !c.resumable {
				config := testConfig(3)
				config.Routes[2].Attempts = c.attempts
				f.Configure(time.Now(), config)
			}
			request := call("/llm/")
			request.LastEventID = c.callerHas
			f.Serve(t.Context(), request, sink)
			sent := transport.sentTo()
			is.Equal(len(sent), c.sent)
			is.True(len(sent) < 2 || sent[0] != sent[1]) // resumed at another engine
			is.Equal(after, c.continuedAfter)
			is.Equal(sink.body.String(), c.want)
			is.Equal(sink.truncated, c.cut)
			if c.refused != "" {
				is.Equal(*sink.refused, Refusal{Code: c.refused, MayHaveRun: true})
			}
			is.Equal(len(f.engines.runStates(time.Now())), 0) // every place was freed
		})
	}
}

// TestResumeNoRoom checks that the final answer of a stream that an engine may have worked on
// says so, although the engines that were tried next surely didn't run it.
func TestResumeNoRoom(t *testing.T) {
	is := is.New(t)
	tries := 0
	transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		if tries++; tries == 1 {
			return nil, io.ErrUnexpectedEOF
		}
		a := answer(503, "")
		a.NotRun = true
		return a, nil
	}}
	f, sink := newResumableForwarder(t, transport, 2, 100), &fakeSink{}
	f.Serve(t.Context(), call("/llm/"), sink)
	is.Equal(tries, 1+maxRejections)
	is.Equal(*sink.refused, Refusal{Code: CodeLost, MayHaveRun: true})
}

// TestResumeAfterEngineWithoutRun checks that a stream that broke off continues at a third engine if the second one
// surely didn't run it, and at no third one if it may have.
func TestResumeAfterEngineWithoutRun(t *testing.T) {
	notRun, wrong, bad := answer(503, ""), answer(421, ""), answer(200, "id: 2\n\n")
	notRun.NotRun, wrong.WrongInstance, bad.Signed = true, true, false
	for name, c := range map[string]struct {
		second    *Response
		secondErr error
		resumed   bool
	}{
		"not reached":        {nil, ErrNotSent, true},
		"rejected":           {notRun, nil, true},
		"another's address":  {wrong, nil, true},
		"lost":               {nil, io.ErrUnexpectedEOF, false},
		"without signature":  {bad, nil, false},
		"failed the request": {answer(500, ""), nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tries := 0
			transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
				switch tries++; tries {
				case 1:
					return brokenAnswer("id: 1\n\n"), nil
				case 2:
					return c.second, c.secondErr
				default:
					return answer(200, "id: 2\n\n"), nil
				}
			}}
			f, sink := newResumableForwarder(t, transport, 3, 100), &fakeSink{}
			f.Serve(t.Context(), call("/llm/"), sink)
			is.Equal(sink.truncated, !c.resumed)
			is.Equal(sink.body.String() == "id: 1\n\nid: 2\n\n", c.resumed)
			sent := transport.sentTo()
			is.Equal(len(sent), map[bool]int{true: 3, false: 2}[c.resumed])
			is.True(len(sent) < 3 || sent[2] != sent[0] && sent[2] != sent[1])
			is.Equal(len(f.engines.runStates(time.Now())), 0) // every place was freed
		})
	}
}

// TestResumeSilent checks that a resumable stream leaves an engine that stays silent, and the
// request to that engine is cancelled.
func TestResumeSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tries, left := 0, error(nil)
		transport := &fakeTransport{send: func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			if tries++; tries == 1 {
				<-ctx.Done()
				left = context.Cause(ctx)
				return nil, left
			}
			return answer(200, "id: 1\n\n"), nil
		}}
		f, sink := newResumableForwarder(t, transport, 2, 100), &fakeSink{}
		began := time.Now()
		f.Serve(t.Context(), call("/llm/"), sink)
		is.Equal(tries, 2)
		is.True(errors.Is(left, errFirstEventLate))
		is.Equal(time.Since(began), firstEventTimeout(1800*time.Millisecond))
		is.Equal(sink.refused, nil)
		is.Equal(sink.body.String(), "id: 1\n\n")
	})
}

// TestSilentEngineIsNotLeftForNothing guards against requests that are lost because they were withdrawn from an engine
// with a late first event, although no other engine could run them.
func TestSilentEngineIsNotLeftForNothing(t *testing.T) {
	const answersAfter, roomAfter = 5 * time.Second, 3500 * time.Millisecond
	others := []member.UpstreamID{"llm2", "llm3"}
	for name, c := range map[string]struct {
		slack float64
		// prepare changes what the other engines can do before the request arrives.
		prepare func(t *testing.T, f *Forwarder)
		tries   int
	}{
		"no retry is left": {0, func(*testing.T, *Forwarder) {}, 1},
		"the other engines leave": {100, func(_ *testing.T, f *Forwarder) {
			for _, id := range others {
				f.fleet.MarkLeaving(time.Now(), id, 0, true)
			}
		}, 1},
		"the other engines are full": {100, func(t *testing.T, f *Forwarder) {
			for _, id := range others {
				fillEngine(t, f, id)
			}
		}, 1},
		"another engine has room later": {100, func(t *testing.T, f *Forwarder) {
			for _, id := range others {
				fillEngine(t, f, id)
			}
			full := f.engines.pools["llm"].ownRuns["fill-llm2"]
			time.AfterFunc(roomAfter, func() { f.engines.finish(time.Now(), "llm", full, false) })
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tries := 0
				f, sink := newResumableForwarder(t, &fakeTransport{send: func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
					if tries++; tries == 1 {
						PauseFor(ctx, answersAfter)
					}
					return answer(200, "id: 1\n\n"), context.Cause(ctx)
				}}, 2, c.slack), &fakeSink{}
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				go f.Run(ctx)
				synctest.Wait()
				c.prepare(t, f)
				synctest.Wait()
				began := time.Now()
				f.Serve(ctx, call("/llm/"), sink)
				is.Equal(sink.refused, nil)
				is.Equal(sink.body.String(), "id: 1\n\n")
				is.Equal(tries, c.tries)
				is.Equal(time.Since(began) < answersAfter, c.tries > 1)
			})
		})
	}
}
