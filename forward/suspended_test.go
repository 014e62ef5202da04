// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/clock/clocktest"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
)

// These tests guard against the effects of a machine that is suspended for seconds. The monotonic
// clock stops meanwhile, and so does every duration that the host measures. After the machine
// resumes, a proof of contact that is half a minute old seems fresh, so the host refuses a route
// that has long existed, sends to engines that have left, and keeps requests that its callers have
// given up.

// withSuspendableHost runs a test on a host whose machine can be suspended.
func withSuspendableHost(t *testing.T, transport Transport, test func(is *is.I, f *Forwarder, s *clocktest.Machine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := clocktest.NewMachine(t)
		f := newForwarder(t, transport)
		f.setClock(s.Clock())
		test(is.New(t), f, s)
	})
}

// TestProofsAcrossSuspension checks that each proof, and each age that is reported of one, grows by the
// time for which the machine was suspended.
func TestProofsAcrossSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		for name, age := range map[string]func(f *Forwarder) time.Duration{
			"configuration":      func(f *Forwarder) time.Duration { return f.ContactAge(f.now()) },
			"list":               func(f *Forwarder) time.Duration { return f.OriginAge(f.now()) },
			"followed":           func(f *Forwarder) time.Duration { return f.followedPeerAnsweredAt.age(f.now()) },
			"list suspect":       func(f *Forwarder) time.Duration { return f.listSuspectedAt.age(f.now()) },
			"told to peers":      func(f *Forwarder) time.Duration { return f.newShare(f.now()).ConfigAge },
			"told to followers":  func(f *Forwarder) time.Duration { return f.OnFollow(context.Background(), FollowRequest{}).OriginAge },
			"told with a config": func(f *Forwarder) time.Duration { return f.OnConfig(0).Age },
		} {
			t.Run(fmt.Sprint(name, " ", slept), func(t *testing.T) {
				withSuspendableHost(t, &fakeTransport{}, func(is *is.I, f *Forwarder, s *clocktest.Machine) {
					f.followedPeerAnsweredAt.advance(f.now())
					f.listSuspectedAt.advance(f.now())
					s.Suspend(slept)
					is.Equal(age(f), slept)
				})
			})
		}
	}
}

// TestUnknownAfterSuspension checks that a host that was suspended for longer than its proof is valid
// doesn't deny that a route or a key exists, as its configuration may be out of date.
func TestUnknownAfterSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		for name, c := range map[string]struct {
			path, key string
			code      Code
		}{"route": {"/nowhere/", "k1", CodeNoRoute}, "key": {"/llm/", "k9", CodeBadKey}} {
			t.Run(fmt.Sprint(name, " ", slept), func(t *testing.T) {
				withSuspendableHost(t, &fakeTransport{}, func(is *is.I, f *Forwarder, s *clocktest.Machine) {
					s.Suspend(slept)
					request, sink := call(c.path), &fakeSink{}
					request.APIKey, request.Arrived = c.key, f.now()
					f.Serve(context.Background(), request, sink)
					want := c.code
					if slept > f.settings.MaxContactAge {
						want = CodeNotReady
					}
					is.Equal(sink.refused.Code, want)
				})
			})
		}
	}
}

