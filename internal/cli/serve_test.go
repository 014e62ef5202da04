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

// serveVariable makes the test binary run "shedpath serve" instead of the tests.
const serveVariable = "SHEDPATH_TEST_SERVE"

// TestSignalsWhileStopping checks that a stopping host survives further signals
// until it has stopped. It guards against this failure: the host stopped handling
// SIGHUP at the first SIGTERM, so a SIGHUP during the grace period had its default
// action and ended the process together with its running streams.
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
			// The last signal may arrive after the host has stopped handling signals, so
			// the exit status isn't checked.
			_ = host.Wait()
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

// startHost starts a host whose platform is unreachable, and returns the process
// and its log.
func startHost(t *testing.T) (*exec.Cmd, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	ip := loopback.ReserveAddresses(t, 1)[0]
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
