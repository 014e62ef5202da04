// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"compress/flate"
	"compress/gzip"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/internal/golden"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/ratelimit"
	"github.com/shedpath/shedpath/rejection"
	"github.com/shedpath/shedpath/resource"
	"github.com/shedpath/shedpath/rollout"
)

// goldenFiller fills the values that travel between hosts. It is to be used in a bubble, where time
// stands still.
func goldenFiller() golden.Filler {
	f := golden.NewFiller(time.Now())
	golden.Make(f, func(n int) history.Point { return history.NewPoint(history.Era(n), history.Revision(n+1000)) })
	golden.Make(f, func(n int) json.RawMessage { return json.RawMessage(fmt.Sprintf(`{"n":%d}`, n)) })
	golden.Make(f, func(n int) rollout.Tally {
		tally := rollout.Tally{Succeeded: uint32(n), Failed: uint32(n + 1000)}
		tally.Times[3], tally.Times[70] = uint32(n+2000), uint32(n+3000)
		return tally
	})
	return f
}

// pin has one call and its reply go from domain value to domain value by way of the golden bytes,
// and once more from what was decoded. serve returns the handler of the host that is called; on is
// to be given what that heard. A packed reply has compressed bytes, which a build may make otherwise.
func pin[Q, A any](
	t *testing.T, b *golden.Book, name string, asked Q, answer A, ask func(*Mesh, context.Context, member.Entry, Q) (A, error),
	serve func(m *Mesh, on func(Q) A) callHandler, packed bool,
) {
	t.Helper()
	heard, replied := exchange(t, b, name, asked, answer, ask, serve, packed)
	golden.Equal(t, name+", call", heard, asked)
	golden.Equal(t, name+", reply", replied, answer)
	exchange(t, b, name, heard, replied, ask, serve, packed)
}

func exchange[Q, A any](
	t *testing.T, b *golden.Book, name string, asked Q, answer A, ask func(*Mesh, context.Context, member.Entry, Q) (A, error),
	serve func(m *Mesh, on func(Q) A) callHandler, packed bool,
) (heard Q, replied A) {
	caller, server := NewMesh("caller", testKey), NewMesh("server", testKey)
	near, far := net.Pipe()
	link := newConn(near, &caller.sentBytes, &caller.receivedBytes)
	link.nextID = 41
	caller.conns["peer"] = link
	caller.readers.Go(link.readReplies)
	defer caller.Close()
	var serving sync.WaitGroup
	defer serving.Wait()
	serving.Go(func() {
		defer far.Close()
		call, err := readFrame(bytes.NewReader(b.Bytes(name+", call", readMessage(t, far))))
		if err != nil {
			t.Error(err)
			return
		}
		in, out := net.Pipe()
		handle := serve(server, func(q Q) A {
			heard = q
			return answer
		})
		serving.Go(func() { server.handleCall(t.Context(), out, &sync.Mutex{}, call, "caller", handle) })
		check := b.Bytes
		if packed {
			check = b.Kept
		}
		if _, err := far.Write(check(name+", reply", readMessage(t, in))); err != nil {
			t.Error(err)
		}
	})
	replied, err := ask(caller, t.Context(), member.Entry{PeerAddress: "peer"}, asked)
	if err != nil {
		t.Errorf("%s: %v", name, err)
	}
	return heard, replied
}

// readMessage reads a frame as it travels.
func readMessage(t *testing.T, from io.Reader) []byte {
	var message bytes.Buffer
	if _, err := readFrame(io.TeeReader(from, &message)); err != nil {
		t.Error(err)
	}
	return message.Bytes()
}

// goldenHost answers the calls of a forwarder's peers.
type goldenHost struct{ on func(asked any) any }

var _ forwardHandler = goldenHost{}

// goldenRelease and goldenTurn are what a call has in several values.
type (
	goldenRelease struct {
		Entries  []quarantine.Entry
		Released bool
	}
	goldenTurn struct {
		forward.TurnRequest
		Wait time.Duration
	}
)