// TestTimedStateAcrossSuspension checks that state with a time limit expires when that time has really
// passed, suspension included, and not before.
func TestTimedStateAcrossSuspension(t *testing.T) {
	const engine = member.UpstreamID("llm1")
	for _, slept := range clocktest.SuspensionDurations {
		for name, c := range map[string]struct {
			set      func(f *Forwarder)
			holds    func(f *Forwarder) bool
			duration time.Duration
		}{
			"an upstream fails": {
				func(f *Forwarder) { f.fleet.RecordFailure(f.now(), engine) },
				func(f *Forwarder) bool { return f.fleet.IsFailing(f.now(), engine) }, initialFailingHold,
			},
			"an upstream is cold": {
				func(f *Forwarder) { f.fleet.MarkCold(engine, f.now().Add(10*time.Second)) },
				func(f *Forwarder) bool { return f.fleet.AnyCold(f.now()) }, 10 * time.Second,
			},
			"a peer of the zone is there": {
				func(f *Forwarder) { f.receiveShare(Share{From: Peer{ID: "h2", Zone: "z1"}}) },
				func(f *Forwarder) bool { return f.peers.liveHosts(f.now()) == 2 }, sameCellSilenceTimeout,
			},
			"a peer of another zone is there": {
				func(f *Forwarder) { f.receiveShare(Share{From: Peer{ID: "h2", Zone: "z2"}}) },
				func(f *Forwarder) bool { return f.peers.liveHosts(f.now()) == 2 }, otherCellSilenceTimeout,
			},
			"the list is up to date": {
				func(f *Forwarder) { f.originProvedAt.advance(f.now()) },
				func(f *Forwarder) bool { return f.isListCurrent(f.now()) }, maxListAge,
			},
			"the budget is spent": {
				func(f *Forwarder) {
					for f.retries.takeRetry(f.now(), "app") {
					}
				},
				func(f *Forwarder) bool { return !f.retries.takeRetry(f.now(), "app") }, 10 * time.Second,
			},
			"another host has the turn": {
				func(f *Forwarder) { f.turns.tryAcquire(f.now(), TurnRequest{Engine: engine, Run: "r9"}) },
				func(f *Forwarder) bool { return !f.turns.tryAcquire(f.now(), TurnRequest{Engine: engine, Run: "r8"}) }, turnTTL,
			},
			"an upstream wants nothing": {
				func(f *Forwarder) { f.backoffs.Record(f.now(), engine, 0, 10*time.Second, 0) },
				func(f *Forwarder) bool { return f.backoffs.Remaining(f.now(), engine) > 0 }, 10 * time.Second,
			},
			"an upstream wants nothing from two others": {
				func(f *Forwarder) {
					for _, peer := range []member.HostID{"h2", "h3"} {
						f.backoffs.RecordPeer(f.now(), peer, backoff.Mark{Upstream: engine, Remaining: 10 * time.Second}, 0)
					}
				},
				func(f *Forwarder) bool { return f.backoffs.Remaining(f.now(), engine) > 0 }, 10 * time.Second,
			},
			"an upstream that leaves is told of": {
				func(f *Forwarder) { f.fleet.RecordSelfReportedLeaving(f.now(), engine, 0, true) },
				func(f *Forwarder) bool { return len(f.fleet.LeavingMarks(f.now())) > 0 }, declaredLeavingShareTime,
			},
			"a request is held": {
				func(f *Forwarder) {
					for n := range 3 {
						f.crashes.RecordCrash(f.now(), quarantine.RequestIdentity{}, quarantine.Fingerprint{}, quarantine.Origin{}, quarantine.Upstream{ID: member.UpstreamID(fmt.Sprint("e", n))})
					}
				},
				func(f *Forwarder) bool {
					e, _ := f.crashes.Evaluate(f.now(), quarantine.RequestIdentity{}, &quarantine.Fingerprint{})
					return e.Standing == quarantine.Held
				}, time.Minute,
			},
		} {
			t.Run(fmt.Sprint(name, " ", slept), func(t *testing.T) {
				withSuspendableHost(t, &fakeTransport{}, func(is *is.I, f *Forwarder, s *clocktest.Machine) {
					c.set(f)
					is.True(c.holds(f))
					s.Suspend(slept)
					is.Equal(c.holds(f), slept < c.duration)
				})
			})
		}
	}
}

