// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun says that a case couldn't run.
var errCannotRun = errors.New("the case couldn't run")

// site is a small deployment on loopback: entry hosts as processes, workers as processes behind proxies, and the
// platform's store in this process.
type site struct {
	store    *store
	registry string
	// toStore carries the hosts' connections to the store.
	toStore *proxy
	folder  string
	record  *os.File

	// began is when the case began, and bornBase that in milliseconds of the time of day, as run.sh told it.
	began    time.Time
	bornBase int64

	mu       sync.Mutex
	notes    []note
	children []*exec.Cmd
	hosts    []*host
	workers  map[string]*workerPlace
	requests int
}

type host struct {
	name, zone, front, ready string
	settings                 string
	command                  *exec.Cmd
}

// workerPlace is where one worker runs, again and again.
type workerPlace struct {
	id, service, zone string
	real              string
	proxy             *proxy
	arguments         []string
	command           *exec.Cmd
	cutFromStore      bool
}

func newSite(recordPath string) (*site, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{store: newStore(), folder: folder, record: record, workers: map[string]*workerPlace{}, began: time.Now()}
	if s.bornBase, err = strconv.ParseInt(os.Getenv("NOW_MS"), 10, 64); err != nil {
		return nil, fmt.Errorf("%w: NOW_MS isn't set to the present time: %w", errCannotRun, err)
	}
	at, err := serve(s.store)
	if err != nil {
		return nil, err
	}
	if s.toStore, err = newProxy(at); err != nil {
		return nil, err
	}
	// A host's probes, one a second, end an idle connection to the store three seconds after the last answer.
	s.toStore.setLimits(3*time.Second, 2*time.Second, time.Second)
	at, err = serve(http.HandlerFunc(s.registerWorker))
	s.registry = "http://" + at
	return s, err
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// registerWorker takes the entry that a worker writes about itself. While the worker is cut off, it doesn't arrive.
func (s *site) registerWorker(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/")
	var entry map[string]any
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		return
	}
	s.mu.Lock()
	place := s.workers[id]
	cut := place == nil || place.cutFromStore
	s.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return
	}
	s.store.put("servers/"+id, entry)
	s.note("entry written", id, "", map[string]any{"born": entry["born"], "state": entry["state"]})
}

// note records one line.
func (s *site) note(what, worker, request string, more any) {
	s.write(note{At: time.Now().Format("15:04:05.000"), What: what, Worker: worker, Req: request, More: more})
}

func (s *site) write(n note) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, n)
	text, _ := json.Marshal(n)
	fmt.Fprintf(s.record, "%s\n", text)
}

// told returns the notes that match.
func (s *site) told(match func(note) bool) []note {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []note
	for _, n := range s.notes {
		if match(n) {
			all = append(all, n)
		}
	}
	return all
}

