// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package accept

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/intake"
)

// simulatedLink carries the bytes that a host sends, one after the other at its rate.
type simulatedLink struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// transmit returns when n more bytes will have been sent.
func (l *simulatedLink) transmit(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// linkWindow is how many bytes of a connection may wait for the link.
const linkWindow = 64 << 10

// linkedConn is a host's end of a connection over its link. What is written waits in a buffer.
type linkedConn struct {
	net.Conn
	link   *simulatedLink
	buffer chan []byte
	closed sync.Once

	room *sync.Cond
	// waiting is how many bytes are in the buffer, and broken that the caller has left.
	waiting int
	broken  bool
}

func newLinkedConn(c net.Conn, l *simulatedLink) *linkedConn {
	linked := &linkedConn{Conn: c, link: l, buffer: make(chan []byte, 1<<12), room: sync.NewCond(&sync.Mutex{})}
	go func() {
		defer c.Close()
		for p := range linked.buffer {
			time.Sleep(time.Until(l.transmit(len(p) + 66)))
			_, err := c.Write(p)
			linked.sent(len(p), err)
			if err != nil {
				return
			}
		}
	}()
	return linked
}

// sent makes room for as many bytes as were sent.
func (c *linkedConn) sent(n int, err error) {
	c.room.L.Lock()
	defer c.room.L.Unlock()
	c.waiting -= n
	c.broken = c.broken || err != nil
	c.room.Signal()
}

func (c *linkedConn) Write(p []byte) (int, error) {
	c.room.L.Lock()
	defer c.room.L.Unlock()
	for c.waiting >= linkWindow && !c.broken {
		c.room.Wait()
	}
	if c.broken {
		return 0, net.ErrClosed
	}
	c.waiting += len(p)
	c.buffer <- append([]byte(nil), p...)
	return len(p), nil
}

func (c *linkedConn) Close() error {
	c.closed.Do(func() {
		c.sent(0, net.ErrClosed)
		close(c.buffer)
	})
	return nil
}

// linkedListener returns the connections that callers open to a host.
type linkedListener struct {
	link  *simulatedLink
	conns chan net.Conn
}

func (l *linkedListener) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *linkedListener) Close() error   { return nil }
func (l *linkedListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection and returns the caller's end.
func (l *linkedListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- newLinkedConn(far, l.link)
	return near
}

const (
	simulatedEvents     = 140
	simulatedEventBytes = 340
	simulatedEventGap   = 32 * time.Millisecond
	streamPath          = "/chat/"
	transferPath        = "/file/"
)

// stream answers a request with a long stream, or under transferPath with bytes that don't end.
func stream(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == transferPath {
		for part := make([]byte, 16<<10); ; {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}
	control := http.NewResponseController(w)
	for range simulatedEvents {
		time.Sleep(simulatedEventGap)
		if _, err := w.Write(make([]byte, simulatedEventBytes)); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// intakeEvents counts the connections that a gate closes.
type intakeEvents struct{ closed int }

func (e *intakeEvents) ConnectionTaken()                          {}
func (e *intakeEvents) ConnectionClosed(intake.Resource)          { e.closed++ }
func (e *intakeEvents) ClosingBegan(intake.Resource, intake.Load) {}
func (e *intakeEvents) ClosingEnded(int, time.Duration)           {}

// tries counts first tries by whether the host read them, and those that were served in time.
type tries struct{ sent, read, inTime int }

// playRates opens connections to a host at the given rates, for phaseDuration each, while a number of transfers
// don't end, and returns what became of the tries in the last part of each phase.
func playRates(t *testing.T, transfers int, perSecond ...int) (phases []tries, closed int) {
	const phaseDuration, settleTime = 12 * time.Second, 3 * time.Second
	const allowed = simulatedEvents*simulatedEventGap + 500*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &linkedListener{link: &simulatedLink{bytesPerSecond: 10e6 / 8}, conns: make(chan net.Conn, 1000)}
		events := &intakeEvents{}
		meter := &intake.Meter{Link: &intake.Link{}, BytesPerSecond: l.link.bytesPerSecond}
		gate := &intake.Gate{Meter: meter, Observer: events}
		ctx, cancel := context.WithCancel(t.Context())
		go meter.Run(ctx, time.Now)
		server := &http.Server{Handler: http.HandlerFunc(stream)}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(&Listener{Listener: l, Gate: gate}) }()
		var mu sync.Mutex
		var running, transferring sync.WaitGroup
		var endTransfers []io.Closer
		for n := range transfers {
			c := l.dial()
			transferring.Go(func() { getStream(c, transferPath, fmt.Sprint("transfer-", n)) })
			endTransfers = append(endTransfers, c)
		}
		phases = make([]tries, len(perSecond))
		for n, rate := range perSecond {
			began := time.Now()
			for i := 0; time.Since(began) < phaseDuration; i++ {
				counted, sentAt := time.Since(began) > settleTime, time.Now()
				running.Go(func() {
					read, whole := getStream(l.dial(), streamPath, fmt.Sprintf("%d-%d", n, i))
					mu.Lock()
					defer mu.Unlock()
					if !counted {
						return
					}
					phases[n].sent++
					if read {
						phases[n].read++
					}
					if whole && time.Since(sentAt) <= allowed {
						phases[n].inTime++
					}
				})
				time.Sleep(time.Second / time.Duration(rate))
			}
		}
		running.Wait()
		for _, c := range endTransfers {
			is.NoErr(c.Close())
		}
		transferring.Wait()
		closed = events.closed
		cancel()
		close(l.conns)
		is.True(errors.Is(<-ended, net.ErrClosed))
		is.NoErr(server.Close())
		time.Sleep(settleTime) // what is left in the buffers is sent
	})
	return phases, closed
}

// getStream sends a request and reads its answer. It reports whether the host read the request, and whether the
// answer is whole.
func getStream(c net.Conn, path, id string) (read, whole bool) {
	defer c.Close()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nConnection: close\r\n\r\n", path, id); err != nil {
		return false, false
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false, false
	}
	n, err := io.Copy(io.Discard, answer.Body)
	return true, err == nil && n == simulatedEvents*simulatedEventBytes
}

