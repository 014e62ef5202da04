// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/internal/hostsignal"
	"github.com/shedpath/shedpath/internal/loopback"
	"github.com/shedpath/shedpath/platform"
)

// TestSignalsWhileStopping checks that a stopping host survives further signals
// until it has stopped. It guards against this failure: the host stopped handling
// SIGHUP at the first SIGTERM, so a SIGHUP during the grace period had its default
// action and ended the process together with its running streams.
func TestSignalsWhileStopping(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{
		"hangup": syscall.SIGHUP, "interrupt": syscall.SIGINT, "terminate again": syscall.SIGTERM,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "node.toml")
			is.NoErr(os.WriteFile(file, unreachablePlatform(t), 0o600))
			host, lines := startHost(t, file)
			awaitLine(t, lines, "msg=started")
			is.NoErr(host.Process.Signal(syscall.SIGTERM))
			awaitLine(t, lines, "msg=stopping")
			ended := make(chan struct{})
			var signalling sync.WaitGroup
			signalling.Go(func() { signalUntil(ended, host.Process, sig) })
			awaitLine(t, lines, "msg=stopped in_progress=0 dropped_lines=0")
			close(ended)
			signalling.Wait()
			_, err := io.Copy(io.Discard, lines)
			is.NoErr(err)
			is.NoErr(host.Wait())
		})
	}
}

// signalUntil sends a signal every 5 ms until the channel is closed.
func signalUntil(ended <-chan struct{}, to *os.Process, sig os.Signal) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			// The process may have ended already; the test checks its log.
			_ = to.Signal(sig)
		}
	}
}

// TestSignalsWhileStarting checks that a host which gets signals before it has read its
// settings starts, rereads them after SIGHUP, and stops by itself after SIGTERM.
func TestSignalsWhileStarting(t *testing.T) {
	for name, test := range map[string]struct {
		signals []syscall.Signal
		// then is what the host logs without a further signal.
		then string
	}{
		"hangup":              {[]syscall.Signal{syscall.SIGHUP}, `msg="settings reloaded"`},
		"terminate":           {[]syscall.Signal{syscall.SIGTERM}, "msg=stopped"},
		"terminate twice":     {[]syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}, "msg=stopped"},
		"terminate, hangup":   {[]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}, "msg=stopped"},
		"hangup and hangup":   {[]syscall.Signal{syscall.SIGHUP, syscall.SIGHUP}, `msg="settings reloaded"`},
		"hangup, interrupted": {[]syscall.Signal{syscall.SIGHUP, syscall.SIGINT}, "msg=stopped"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			// The host waits for its settings until the pipe is written, and rereads them from a file.
			pipe, file := filepath.Join(t.TempDir(), "node.toml"), filepath.Join(t.TempDir(), "changed.toml")
			text := unreachablePlatform(t)
			is.NoErr(syscall.Mkfifo(pipe, 0o600))
			is.NoErr(os.WriteFile(file, text, 0o600))
			host, lines := startHost(t, pipe)
			settings, err := os.OpenFile(pipe, os.O_WRONLY, 0)
			is.NoErr(err)
			is.NoErr(os.Rename(file, pipe))
			for _, sig := range test.signals {
				is.NoErr(host.Process.Signal(sig))
			}
			_, err = settings.Write(text)
			is.NoErr(err)
			is.NoErr(settings.Close())
			awaitLine(t, lines, test.then)
			is.NoErr(host.Process.Signal(syscall.SIGTERM))
			_, err = io.Copy(io.Discard, lines)
			is.NoErr(err)
			is.NoErr(host.Wait())
		})
	}
}

// TestSignalsAreTakenFirst checks that signals are received before the packages are
// initialised that take most of a process's start.
func TestSignalsAreTakenFirst(t *testing.T) {
	is := is.New(t)
	host := exec.Command(os.Args[0], hostsignal.Command)
	host.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, err := host.CombinedOutput()
	is.True(err != nil) // it has no settings
	_, after, found := strings.Cut(string(trace), "init github.com/shedpath/shedpath/internal/hostsignal ")
	is.True(found)
	for _, late := range []string{"net/http", "github.com/prometheus/client_golang/prometheus", "google.golang.org/grpc"} {
		is.True(strings.Contains(after, "init "+late+" "))
	}
}

// unreachablePlatform returns the settings of a host whose platform is unreachable.
func unreachablePlatform(t *testing.T) []byte {
	t.Helper()
	return fmt.Appendf(nil, `node = "h1"
zone = "z1"
ip = "%[1]s"
port_range = [%[2]d,%[3]d]
[listen]
front = "%[1]s:0"
ready = "%[1]s:0"
[bounds]
grace_s = 1
[provider]
address = "127.0.0.1:1"
writes_per_s = 400
reads_per_s = 2000
`, loopback.ReserveAddresses(t, 1)[0], loopback.FirstPort, loopback.FirstPort+1)
}

// maxHostLife is longer than any test here takes. A host that doesn't end is killed after it.
const maxHostLife = 30 * time.Second

// startHost starts a host with a file of settings, and returns the process and its log.
func startHost(t *testing.T, settings string) (*exec.Cmd, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), maxHostLife)
	t.Cleanup(cancel)
	host := exec.CommandContext(ctx, os.Args[0], hostsignal.Command)
	host.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	host.Stderr = os.Stderr
	out, err := host.StdoutPipe()
	is.NoErr(err)
	is.NoErr(host.Start())
	return host, bufio.NewReader(out)
}

// awaitLine reads a log up to the first line that contains the text.
func awaitLine(t *testing.T, log *bufio.Reader, text string) {
	t.Helper()
	for {
		line, err := log.ReadString('\n')
		if strings.Contains(line, text) {
			return
		}
		if err != nil {
			t.Fatalf("the log ended before %q: %v", text, err)
		}
	}
}