func (h goldenHost) OnShare(s forward.Share) forward.Share { return h.on(s).(forward.Share) }

func (h goldenHost) OnFollow(_ context.Context, r forward.FollowRequest) forward.FollowReply {
	return h.on(r).(forward.FollowReply)
}

func (h goldenHost) OnConfig(have forward.Version) forward.ConfigReply {
	return h.on(have).(forward.ConfigReply)
}

func (h goldenHost) OnAsk(a forward.PlacementRequest) forward.PlacementGrant {
	return h.on(a).(forward.PlacementGrant)
}

func (h goldenHost) OnAdmit(_ context.Context, r forward.AdmitRequest) forward.AdmitReply {
	return h.on(r).(forward.AdmitReply)
}

func (h goldenHost) OnPermit(a permit.GrantRequest) permit.GrantReply {
	return h.on(a).(permit.GrantReply)
}

func (h goldenHost) OnLend(r rejection.LoanRequest) rejection.LoanReply {
	return h.on(r).(rejection.LoanReply)
}

func (h goldenHost) OnRollout(r rollout.Report) rollout.Status { return h.on(r).(rollout.Status) }

func (h goldenHost) Rollouts() []forward.RolloutEntry {
	return h.on(struct{}{}).([]forward.RolloutEntry)
}

func (h goldenHost) OnTurn(ctx context.Context, r forward.TurnRequest) error {
	until, _ := ctx.Deadline()
	h.on(goldenTurn{r, time.Until(until)})
	return nil
}

func (h goldenHost) OnEndTurn(r forward.TurnRequest) { h.on(r) }

func (h goldenHost) OnBackoff(m backoff.Mark) { h.on(m) }

func (h goldenHost) OnQuarantine(release *quarantine.Fingerprint) ([]quarantine.Entry, bool) {
	r := h.on(release).(goldenRelease)
	return r.Entries, r.Released
}

func serveGoldenHost[Q, A any](m *Mesh, on func(Q) A) callHandler {
	h := goldenHost{on: func(asked any) any { return on(asked.(Q)) }}
	return func(ctx context.Context, _ member.HostID, k callKind, body []byte) (any, error) {
		return m.dispatchForwardCall(ctx, h, k, body)
	}
}

// noReply is the reply to a call that tells nothing.
type noReply struct{}

func none(err error) (noReply, error) { return noReply{}, err }

// setPhases gives a status two phases that differ.
func setPhases(s *rollout.Status, n int) {
	phases := []rollout.Phase{rollout.Trial, rollout.Ramp, rollout.Full, rollout.Completed, rollout.RolledBack}
	s.Phase, s.RecordedPhase = phases[n%len(phases)], phases[(n+1)%len(phases)]
}

// TestGoldenForward pins the calls between the hosts of a forwarder's site.
func TestGoldenForward(t *testing.T) {
	share, follow, others := golden.Open(t, "share"), golden.Open(t, "follow"), golden.Open(t, "forward-calls")
	config := golden.Open(t, "configuration")
	synctest.Test(t, func(t *testing.T) {
		f := goldenFiller()
		shares := golden.Cases(f, func(s *forward.Share) {
			for i := range s.Zones {
				s.Zones[i].Unreadable = false // isn't told
			}
		})
		for n, s := range shares {
			pin(t, share, fmt.Sprint("share ", n+1), s, shares[len(shares)-1-n], (*Mesh).Share, serveGoldenHost, false)
		}
		testGoldenFollow(t, follow, f)
		testGoldenConfig(t, config, f)
		testGoldenPlaces(t, others, f)
		testGoldenPermits(t, others, f)
		testGoldenLoans(t, others, f)
		testGoldenRollouts(t, others, f)
		testGoldenQuarantine(t, others, f)
	})
}

