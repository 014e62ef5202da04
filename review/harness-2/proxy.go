// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxy carries the connections to one address. While it is cut, it holds all bytes and ends of connections in
// both directions back and takes no new connection, as a link does that a partition cuts silently. When the cut
// heals, what was held back arrives.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open chan struct{} // closed while the link works
	// generation rises with each silence. Connections of an earlier generation carry nothing any more.
	generation int
	// user, idle and spread are set by setLimits; zero resets no connection.
	user, idle, spread time.Duration
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: make(chan struct{})}
	close(p.open)
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.open:
	default:
		close(p.open)
	}
}

// setLimits says when the hosts' own limits end a silent connection. A peer that is silent for good doesn't acknowledge
// bytes or keep-alive probes, which the system here does for the proxy. So the proxy resets a silent connection when the
// host's limits would end it: user after the first bytes that the host sent on it (TCP_USER_TIMEOUT) or, if there are
// none by then, at a time from idle to idle and spread, when the host's probes have been without an answer for long enough.
func (p *proxy) setLimits(user, idle, spread time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.user, p.idle, p.spread = user, idle, spread
}

// silence has all open connections go silent for good, without a reset. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
}

func (p *proxy) currentGeneration() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// wait returns once the link works, and reports whether a connection of the generation isn't silent.
func (p *proxy) wait(generation int) bool {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
	return p.currentGeneration() == generation
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c.(*net.TCPConn))
	}
}

func (p *proxy) carry(caller *net.TCPConn) {
	generation := p.currentGeneration()
	p.wait(generation)
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		// A closed port resets.
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := c.(*net.TCPConn)
	var both sync.WaitGroup
	written, ended := make(chan struct{}), make(chan struct{})
	defer close(ended)
	go p.limit(generation, caller, written, ended)
	both.Go(func() { p.copy(generation, server, caller, written) })
	both.Go(func() { p.copy(generation, caller, server, nil) })
	both.Wait()
	_ = caller.Close()
	_ = server.Close()
}

// limit resets a connection that has gone silent when the host's own limits would end it. ended is closed when the
// connection ends by itself.
func (p *proxy) limit(generation int, caller *net.TCPConn, written, ended chan struct{}) {
	for p.currentGeneration() == generation {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	p.mu.Lock()
	user, idle, spread := p.user, p.idle, p.spread
	p.mu.Unlock()
	if user == 0 {
		return
	}
	select {
	case <-written:
		time.Sleep(user)
	case <-time.After(idle + rand.N(spread+1)):
		select {
		case <-written:
			time.Sleep(user)
		default:
		}
	}
	_ = caller.SetLinger(0)
	_ = caller.Close()
}

// copy passes on bytes, an end as an end and a reset as a reset.
// A silent connection's first bytes close written.
func (p *proxy) copy(generation int, to, from *net.TCPConn, written chan struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.wait(generation) {
			if err != nil {
				return
			}
			if written != nil {
				close(written)
				written = nil
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() == "EOF" {
			_ = to.CloseWrite()
		} else {
			_ = to.SetLinger(0)
			_ = to.Close()
		}
		return
	}
}
