// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// clockTicks is the kernel's USER_HZ in ticks per second. Linux reports 100
	// to user space on every platform.
	clockTicks        = 100
	concurrentStreams = 200
	tokensPerStream   = 1000
	firstTokenSamples = 300
	// singleTokenRequests is the number of consecutive one-token requests that
	// measure the CPU time per request.
	singleTokenRequests = 1000
)

// processCPUTime returns the user and system CPU time that a process has used.
func processCPUTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skip("cannot read CPU time from /proc: ", err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// countTokens requests a generation and returns the number of tokens received
// and the time from the start of the request to the first token.
func countTokens(b *testing.B, url string, tokens int) (int, time.Duration) {
	startTime := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(completionBody(tokens)))
	if err != nil {
		b.Error(err)
		return 0, 0
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Error(err)
		return 0, 0
	}
	defer response.Body.Close()
	count, first := 0, time.Duration(0)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if !bytes.HasPrefix(scanner.Bytes(), []byte(`data: {"id"`)) {
			continue
		}
		if count == 0 {
			first = time.Since(startTime)
		}
		count++
	}
	return count, first
}

// median sorts d and returns its middle element.
func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}

// BenchmarkRelay measures the cost of relaying through an entry: its CPU time per
// token and per request, and the time that it adds to the first token compared
// with direct requests to the engine in the same run.
func BenchmarkRelay(b *testing.B) {
	s := newSite(b, 1, 1, "--memory", "10000000", "--max-batch", "1000", "--step", "10ms", "--step-per-run", "0s")
	entry, direct := s.entries[0].url("caller", ""), s.engines[0].url("listen", "")
	for b.Loop() {
		before := processCPUTime(b, s.entries[0].cmd.Process.Pid)
		var all sync.WaitGroup
		for range concurrentStreams {
			all.Go(func() {
				if count, _ := countTokens(b, entry, tokensPerStream); count != tokensPerStream {
					b.Errorf("stream through the entry has %d tokens, expected %d", count, tokensPerStream)
				}
			})
		}
		all.Wait()
		used := processCPUTime(b, s.entries[0].cmd.Process.Pid) - before
		b.ReportMetric(float64(used.Microseconds())/(concurrentStreams*tokensPerStream), "cpu-µs/token")
	}
	before := processCPUTime(b, s.entries[0].cmd.Process.Pid)
	for range singleTokenRequests {
		countTokens(b, entry, 1)
	}
	used := processCPUTime(b, s.entries[0].cmd.Process.Pid) - before
	b.ReportMetric(float64(used.Microseconds())/singleTokenRequests, "cpu-µs/request")
	var firstEntry, firstDirect []time.Duration
	for range firstTokenSamples {
		_, first := countTokens(b, entry, 1)
		firstEntry = append(firstEntry, first)
		_, first = countTokens(b, direct, 1)
		firstDirect = append(firstDirect, first)
	}
	b.ReportMetric(float64(median(firstDirect).Microseconds()), "direct-first-µs")
	b.ReportMetric(float64((median(firstEntry) - median(firstDirect)).Microseconds()), "added-first-µs")
}

// BenchmarkSocketFloor measures the lower bound for relaying a token: one write
// of a token-sized message to a loopback socket and one read that receives it.
func BenchmarkSocketFloor(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	writer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer writer.Close()
	reader, err := listener.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer reader.Close()
	message := bytes.Repeat([]byte("x"), 300)
	for b.Loop() {
		if _, err := writer.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(reader, message); err != nil {
			b.Fatal(err)
		}
	}
}