// TestMessagesFromBeforeSuspension checks that a host that was suspended doesn't take old reports of a
// peer or of the origin for new: answers that arrived during the suspension, and messages that waited in
// its sockets.
func TestMessagesFromBeforeSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		for name, receive := range map[string]func(f *Forwarder, s *clocktest.Machine){
			"a message that waited": func(f *Forwarder, s *clocktest.Machine) {
				s.Suspend(slept)
				f.OnShare(Share{From: Peer{ID: "h2", Zone: "z1"}, Version: 1})
			},
			"an answer to a share": func(f *Forwarder, s *clocktest.Machine) {
				f.shareWith(context.Background(), suspendingPeers{machine: s, duration: slept}, Peer{ID: "h2", Zone: "z1"}, Share{})
			},
			"an answer of a leader": func(f *Forwarder, s *clocktest.Machine) {
				f.peerTransport = suspendingPeers{machine: s, duration: slept}
				f.followPeer(context.Background(), Peer{ID: "h2", Zone: "z1"}, followBounds{timeout: time.Second, maxOriginAge: time.Hour, inheritProof: true})
			},
			"a watch of the origin": func(f *Forwarder, s *clocktest.Machine) {
				w := &follower{Forwarder: f, origin: suspendingOrigin{machine: s, duration: slept}, originStatus: dependencyStatus{name: "store", journal: f.journal, now: f.now}, startedAt: f.now()}
				w.followOrigin(context.Background())
			},
		} {
			t.Run(fmt.Sprint(name, " ", slept), func(t *testing.T) {
				withSuspendableHost(t, &fakeTransport{}, func(is *is.I, f *Forwarder, s *clocktest.Machine) {
					f.contactProvedAt.clear()
					f.originProvedAt.clear()
					receive(f, s)
					is.True(f.ContactAge(f.now()) >= slept)
					is.True(f.OriginAge(f.now()) >= slept)
				})
			})
		}
	}
}

// suspendingPeers answers at once, but the machine of the calling host is suspended before it reads the
// answer.
type suspendingPeers struct {
	Peers
	machine  *clocktest.Machine
	duration time.Duration
}

func (p suspendingPeers) Share(context.Context, Peer, Share) (Share, error) {
	p.machine.Suspend(p.duration)
	return Share{From: Peer{ID: "h2", Zone: "z1"}, Version: 1}, nil
}

func (p suspendingPeers) Follow(context.Context, Peer, FollowRequest) (FollowReply, error) {
	p.machine.Suspend(p.duration)
	return FollowReply{Version: 1, ListRevision: rev(1)}, nil
}

// suspendingOrigin answers a watch while the machine of the calling host is suspended.
type suspendingOrigin struct {
	Origin
	machine  *clocktest.Machine
	duration time.Duration
}

func (o suspendingOrigin) Watch(context.Context, history.Point, time.Duration) (OriginUpdate, error) {
	o.machine.Suspend(o.duration)
	return OriginUpdate{Revision: rev(1)}, nil
}

// TestRequestQueuedDuringSuspension checks a request that is read just after the machine has resumed: it
// is refused if its caller may have given it up while it was queued, and otherwise has only the
// time that is left. A request that is read later has its full time.
func TestRequestQueuedDuringSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		for _, patience := range []time.Duration{600 * time.Millisecond, 3 * time.Second, 39 * time.Second} {
			t.Run(fmt.Sprint(patience, " ", slept), func(t *testing.T) {
				var left time.Duration
				recordTimeLeft := func(_ context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
					left = r.TimeLeft
					return answer(200, ""), nil
				}
				withSuspendableHost(t, &fakeTransport{send: recordTimeLeft}, func(is *is.I, f *Forwarder, s *clocktest.Machine) {
					ctx, stop := context.WithCancel(context.Background())
					defer stop()
					go f.Run(ctx)
					synctest.Wait()
					s.Suspend(slept)
					request, sink := call("/llm/"), &fakeSink{}
					request.Arrived, request.CallerTimeout = f.now(), patience
					f.Serve(context.Background(), request, sink)
					if patience <= slept {
						is.Equal(*sink.refused, Refusal{Code: CodeLate, RetryAfter: otherHostRetryAfter})
					} else {
						// The request may wait until the state of the engines is refreshed.
						is.True(patience-slept-left <= poolRefreshInterval && left <= patience-slept)
					}
					time.Sleep(time.Second)
					request.Arrived = f.now()
					f.Serve(context.Background(), request, sink)
					is.Equal(left, patience)
				})
			})
		}
	}
}