func testGoldenFollow(t *testing.T, b *golden.Book, f golden.Filler) {
	request := golden.Cases[forward.FollowRequest](f, nil)[0]
	replies := golden.Cases(f, func(r *forward.FollowReply) {
		r.Generation = 0                                                                       // isn't told
		r.EraFirstSeen = history.NewPoint(r.ListRevision.Era(), r.EraFirstSeen.Revision()+500) // is of the list's era
		for i := range r.Zones {
			r.Zones[i].Unreadable = false
			setPhases(&r.Rollouts[i], i)
		}
	})
	for n, reply := range replies {
		pin(t, b, fmt.Sprint("follow ", n+1), request, reply, (*Mesh).Follow, serveGoldenHost, false)
	}
	long := forward.FollowReply{Complete: true}
	for n := range minPackedChanges {
		change := replies[n%len(replies)].Changes[n%2]
		change.Slots = n
		long.Changes = append(long.Changes, change)
	}
	pin(t, b, "follow with a long list", request, long, (*Mesh).Follow, serveGoldenHost, true)
	packed, err := packChanges(f.Now, long.Changes[:3])
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	if err != nil {
		t.Fatal(err)
	}
	b.Bytes("long list, unpacked", unpacked)
}

func testGoldenConfig(t *testing.T, b *golden.Book, f golden.Filler) {
	kinds := []forward.Kind{forward.KindSafe, forward.KindUnsafe, forward.KindStream}
	configs := golden.Cases[forward.Config](f, nil)
	for n := range configs {
		for i := range configs[n].Routes {
			configs[n].Routes[i].Kind = kinds[(n+i)%len(kinds)]
		}
		packed, err := packConfig(&configs[n])
		if err != nil {
			t.Fatal(err)
		}
		unpacked, err := gzip.NewReader(bytes.NewReader(packed))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(unpacked)
		if err != nil {
			t.Fatal(err)
		}
		b.Text(fmt.Sprintf("configuration %d, unpacked", n+1), string(text))
	}
	whole := forward.ConfigReply{Config: &configs[0], Age: 1234 * time.Millisecond}
	pin(t, b, "configuration", 7, whole, (*Mesh).Config, serveGoldenHost, true)
	pin(t, b, "configuration that isn't newer", 8, forward.ConfigReply{Age: 5678 * time.Millisecond}, (*Mesh).Config, serveGoldenHost, false)
}

func testGoldenPlaces(t *testing.T, b *golden.Book, f golden.Filler) {
	pin(t, b, "ask for a place", golden.Cases[forward.PlacementRequest](f, nil)[0], golden.Cases[forward.PlacementGrant](f, nil)[0], (*Mesh).Ask, serveGoldenHost, false)
	for n, asked := range golden.Cases[forward.AdmitRequest](f, nil) {
		pin(t, b, fmt.Sprint("ask the zone for room ", n+1), asked, golden.Cases[forward.AdmitReply](f, nil)[n], (*Mesh).Admit, serveGoldenHost, false)
	}
	turn := golden.Cases[goldenTurn](f, nil)[0]
	pin(t, b, "wait for a turn", turn, noReply{},
		func(m *Mesh, ctx context.Context, to member.Entry, r goldenTurn) (noReply, error) {
			ctx, cancel := context.WithTimeout(ctx, r.Wait)
			defer cancel()
			return none(m.Turn(ctx, to, r.TurnRequest))
		}, serveGoldenHost, false)
	pin(t, b, "end a turn", turn.TurnRequest, noReply{},
		func(m *Mesh, ctx context.Context, to member.Entry, r forward.TurnRequest) (noReply, error) {
			return none(m.EndTurn(ctx, to, r))
		}, serveGoldenHost, false)
	pin(t, b, "pass a backoff on", golden.Cases[backoff.Mark](f, nil)[0], noReply{},
		func(m *Mesh, ctx context.Context, to member.Entry, mark backoff.Mark) (noReply, error) {
			return none(m.Backoff(ctx, to, mark))
		}, serveGoldenHost, false)
	pin(t, b, "a call that fails", noReply{}, "there is no such place",
		func(m *Mesh, ctx context.Context, to member.Entry, _ noReply) (string, error) {
			var failed *callError
			err := m.EndTurn(ctx, to, turn.TurnRequest)
			if !errors.As(err, &failed) {
				return "", err
			}
			return failed.Message, nil
		},
		func(_ *Mesh, on func(noReply) string) callHandler {
			return func(context.Context, member.HostID, callKind, []byte) (any, error) {
				return nil, errors.New(on(noReply{}))
			}
		}, false)
}

