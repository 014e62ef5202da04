// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitingRequestsAreAnswered guards against requests without an answer, with two, or with one after their time,
// and against a refusal of a request that has run or runs later.
func TestWaitingRequestsAreAnswered(t *testing.T) {
	for place, p := range waitingPlaces {
		for event, e := range waitingEvents {
			for _, goesOn := range []bool{true, false} {
				if !goesOn && !e.mayHang {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, goes on %v", place, event, goesOn), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playWaiting(t, &p, &e, goesOn) })
				})
			}
		}
	}
}

func playWaiting(t *testing.T, p *waitingPlace, e *waitingEvent, goesOn bool) {
	ctx, end := context.WithCancel(t.Context())
	w := newWaitingSite(ctx, t, p)
	defer func() {
		w.letGo()
		end()
		time.Sleep(moveTimeout) // until no call is under way
	}()
	c, sink := call(p.path), &waitingSink{w: w, aborted: make(chan struct{})}
	c.Arrived = w.near.now()
	route, _ := w.near.Table().Match(c.Host, c.Path)
	answered := make(chan time.Time, 1)
	began := time.Now()
	go func() {
		w.near.Serve(ctx, c, sink)
		answered <- time.Now()
	}()
	if p.begin != nil {
		p.begin(w)
	}
	time.Sleep(30 * time.Millisecond)
	if p.hold != "" {
		select {
		case <-w.isHeld:
		case <-time.After(time.Second):
			t.Fatal("the request doesn't get to the place where it should wait")
		}
	}
	if len(answered) > 0 {
		t.Fatalf("the request doesn't wait: %+v", sink.refusal)
	}
	happened := time.Now()
	e.happen(w)
	time.Sleep(200 * time.Millisecond)
	if goesOn {
		w.letGo()
	}
	latest := began.Add(route.Timeout + 500*time.Millisecond)
	if !p.isSent && route.Objective > 0 {
		latest = began.Add(route.Objective + 500*time.Millisecond)
	}
	if goesOn {
		// What the upstreams take.
		latest = laterOf(latest, happened.Add(2500*time.Millisecond))
	}
	if e.stopsIn > 0 && happened.Add(e.stopsIn+interruptTimeout).Before(latest) {
		latest = happened.Add(e.stopsIn + interruptTimeout)
	}
	select {
	case at := <-answered:
		t.Logf("answered %v after the event: %d begun, %d cut, %d refused %+v; %d ran", at.Sub(happened), sink.began, sink.cut, sink.refused, sink.refusal, w.runCount())
	case <-time.After(time.Until(latest)):
		t.Errorf("no answer %v after the event", time.Since(happened))
		return
	}
	if sink.began+sink.refused != 1 {
		t.Errorf("%d answers and %d refusals", sink.began, sink.refused)
	}
	if sink.began > 0 && sink.cut == 0 && sink.missing != 0 {
		t.Errorf("ended as complete, with %d events missing", sink.missing)
	}
	if p.isSent && goesOn && !e.mayFail && (sink.succeeded != 1 || sink.cut > 0) {
		t.Errorf("a request whose upstream answers fails: %+v, cut %v", sink.refusal, sink.cut > 0)
	}
	time.Sleep(time.Second)
	if ran := w.runCount(); sink.refused > 0 && !sink.refusal.MayHaveRun && ran > 0 {
		t.Errorf("refused with %+v, but %d upstreams got it", sink.refusal, ran)
	}
	w.letGo()
	time.Sleep(500 * time.Millisecond)
	if left := w.leftovers(); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}
