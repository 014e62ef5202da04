// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"net"
	"sync"
)

// proxy carries the connections to one address. While it is cut, it holds all bytes and ends of connections in
// both directions back and takes no new connection, as a link does that a partition cuts silently. When the cut
// heals, what was held back arrives.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open chan struct{} // closed while the link works
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

// wait returns once the link works.
func (p *proxy) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
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
	p.wait()
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		// A closed port resets.
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := c.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, caller) })
	both.Go(func() { p.copy(caller, server) })
	both.Wait()
	_ = caller.Close()
	_ = server.Close()
}

// copy passes on bytes, an end as an end and a reset as a reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
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