func testGoldenPermits(t *testing.T, b *golden.Book, f golden.Filler) {
	// A word is told where there is one, and one that names a limit is there.
	word := func(has *bool, w *ratelimit.PeerReport) {
		if *has = *has || w.HasLimit; !*has {
			*w = ratelimit.PeerReport{}
		}
	}
	asks := golden.Cases(f, func(a *permit.GrantRequest) { word(&a.HasLimitMark, &a.LimitMark) })
	replies := golden.Cases(f, func(r *permit.GrantReply) {
		r.Granter.Capacity = 0 // isn't told
		word(&r.HasLimitMark, &r.LimitMark)
	})
	for n, r := range replies {
		pin(t, b, fmt.Sprint("ask for a permit ", n+1), asks[n%len(asks)], r, (*Mesh).Permit, serveGoldenHost, false)
	}
}

func testGoldenRollouts(t *testing.T, b *golden.Book, f golden.Filler) {
	measures := []rollout.Measure{rollout.ResponseTime, rollout.TimeToFirstEvent, rollout.TimeBetweenEvents}
	statuses := golden.Cases[rollout.Status](f, nil)
	reports := golden.Cases[rollout.Report](f, nil)
	for n := range 5 {
		report, status := reports[n%len(reports)], statuses[0]
		report.Evidence = append([]rollout.Evidence(nil), report.Evidence...)
		for i := range report.Evidence {
			report.Evidence[i].Measure = measures[(n+i)%len(measures)]
		}
		setPhases(&status, n)
		report.Phase = status.RecordedPhase
		status.Withdrawn = n == 0
		pin(t, b, fmt.Sprint("report of a rollout ", n+1), report, status, (*Mesh).Rollout, serveGoldenHost, false)
	}
	entries := golden.Cases(f, func(all *[]forward.RolloutEntry) {
		for i := range *all {
			setPhases(&(*all)[i].Status, i)
			for n := range (*all)[i].Evidence {
				(*all)[i].Evidence[n].Measure = measures[n+i]
			}
		}
	})
	for n, all := range entries {
		pin(t, b, fmt.Sprint("list of rollouts ", n+1), struct{}{}, all,
			func(m *Mesh, ctx context.Context, to member.Entry, _ struct{}) ([]forward.RolloutEntry, error) {
				return m.Rollouts(ctx, to.PeerAddress)
			}, serveGoldenHost, false)
	}
}

func testGoldenQuarantine(t *testing.T, b *golden.Book, f golden.Filler) {
	standings := []quarantine.Standing{quarantine.Clear, quarantine.Suspect, quarantine.TrialDue, quarantine.Held}
	reply := golden.Cases[goldenRelease](f, nil)[0]
	reply.Entries = append(reply.Entries, reply.Entries...)
	for i := range reply.Entries {
		reply.Entries[i].Standing = standings[i]
	}
	ask := func(m *Mesh, ctx context.Context, to member.Entry, release *quarantine.Fingerprint) (goldenRelease, error) {
		entries, released, err := m.Quarantine(ctx, to.PeerAddress, release)
		return goldenRelease{entries, released}, err
	}
	pin(t, b, "release of a request", &reply.Entries[0].Request, reply, ask, serveGoldenHost, false)
	reply.Released = false
	pin(t, b, "list of requests that are held", nil, reply, ask, serveGoldenHost, false)
}

// goldenEntry answers the calls of an entry's peers.
type goldenEntry struct {
	entry.PeerHandler
	on func(asked any) any
}

// goldenPool is a call about a pool.
type goldenPool[T any] struct {
	Pool resource.Name
	Told []T
}

func (h goldenEntry) OnHeartbeat(_ time.Time, b entry.Heartbeat) entry.Heartbeat {
	return h.on(b).(entry.Heartbeat)
}

