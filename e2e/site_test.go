// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package e2e runs whole sites as separate processes of the built binary and
// checks the guarantees that hold when processes are killed, frozen or stopped.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/internal/cli"
)

var binaryPath string

// linkedMain links the code of the shedpath binary into the test binary, so that
// go test never reuses a cached result of different code. An import alone is not
// enough because the linker drops unreachable code.
var linkedMain = cli.Main

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	if linkedMain == nil {
		return 1
	}
	dir, err := os.MkdirTemp("", "shedpath-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryPath = filepath.Join(dir, "shedpath")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "../cmd/shedpath").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building ../cmd/shedpath: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	peerKey    = "an-e2e-peer-key-of-enough-length"
	adminToken = "e2e-operator"
	callerKey  = "demo-counter"
	// waitTimeout bounds every generation and every wait for a state. No test
	// passes because it expires.
	waitTimeout = 60 * time.Second
)

// process is a running process of a site.
type process struct {
	t         testing.TB
	cmd       *exec.Cmd
	addresses map[string]string
	exited    chan struct{}
	stderr    bytes.Buffer
	// stdout holds the output after the first line. It is complete once exited
	// is closed.
	stdout bytes.Buffer
}

// start runs the binary until the test ends. It reads the process's listen
// addresses, in the form name=address, from the first line of its output.
func start(t testing.TB, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(binaryPath, args...), addresses: map[string]string{}, exited: make(chan struct{})}
	p.cmd.Stderr = &p.stderr
	out, err := p.cmd.StdoutPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		t.Fatalf("starting %v: %v", args, err)
	}
	reader := bufio.NewReader(out)
	line, err := reader.ReadString('\n')
	go func() {
		defer close(p.exited)
		_, _ = io.Copy(&p.stdout, reader)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %v:\n%s", args, p.stderr.String())
		}
	})
	if err != nil {
		<-p.exited
		t.Fatalf("%v printed no addresses: %v\n%s", args, err, p.stderr.String())
	}
	for _, pair := range strings.Fields(line) {
		name, address, _ := strings.Cut(pair, "=")
		p.addresses[name] = address
	}
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill continues a stopped process, kills it and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// url returns the URL of path at the process's listener of the given name.
func (p *process) url(side, path string) string { return "http://" + p.addresses[side] + path }

// site holds the running processes of a site.
type site struct {
	t        testing.TB
	platform *process
	entries  []*process
	engines  []*process
	services []*process
}

// newSite starts a platform, the given numbers of entries and engines spread
// over three zones, and one plain service. It applies the sample configuration
// and waits until every entry serves calls.
func newSite(t testing.TB, entries, engines int, engineArgs ...string) *site {
	t.Helper()
	return newSiteOn(t, start(t, "dev", "platform", "--listen", "127.0.0.1:0"), entries, engines, engineArgs...)
}

// newSiteOn is newSite with the given platform.
func newSiteOn(t testing.TB, platform *process, entries, engines int, engineArgs ...string) *site {
	t.Helper()
	s := &site{t: t, platform: platform}
	for i := range engines {
		s.engines = append(s.engines, s.startEngine(i, engineArgs...))
	}
	s.services = append(s.services, start(t, "dev", "service", "--listen", "127.0.0.1:0",
		"--id", "s1", "--zone", "az1", "--pool", "stock", "--platform", s.platformURL()))
	for i := range entries {
		s.entries = append(s.entries, s.startEntry(i))
	}
	s.applyFile(s.entries[0], "../examples/site.yaml")
	for _, e := range s.entries {
		s.waitUntilServing(e)
	}
	return s
}

func (s *site) platformURL() string { return s.platform.url("listen", "") }

// zoneForIndex spreads indexes over the zones az1 to az3 in turn.
func zoneForIndex(i int) string { return fmt.Sprintf("az%d", i%3+1) }

func (s *site) startEngine(i int, extraArgs ...string) *process {
	args := []string{
		"dev", "engine", "--listen", "127.0.0.1:0", "--id", fmt.Sprintf("g%d", i+1),
		"--zone", zoneForIndex(i), "--pool", "desk", "--platform", s.platformURL(),
	}
	return start(s.t, append(args, extraArgs...)...)
}

func (s *site) startEntry(i int, extraArgs ...string) *process {
	args := []string{
		"entry", "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--host-id", fmt.Sprintf("e%d", i+1), "--zone", zoneForIndex(i), "--platform", s.platformURL(), "--register",
		"--peer-key", peerKey, "--admin-token", adminToken, "--host-list-every", "300ms", "--stop-grace", "300ms",
	}
	return start(s.t, append(args, extraArgs...)...)
}