// TestReadRequestsAreServedWhileMostCallersComeToOneHost guards against a host that reads more requests than its link can
// answer in time.
func TestReadRequestsAreServedWhileMostCallersComeToOneHost(t *testing.T) {
	for name, rate := range map[string]int{"twice what the link carries": 50, "four times": 100} {
		t.Run(name, func(t *testing.T) {
			phases, _ := playRates(t, 0, 6, rate, 6)
			for n, p := range phases {
				t.Logf("phase %d: %d sent, %d read, %d in time", n+1, p.sent, p.read, p.inTime)
			}
			before, during, after := phases[0], phases[1], phases[2]
			if 4*during.inTime*before.read < 3*before.inTime*during.read {
				t.Errorf("in time were %d of %d that were read while most callers come to the host, before %d of %d", during.inTime, during.read, before.inTime, before.read)
			}
			if during.read < 12*9 {
				t.Errorf("%d requests were read in 9 s, expected half of what the link carries at least", during.read)
			}
			if after.inTime < after.sent {
				t.Errorf("once the callers are gone, %d of %d are served in time", after.inTime, after.sent)
			}
		})
	}
}

// TestNoConnectionIsClosedWithinCapacity guards against a host that turns callers away while it has room for them.
func TestNoConnectionIsClosedWithinCapacity(t *testing.T) {
	if phases, closed := playRates(t, 0, 4, 12, 4); closed > 0 {
		t.Errorf("%d connections were closed: %v", closed, phases)
	}
}

// TestTransfersWithoutEndCloseNoOtherConnection guards against a host that takes a link for full which a few long
// transfers would share, and closes the connections of callers that it could serve.
func TestTransfersWithoutEndCloseNoOtherConnection(t *testing.T) {
	for _, transfers := range []int{1, 4} {
		t.Run(fmt.Sprint(transfers), func(t *testing.T) {
			phases, closed := playRates(t, transfers, 4, 12, 4)
			if closed > 0 {
				t.Errorf("%d connections were closed", closed)
			}
			for n, p := range phases {
				if p.inTime < p.sent {
					t.Errorf("phase %d: %d of %d were served in time", n+1, p.inTime, p.sent)
				}
			}
		})
	}
}