func (h goldenEntry) OnPlace(_ context.Context, _ member.HostID, pool resource.Name, asked []policy.Request) ([]policy.Decision, error) {
	return h.on(goldenPool[policy.Request]{pool, asked}).([]policy.Decision), nil
}

func (h goldenEntry) OnDecided(_ context.Context, _ member.HostID, pool resource.Name, told []policy.Decision) error {
	h.on(goldenPool[policy.Decision]{pool, told})
	return nil
}

func (h goldenEntry) OnFinished(_ context.Context, pool resource.Name, done []policy.Finish) error {
	h.on(goldenPool[policy.Finish]{pool, done})
	return nil
}

func (h goldenEntry) OnRunning(_ context.Context, _ member.HostID, pool resource.Name, runs []entry.PlacedRun) error {
	h.on(goldenPool[entry.PlacedRun]{pool, runs})
	return nil
}

func (h goldenEntry) OnClaimRepair(_ time.Time, r entry.ClaimRepair) entry.ClaimRepair {
	return h.on(r).(entry.ClaimRepair)
}

func (h goldenEntry) OnLog(after resource.Revision) entry.LogTail { return h.on(after).(entry.LogTail) }

func serveGoldenEntry[Q, A any](_ *Mesh, on func(Q) A) callHandler {
	h := goldenEntry{on: func(asked any) any { return on(asked.(Q)) }}
	return func(ctx context.Context, from member.HostID, k callKind, body []byte) (any, error) {
		return dispatchEntryCall(ctx, time.Now(), h, from, k, body)
	}
}

// sentRequest leaves out of a request what isn't told.
func sentRequest(r policy.Request) policy.Request {
	return policy.Request{
		Run: r.Run, Route: r.Route, Account: r.Account, Priority: r.Priority, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, Prefix: r.Prefix,
		PrefixTokens: r.PrefixTokens, QueueBytes: r.QueueBytes, Deadline: r.Deadline, PreviousEngine: r.PreviousEngine, ExcludedEngines: r.ExcludedEngines,
	}
}

// TestGoldenEntry pins the calls between entries.
func TestGoldenEntry(t *testing.T) {
	b := golden.Open(t, "entry-calls")
	synctest.Test(t, func(t *testing.T) {
		f := goldenFiller()
		beats := golden.Cases(f, func(h *entry.Heartbeat) {
			// These aren't told.
			h.From.Capacity = 0
			for i := range h.Pools {
				for j := range h.Pools[i].Reports {
					h.Pools[i].Reports[j].SlowStepTime = 0
				}
			}
		})
		beats = append(beats, beats[0])
		beats[1].Leaving = false
		pin(t, b, "heartbeat", beats[0], beats[1], (*Mesh).Heartbeat, serveGoldenEntry, false)
		asked := golden.Cases(f, func(p *goldenPool[policy.Request]) {
			for i := range p.Told {
				p.Told[i] = sentRequest(p.Told[i])
			}
		})[0]
		decisions := golden.Cases(f, func(p *goldenPool[policy.Decision]) {
			// Each reason and each verdict once at least; the other numbers of the two are given again.
			reasons := []policy.Reason{"", policy.ReasonNoEngine, policy.ReasonQueueFull, policy.ReasonDeadline, policy.ReasonLate, policy.ReasonTooLong}
			verdicts := []policy.Verdict{policy.Queued, policy.Granted, policy.Refused}
			for i := range reasons {
				d := p.Told[i%2]
				d.Verdict, d.Reason, d.TimeToFirstToken, d.PeakMemory, d.BatchSize = verdicts[i%3], reasons[i], 0, 0, 0 // the last three aren't told
				p.Told = append(p.Told, d)
			}
			p.Told = p.Told[2:]
		})[0]
		pin(t, b, "ask for places", asked, decisions.Told,
			func(m *Mesh, ctx context.Context, to member.Entry, p goldenPool[policy.Request]) ([]policy.Decision, error) {
				return m.Place(ctx, to, p.Pool, p.Told)
			}, serveGoldenEntry, false)
		pin(t, b, "decisions", decisions, noReply{},
			func(m *Mesh, ctx context.Context, to member.Entry, p goldenPool[policy.Decision]) (noReply, error) {
				return none(m.Decided(ctx, to, p.Pool, p.Told))
			}, serveGoldenEntry, false)
		pin(t, b, "runs that ended", golden.Cases[goldenPool[policy.Finish]](f, nil)[0], noReply{},
			func(m *Mesh, ctx context.Context, to member.Entry, p goldenPool[policy.Finish]) (noReply, error) {
				return none(m.Finished(ctx, to, p.Pool, p.Told))
			}, serveGoldenEntry, false)
		running := golden.Cases(f, func(p *goldenPool[entry.PlacedRun]) {
			for i := range p.Told {
				p.Told[i].Request = sentRequest(p.Told[i].Request)
			}
		})[0]
		pin(t, b, "runs under way", running, noReply{},
			func(m *Mesh, ctx context.Context, to member.Entry, p goldenPool[entry.PlacedRun]) (noReply, error) {
				return none(m.Running(ctx, to, p.Pool, p.Told))
			}, serveGoldenEntry, false)
		repairs := []entry.ClaimRepair{{Era: 78, Unfinished: true}, {Era: 79}}
		pin(t, b, "repair of claims", repairs[0], repairs[1], (*Mesh).ClaimRepair, serveGoldenEntry, false)
		pin(t, b, "log of the configuration", 77, golden.Cases[entry.LogTail](f, nil)[0], (*Mesh).Log, serveGoldenEntry, false)
	})
}