// runOperatorCommand runs an operator command of the binary against an entry and
// returns its combined output.
func (s *site) runOperatorCommand(e *process, args ...string) (string, error) {
	cmd := exec.Command(binaryPath, append(args, "--server", e.url("admin", ""), "--token", adminToken)...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// applyFile applies a configuration file through an entry and retries until that
// succeeds.
func (s *site) applyFile(e *process, file string) {
	s.t.Helper()
	s.waitFor("apply of "+file+" to succeed", func() error {
		out, err := s.runOperatorCommand(e, "apply", "-f", file)
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

// waitFor calls check until it returns nil. It fails the test with the last error
// of check after waitTimeout.
func (s *site) waitFor(condition string, check func() error) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("waiting for %s: %v after %v", condition, err, waitTimeout)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// waitUntilServing waits until an entry serves generations and service calls.
func (s *site) waitUntilServing(e *process) {
	s.t.Helper()
	s.waitFor("successful calls through entry "+e.addresses["caller"], func() error {
		if got := generate(e, 2); got.failure != nil || got.status != http.StatusOK {
			return fmt.Errorf("generation: status %d, %v", got.status, got.failure)
		}
		status, body, err := callService(e, "stock", "ready", nil)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("service: status %d %s: %v", status, body, err)
		}
		return nil
	})
}

// setFaults replaces the faults that a stand-in process injects; faults is JSON.
func (s *site) setFaults(p *process, faults string) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPut, p.url("listen", "/standin/faults"), strings.NewReader(faults))
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// generationResult holds what a caller received of a generation.
type generationResult struct {
	status       int
	texts        []string
	lastEventID  string
	generationID string
	done         bool
	// failure is the error event or error body, or nil.
	failure *apiError
	// err is a transport or decoding error.
	err error
}

// apiError is the error object of an error response or error event.
type apiError struct {
	Code    string `json:"code"`
	Run     string `json:"run"`
	Message string `json:"message"`
}

func completionBody(tokens int) string {
	return fmt.Sprintf(`{"model":"quote","prompt":"chains and hubs","stream":true,"max_tokens":%d,"ignore_eos":true}`, tokens)
}

func openGeneration(ctx context.Context, e *process, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url("caller", "/v1/completions"), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

// generate requests a generation and reads it to its end.
func generate(e *process, tokens int) generationResult {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	response, err := openGeneration(ctx, e, completionBody(tokens), nil)
	if err != nil {
		return generationResult{err: err}
	}
	return readGeneration(response, nil)
}

// resume requests the rest of a generation after the event lastID.
func resume(e *process, lastID, key string) generationResult {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	response, err := openGeneration(ctx, e, "{}", map[string]string{"Last-Event-ID": lastID, "Authorization": "Bearer " + key})
	if err != nil {
		return generationResult{err: err}
	}
	return readGeneration(response, nil)
}

// readGeneration reads a response to its end. If onToken is not nil, it is called
// after every data line with the number of tokens received so far.
func readGeneration(response *http.Response, onToken func(n int)) generationResult {
	defer response.Body.Close()
	got := generationResult{status: response.StatusCode, generationID: response.Header.Get("X-Generation-Id")}
	if response.StatusCode != http.StatusOK {
		var body struct{ Error apiError }
		got.err = json.NewDecoder(response.Body).Decode(&body)
		got.failure = &body.Error
		return got
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, isID := strings.CutPrefix(line, "id: "); isID {
			got.lastEventID = id
		}
		data, isData := strings.CutPrefix(line, "data: ")
		if !isData {
			continue
		}
		got.recordEvent(data)
		if onToken != nil {
			onToken(len(got.texts))
		}
	}
	got.err = scanner.Err()
	return got
}

// recordEvent adds the data of one event to the result.
func (a *generationResult) recordEvent(data string) {
	if data == "[DONE]" {
		a.done = true
		return
	}
	var event struct {
		Choices []struct{ Text string }
		Error   *apiError
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		a.err = err
		return
	}
	if event.Error != nil {
		a.failure = event.Error
		return
	}
	a.texts = append(a.texts, event.Choices[0].Text)
}

// requireConsecutiveTokens checks that texts are the tokens first to last of a
// single run, in order and without gaps.
func requireConsecutiveTokens(t *testing.T, texts []string, first, last int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(texts), last-first+1) // no token is missing or repeated
	if len(texts) == 0 {
		return
	}
	run, _, _ := strings.Cut(texts[0], ".")
	for i, text := range texts {
		if want := fmt.Sprintf("%s.%d", run, first+i); text != want {
			t.Fatalf("token %d is %q, expected %q", first+i, text, want)
		}
	}
}

func callService(e *process, route, path string, header map[string]string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, e.url("caller", "/services/"+route+"/"+path), strings.NewReader("{}"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// executionCount returns how often the plain service executed the request with
// the given idempotency key.
func (s *site) executionCount(key string) int {
	s.t.Helper()
	return s.executionCounts()[key]
}

// executionCounts returns how often the plain service executed requests, by
// idempotency key.
func (s *site) executionCounts() map[string]int {
	s.t.Helper()
	response, err := http.Get(s.services[0].url("listen", "/standin/counts"))
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	counts := map[string]int{}
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		s.t.Fatal(err)
	}
	return counts
}