// freePort returns the first of count ports that are free on all addresses.
func freePort(ips []string, count int) (int, error) {
	for range 200 {
		first := 20000 + rand.IntN(20000)
		if portsFree(ips, first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports", errCannotRun)
}

func portsFree(ips []string, first, count int) bool {
	for _, ip := range ips {
		for port := first; port < first+count; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// bounds are the figures of one kind of deployment for the settings file.
type bounds struct {
	contactMS, drainMS, applyMS, heartbeatMS int
	retrySlack                               int
	memoryMB                                 int
}

// startHosts starts entry hosts, one in each of the zones named, and waits until all are ready.
func (s *site) startHosts(zones []string, b bounds) error {
	var ips []string
	for n := range zones {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", n+1))
	}
	first, err := freePort(ips, 16)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips[:min(len(ips), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, first+12)))
	}
	zoneTable := ""
	seen := map[string]bool{}
	for _, z := range zones {
		if !seen[z] {
			zoneTable += fmt.Sprintf("%s = \"nordeste\"\n", z)
		}
		seen[z] = true
	}
	for n, zone := range zones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, front: fmt.Sprintf("%s:%d", ips[n], first+10), ready: fmt.Sprintf("%s:%d", ips[n], first+11)}
		h.settings = filepath.Join(s.folder, h.name+".toml")
		text := fmt.Sprintf(`node = "%s"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "%s"
zone = "%s"
region = "nordeste"
port_range = [%d,%d]
seeds = [%s]
bootstrap = true
counts_toward_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
%s[listen]
front = "%s"
ready = "%s"
control = "%s:%d"
[limits]
cpu_share = 0.8
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = %d
ack_ms = 4000
catch_up_s = 4
drain_ms = %d
grace_s = 8
loss_slack_ms = 200
config_apply_ms = %d
rollback_slack_ms = 250
outer_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = %d
recovery_s = 12
pass_ms = 120
again_s = 4.6
[provider]
address = "%s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, h.name, ips[n], zone, first, first+5, strings.Join(seeds, ","), b.heartbeatMS, zoneTable, h.front, h.ready, ips[n], first+12,
			b.memoryMB, b.contactMS, b.drainMS, b.applyMS, b.retrySlack, s.toStore.address())
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := s.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if !eventually(15*time.Second, h.isReady) {
			return fmt.Errorf("%w: host %s doesn't get ready", errCannotRun, h.name)
		}
	}
	s.note("hosts ready", "", "", len(s.hosts))
	return nil
}

// startHost starts a host with the command of the deploy file.
func (s *site) startHost(h *host) error {
	command := exec.Command("target/shedpath", "serve")
	command.Env = []string{"SHEDPATH_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder}
	log, err := os.OpenFile(filepath.Join(s.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = log, log
	h.command = command
	return s.start(command)
}

func (s *site) start(c *exec.Cmd) error {
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	s.mu.Lock()
	s.children = append(s.children, c)
	s.mu.Unlock()
	return nil
}

func (h *host) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + h.ready + "/shedpath/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func eventually(within time.Duration, holds func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// addWorker starts a worker behind a proxy, and waits until its entry is written.
func (s *site) addWorker(id, service, zone string, beat time.Duration, arguments ...string) (*workerPlace, error) {
	port, err := freePort([]string{"127.0.0.1"}, 1)
	if err != nil {
		return nil, err
	}
	place := &workerPlace{id: id, service: service, zone: zone, real: fmt.Sprintf("127.0.0.1:%d", port)}
	if place.proxy, err = newProxy(place.real); err != nil {
		return nil, err
	}
	place.arguments = append([]string{
		"worker", "-id", id, "-service", service, "-zone", zone, "-public", place.proxy.address(), "-listen", place.real,
		"-registry", s.registry, "-beat", beat.String(),
	}, arguments...)
	s.mu.Lock()
	s.workers[id] = place
	s.mu.Unlock()
	if err := s.startWorker(place); err != nil {
		return nil, err
	}
	if !eventually(5*time.Second, func() bool {
		return len(s.told(func(n note) bool { return n.What == "entry written" && n.Worker == id })) > 0
	}) {
		return nil, fmt.Errorf("%w: worker %s isn't listed", errCannotRun, id)
	}
	return place, nil
}

func (s *site) startWorker(place *workerPlace) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	born := strconv.FormatInt(s.bornBase+time.Since(s.began).Milliseconds(), 10)
	place.command = exec.Command(program, append(slices.Clone(place.arguments), "-born", born)...)
	out, err := place.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.start(place.command); err != nil {
		return err
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var n note
			if json.Unmarshal(lines.Bytes(), &n) == nil {
				s.write(n)
			}
		}
	}()
	return nil
}

// kill ends a process that this case started.
func (s *site) kill(c *exec.Cmd) {
	_ = c.Process.Signal(syscall.SIGKILL)
	_ = c.Wait()
}

func (s *site) setCutFromStore(place *workerPlace, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	place.cutFromStore = cut
}

// end ends all processes that the case started.
func (s *site) end() {
	s.mu.Lock()
	children := s.children
	s.mu.Unlock()
	for _, c := range children {
		_ = c.Process.Signal(syscall.SIGKILL)
	}
	for _, c := range children {
		_ = c.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
	_ = s.record.Close()
}

// answer is what a client saw.
type answer struct {
	status int
	seal   string
	body   string
	err    error
	took   time.Duration
}

// ask sends one request as a client and reads its answer to the end.
func (s *site) ask(ctx context.Context, h *host, method, path, key string, deadline time.Duration, header map[string]string, body string) answer {
	s.mu.Lock()
	s.requests++
	id := fmt.Sprintf("req-%04d", s.requests)
	s.mu.Unlock()
	return s.askAs(ctx, id, h, method, path, key, deadline, header, body)
}

func (s *site) askAs(ctx context.Context, id string, h *host, method, path, key string, deadline time.Duration, header map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "ficu95.example"
	r.Header.Set(headerRequestID, id)
	r.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	s.note("client sends", "", id, map[string]any{"host": h.name, "path": path})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	a := answer{err: err}
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a = answer{status: response.StatusCode, seal: response.Header.Get(headerSeal), body: string(text), err: readErr}
	}
	a.took = time.Since(began)
	failure := ""
	if a.err != nil {
		failure = a.err.Error()
	}
	s.note("client got", "", id, map[string]any{"status": a.status, "seal": a.seal, "body": a.body, "complete": a.err == nil, "error": failure, "ms": a.took.Milliseconds()})
	return a
}
