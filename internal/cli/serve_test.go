// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bufio"
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

	"github.com/shedpath/shedpath/internal/loopback"
	"github.com/shedpath/shedpath/platform"
)

// What happened: hosts were stopped one after another while their settings changed. A
// host that was told to reread its settings after it had been told to stop died at
// once, and the streams that it had its grace for with it.
//
// The cause: rereading ended with the first SIGTERM, which gave SIGHUP back to its
// default, and that ends the process.
//
// Evidence: with signals in overlapping series, each of ten hosts that got a SIGHUP 0.5
// to 2 s after a SIGTERM was gone within 20 ms; no "stopped" line of them.

// serveVariable has the test's own program serve in place of testing.
const serveVariable = "SHEDPATH_TEST_SERVE"

// TestSignalsWhileStopping has a host that stops outlive the signals that come
// meanwhile.
func TestSignalsWhileStopping(t *testing.T) {
	if os.Getenv(serveVariable) != "" {
		os.Exit(Main([]string{"serve"}, ProcessSystem()))
	}
	for name, sig := range map[string]syscall.Signal{
		"hangup": syscall.SIGHUP, "interrupt": syscall.SIGINT, "terminate again": syscall.SIGTERM,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			host, lines := startHost(t)
			awaitLine(t, lines, "msg=started")
			is.NoErr(host.Process.Signal(syscall.SIGTERM))
			awaitLine(t, lines, "msg=stopping")
			ended := make(chan struct{})
			var signalling sync.WaitGroup
			signalling.Go(func() { signalUntil(ended, host.Process, sig) })
			awaitLine(t, lines, "msg=stopped")
			close(ended)
			signalling.Wait()
			_, err := io.Copy(io.Discard, lines)
			is.NoErr(err)
			// The last signal may have come when it had stopped and listened no more.
			_ = host.Wait()
		})
	}
}

// signalUntil sends a signal again and again until the channel closes.
func signalUntil(ended <-chan struct{}, to *os.Process, sig os.Signal) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			// It may have ended meanwhile; its log tells how.
			_ = to.Signal(sig)
		}
	}
}

// startHost starts a host whose platform isn't there, and returns its log.
func startHost(t *testing.T) (*exec.Cmd, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	ip := loopback.Own(t, 1)[0]
	file := filepath.Join(t.TempDir(), "node.toml")
	is.NoErr(os.WriteFile(file, fmt.Appendf(nil, `node = "h1"
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
`, ip, loopback.FirstPort, loopback.FirstPort+1), 0o600))
	host := exec.Command(os.Args[0], "-test.run=^TestSignalsWhileStopping$")
	host.Env = append(os.Environ(), serveVariable+"=1", platform.SettingsVariable+"="+file)
	host.Stderr = os.Stderr
	out, err := host.StdoutPipe()
	is.NoErr(err)
	is.NoErr(host.Start())
	t.Cleanup(func() { _ = host.Process.Kill() })
	return host, bufio.NewReader(out)
}

// awaitLine reads a log up to a line with some text.
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
