// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	requestDeadline = 1500 * time.Millisecond
	// smallBytes is the usual size of a body.
	smallBytes = 600
	// meanPause is the mean pause between two requests of a client.
	meanPause = 800 * time.Millisecond
)

// outcomes counts what the clients have seen.
type outcomes struct {
	mu sync.Mutex
	// byResult counts the attempts by what they ended with.
	byResult map[string]int
	// lost counts the requests of kept connections that a sound worker ran and whose connection then
	// ended without an answer.
	lost int
}

func (o *outcomes) add(result string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byResult[result]++
}

// client sends one request at a time, on a connection that it keeps.
type client struct {
	number int
	zone   string
	site   *site
	// pause is the mean pause between two requests.
	pause time.Duration

	conn   net.Conn
	reader *bufio.Reader
	host   *host
	// used says that the connection has carried a request before.
	used     bool
	requests int
}

// run sends requests until the context ends. upload says whether the next request has a long body.
func (c *client) run(ctx context.Context, upload func() bool) {
	for ctx.Err() == nil {
		long := upload()
		if !long {
			sleep(ctx, time.Duration(rand.ExpFloat64()*float64(c.pause)))
			long = upload()
		}
		if ctx.Err() != nil {
			break
		}
		// A client tries again once, if it was promised that the request has not run.
		if retryAfter, refused := c.send(ctx, long); refused {
			sleep(ctx, min(retryAfter, requestDeadline/3))
			c.disconnect()
			c.send(ctx, long)
		}
	}
	c.disconnect()
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.used = nil, false
}

// connect opens a connection to a host of the zone, or to another one if none there is ready.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	c.host = c.site.hostFor(c.zone, c.number)
	if c.host == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.host.ip+":7240", time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return true
}

// send makes one attempt. It reports whether the attempt was refused with the promise that the
// request has not run, and when to come back.
func (c *client) send(ctx context.Context, long bool) (retryAfter time.Duration, refused bool) {
	if !c.connect() {
		c.site.outcomes.add("no connection")
		sleep(ctx, 50*time.Millisecond)
		return 0, false
	}
	c.requests++
	id := fmt.Sprintf("%08x%08x", c.number, c.requests)
	size := smallBytes
	if long {
		size = c.site.uploadBytes
	}
	request, err := c.newRequest(id, size, long && c.site.chunked)
	if err != nil {
		return 0, false
	}
	kept, to := c.used, c.host.name
	c.site.via.Store(id, to)
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(requestDeadline + time.Second))
	c.used = true
	answer, err := c.exchange(request)
	result := "closed without an answer"
	if err == nil {
		result = strconv.Itoa(answer.StatusCode)
	}
	c.site.record.add("client %d, %s: request %s, %d bytes, kept connection %v: %s after %v", c.number, to, id, size, kept, result, time.Since(began).Round(time.Millisecond))
	c.site.outcomes.add(result)
	if err != nil {
		c.disconnect()
		if ctx.Err() == nil && kept && c.site.fleet.ranSoundly(id) && time.Since(began) < requestDeadline {
			c.site.record.add("LOST: request %s was passed on, and its connection ended without an answer", id)
			c.site.outcomes.mu.Lock()
			c.site.outcomes.lost++
			c.site.outcomes.mu.Unlock()
		}
		return 0, false
	}
	if answer.Close {
		c.disconnect()
	}
	switch answer.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}

func (c *client) newRequest(id string, size int, chunked bool) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+routeHost+routePath, bytes.NewReader(c.site.body[:size]))
	if err != nil {
		return nil, err
	}
	clientRequestHeader(r.Header, id)
	if chunked {
		r.ContentLength = -1
	}
	return r, nil
}

// exchange writes a request and reads its whole answer. An answer may come before the whole body is
// written.
func (c *client) exchange(r *http.Request) (*http.Response, error) {
	conn, reader := c.conn, c.reader
	written := make(chan error, 1)
	go func() {
		w := bufio.NewWriterSize(conn, 32<<10)
		err := r.Write(w)
		if err == nil {
			err = w.Flush()
		}
		written <- err
	}()
	answer, err := http.ReadResponse(reader, r)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	select {
	case <-written:
	default:
		// The answer came before the end of the body; the connection can't be used again.
		_ = conn.Close()
		<-written
		if answer != nil {
			answer.Close = true
		}
	}
	return answer, err
}