// TestRequestAcrossSuspension checks that a request in progress when the machine is suspended ends when
// its time is really over, and that an upstream is given no more time than is left.
func TestRequestAcrossSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		t.Run(fmt.Sprint("ends in time ", slept), func(t *testing.T) {
			silent := func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
				<-ctx.Done()
				return nil, context.Cause(ctx)
			}
			withSuspendableHost(t, &fakeTransport{send: silent}, func(is *is.I, f *Forwarder, s *clocktest.Machine) {
				ctx, stop := context.WithCancel(context.Background())
				go f.settings.Clock.Run(ctx)
				request, sink := call("/llm/"), &fakeSink{}
				began := time.Now()
				go func() {
					time.Sleep(2 * time.Second)
					s.Suspend(slept)
				}()
				f.Serve(ctx, request, sink)
				is.Equal(sink.refused.Code, CodeTimeout)
				late := time.Since(began) - (39*time.Second - slept)
				is.True(0 <= late && late <= 2*clock.SuspensionCheckInterval)
				stop()
				synctest.Wait()
			})
		})
		t.Run(fmt.Sprint("time left ", slept), func(t *testing.T) {
			var left []time.Duration
			var suspendable *clocktest.Machine
			lossy := func(_ context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
				left = append(left, r.TimeLeft)
				if len(left) == 1 {
					suspendable.Suspend(slept)
					return nil, ErrNotSent
				}
				return answer(200, ""), nil
			}
			withSuspendableHost(t, &fakeTransport{send: lossy}, func(is *is.I, f *Forwarder, machine *clocktest.Machine) {
				suspendable = machine
				sink := &fakeSink{}
				f.Serve(context.Background(), call("/llm/"), sink)
				if len(left) == 1 {
					// It would start too late, so it isn't sent again.
					is.True(slept > 1800*time.Millisecond && !sink.refused.MayHaveRun)
					return
				}
				is.Equal(left[0]-left[1], slept)
			})
		})
	}
}

// TestWorkingEngineIsNotFailingAfterSuspension guards against engines that a whole cell avoids because the first event of a
// request is late at a host that was suspended, which has no recent report of the engine's other runs. An engine that stays
// silent after the suspension is still noticed.
func TestWorkingEngineIsNotFailingAfterSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations[1:] {
		for _, working := range []bool{true, false} {
			t.Run(fmt.Sprint(slept, " working ", working), func(t *testing.T) {
				silent := func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
					<-ctx.Done()
					return nil, context.Cause(ctx)
				}
				transport := &fakeTransport{send: silent}
				withSuspendableHost(t, transport, func(is *is.I, f *Forwarder, s *clocktest.Machine) {
					ctx, stop := context.WithCancel(context.Background())
					defer synctest.Wait()
					defer stop()
					go f.Run(ctx)
					synctest.Wait()
					request := call("/llm/")
					request.Arrived = f.now()
					go f.Serve(ctx, request, &fakeSink{})
					synctest.Wait()
					engine := transport.sentTo()[0]
					began, suspended, marked := time.Now(), false, false
					late := firstEventTimeout(1800 * time.Millisecond)
					for made := policy.Tokens(100); time.Since(began) < late+3*time.Second; made += 50 {
						if !suspended || working {
							f.engines.replacePeerRuns(f.now(), "h2", []RunState{{Run: "other", Service: "llm", Engine: engine, Prompt: 100, Made: made, Limit: 5000}}, nil)
						}
						time.Sleep(shareInterval)
						if !suspended && time.Since(began) > late-shareInterval {
							s.Suspend(slept)
							suspended = true
							time.Sleep(shareInterval) // the next report
						}
						marked = marked || len(f.fleet.FailingMarks(f.now())) > 0
					}
					is.Equal(marked, !working)
				})
			})
		}
	}
}