// TestGoldenHandshake pins the greeting of two hosts, whose nonces are drawn: each side is held
// against what the other one is to send, put together here.
func TestGoldenHandshake(t *testing.T) {
	key, nonce := []byte("the key of both hosts"), bytes.Repeat([]byte{7}, 16)
	mac := func(parts ...[]byte) []byte {
		sum := hmac.New(sha256.New, key)
		for _, p := range parts {
			sum.Write(p)
		}
		return sum.Sum(nil)
	}
	read := func(from io.Reader, n int) []byte {
		got := make([]byte, n)
		if _, err := io.ReadFull(from, got); err != nil {
			t.Fatal(err)
		}
		return got
	}
	write := func(to io.Writer, all []byte) {
		if _, err := to.Write(all); err != nil {
			t.Fatal(err)
		}
	}
	const dialer, acceptor = "shedpath peer dialer 1", "shedpath peer acceptor 1"
	greeting, far := net.Pipe()
	done := make(chan error, 2)
	go func() {
		defer greeting.Close()
		done <- handshakeAsDialer(greeting, key, "h1")
	}()
	write(far, nonce)
	hello := read(far, 16+1+2+32)
	golden.Equal(t, "hello", hello[16:], append([]byte("\x02h1"), mac([]byte(dialer), nonce, hello[:16], []byte("h1"))...))
	write(far, mac([]byte(acceptor), hello[:16], nonce, []byte("h1")))
	golden.Equal(t, "dialer's error", <-done, error(nil))

	welcoming, far := net.Pipe()
	go func() {
		defer welcoming.Close()
		_, err := handshakeAsAcceptor(welcoming, key)
		done <- err
	}()
	theirs := read(far, 16)
	write(far, append(append(append([]byte(nil), nonce...), "\x02h1"...), mac([]byte(dialer), theirs, nonce, []byte("h1"))...))
	golden.Equal(t, "proof of the acceptor", read(far, 32), mac([]byte(acceptor), nonce, theirs, []byte("h1")))
	golden.Equal(t, "acceptor's error", <-done, error(nil))
}

func testGoldenLoans(t *testing.T, b *golden.Book, f golden.Filler) {
	requests, replies := golden.Cases[rejection.LoanRequest](f, nil), golden.Cases[rejection.LoanReply](f, nil)
	for n, r := range requests {
		pin(t, b, fmt.Sprint("ask for a loan ", n+1), r, replies[n%len(replies)], (*Mesh).Lend, serveGoldenHost, false)
	}
}
