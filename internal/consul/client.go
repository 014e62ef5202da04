// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package consul is a client of the platform's key-value service and host list, which speak
// Consul's HTTP API. All calls pass one budget and one circuit breaker.
package consul

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/internal/wellformed"
	"github.com/shedpath/shedpath/member"
)

// Client calls the platform's service. Use New; WithPriority returns the same client for calls
// of another priority.
type Client struct {
	base       string
	httpClient *http.Client
	budget     *Budget
	breaker    *breaker
	priority   Priority
	// observe is called for each call, with its operation and outcome.
	observe func(call, outcome string)
	// newestEra is the newest era that the service has reported, shared by all priorities.
	newestEra *atomic.Uint64
}

// Option changes how a Client is built.
type Option func(*Client)

// WithBudget sets the budget that limits the calls.
func WithBudget(b *Budget) Option { return func(c *Client) { c.budget = b } }

// WithObserver sets a function that is called for each call, for counters.
func WithObserver(observe func(call, outcome string)) Option {
	return func(c *Client) { c.observe = observe }
}

// callTimeout bounds each call; a watch gets it on top of its waiting time.
const callTimeout = 2 * time.Second

// New returns a client for the service at a base URL such as "http://10.0.0.9:8500". Without
// WithBudget it uses the specified rates of the platform.
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:       strings.TrimRight(base, "/"),
		httpClient: &http.Client{Transport: wellformed.Transport{Base: http.DefaultTransport}},
		budget:     NewBudget(PlatformWritesPerSecond, PlatformReadsPerSecond),
		breaker:    &breaker{},
		observe:    func(string, string) {},
		newestEra:  &atomic.Uint64{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithPriority returns a client whose calls have the given priority.
func (c *Client) WithPriority(priority Priority) *Client {
	clone := *c
	clone.priority = priority
	return &clone
}

// statusError reports an HTTP status that is not expected from the service.
type statusError struct {
	Status int
	Text   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("the platform returned status %d: %s", e.Status, e.Text)
}

type request struct {
	operation, method, path string
	query                   url.Values
	body                    []byte
	timeout                 time.Duration
	isRead                  bool
}

type response struct {
	status int
	body   []byte
	index  uint64
	era    history.Era
}

// headerEra holds the service's era, which rises by one each time the service is restored from
// an older copy.
const headerEra = "Store-Era"

// call sends one request. Its error wraps entry.ErrNotSent if:
//   - the budget or the breaker refused the call,
//   - the request could not be built or no connection was made,
//   - the service refused the call because of its rate.
func (c *Client) call(ctx context.Context, r request) (response, error) {
	now := time.Now()
	if !c.withinBudget(now, r) {
		c.observe(r.operation, "over_budget")
		return response{}, trace.Wrap(entry.ErrNotSent, "%s: the call exceeds the budget for the platform", r.operation)
	}
	if !c.breaker.allow(now) {
		c.observe(r.operation, "breaker_open")
		return response{}, trace.Wrap(entry.ErrNotSent, "%s: the circuit breaker is open, the platform keeps failing", r.operation)
	}
	resp, err := c.send(ctx, r)
	// A call that its caller canceled says nothing about the platform's health.
	if ctx.Err() == nil {
		c.breaker.recordOutcome(time.Now(), err == nil)
	}
	c.observe(r.operation, callOutcome(err))
	return resp, err
}

func callOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

func (c *Client) withinBudget(now time.Time, r request) bool {
	if r.isRead {
		return c.budget.allowRead(now, c.priority)
	}
	return c.budget.allowWrite(now, c.priority)
}

const maxResponseBytes = 64 << 20

func (c *Client) send(ctx context.Context, r request) (response, error) {
	if r.timeout == 0 {
		r.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	target := c.base + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return response{}, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	if !r.isRead {
		// Without GetBody, the transport can't resend a write by itself.
		req.GetBody = nil
	}
	httpResponse, err := c.httpClient.Do(req)
	if err != nil && !connected.Load() {
		return response{}, trace.Wrap(entry.ErrNotSent, "%s: %v", r.operation, err)
	}
	if err != nil {
		return response{}, trace.Wrap(err, r.operation)
	}
	defer httpResponse.Body.Close()
	parsed, err := readResponse(httpResponse)
	c.observeEra(parsed.era)
	return parsed, err
}

// Era returns the newest era that the service has reported.
func (c *Client) Era() history.Era { return history.Era(c.newestEra.Load()) }

func (c *Client) observeEra(era history.Era) {
	for known := c.newestEra.Load(); uint64(era) > known; known = c.newestEra.Load() {
		if c.newestEra.CompareAndSwap(known, uint64(era)) {
			return
		}
	}
}

func readResponse(httpResponse *http.Response) (response, error) {
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response{}, trace.Wrap(err)
	}
	parsed := response{status: httpResponse.StatusCode, body: body}
	parsed.index, _ = strconv.ParseUint(httpResponse.Header.Get("X-Consul-Index"), 10, 64)
	// If the service reports no era, only the index can reveal a restore.
	parsed.era, _ = history.ParseEra(httpResponse.Header.Get(headerEra))
	switch httpResponse.StatusCode {
	case http.StatusOK, http.StatusNotFound:
		return parsed, nil
	case http.StatusTooManyRequests:
		return parsed, trace.Wrap(entry.ErrNotSent, "the platform refused the call because of its rate limit")
	default:
		return parsed, &statusError{Status: httpResponse.StatusCode, Text: strings.TrimSpace(string(body))}
	}
}

type keyEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	LockIndex   uint64
	Session     string
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (entry.Item, error) {
	return c.getKey(ctx, request{operation: "get", isRead: true, method: http.MethodGet, path: "/v1/kv/" + key})
}

// Watch waits up to the given time for a write to the key after index.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (entry.Item, error) {
	query := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {wait.String()}}
	return c.getKey(ctx, request{
		operation: "watch", isRead: true, method: http.MethodGet,
		path: "/v1/kv/" + key, query: query, timeout: wait + callTimeout,
	})
}

func (c *Client) getKey(ctx context.Context, r request) (entry.Item, error) {
	resp, err := c.call(ctx, r)
	if err != nil {
		return entry.Item{}, err
	}
	if resp.status == http.StatusNotFound {
		return entry.Item{Index: resp.index, Era: resp.era}, nil
	}
	var keys []keyEntry
	if err := json.Unmarshal(resp.body, &keys); err != nil || len(keys) != 1 {
		return entry.Item{}, trace.BadParameter("parse the platform's answer to %s: %d entries, expected 1: %v", r.operation, len(keys), err)
	}
	return entry.Item{Value: keys[0].Value, Version: entry.Version(keys[0].ModifyIndex), Index: resp.index, Era: resp.era}, nil
}

// Swap writes the key if it still has version v, and reports whether it did.
func (c *Client) Swap(ctx context.Context, key string, value []byte, v entry.Version) (bool, error) {
	query := url.Values{"cas": {strconv.FormatUint(uint64(v), 10)}}
	return c.conditionalWrite(ctx, request{
		operation: "swap", method: http.MethodPut, path: "/v1/kv/" + key, query: query, body: value,
	})
}

// Delete removes the key if it still has version v, and reports whether it did.
func (c *Client) Delete(ctx context.Context, key string, v entry.Version) (bool, error) {
	query := url.Values{"cas": {strconv.FormatUint(uint64(v), 10)}}
	return c.conditionalWrite(ctx, request{operation: "delete", method: http.MethodDelete, path: "/v1/kv/" + key, query: query})
}

func (c *Client) conditionalWrite(ctx context.Context, r request) (bool, error) {
	resp, err := c.call(ctx, r)
	if err != nil {
		return false, err
	}
	var done bool
	if err := json.Unmarshal(resp.body, &done); err != nil {
		return false, trace.Wrap(err, "parse the platform's answer to %s", r.operation)
	}
	return done, nil
}

// Acquire tries to take the lease on a key with a new session. The token of the lease is zero
// if another session holds it.
func (c *Client) Acquire(ctx context.Context, key, holder string, ttl time.Duration) (entry.Lease, error) {
	body, _ := json.Marshal(map[string]string{"TTL": ttl.String(), "Behavior": "release"})
	resp, err := c.call(ctx, request{operation: "session", method: http.MethodPut, path: "/v1/session/create", body: body})
	if err != nil {
		return entry.Lease{}, err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(resp.body, &created); err != nil || created.ID == "" {
		return entry.Lease{}, trace.BadParameter("the platform returned no session id: %v", err)
	}
	lease := entry.Lease{Key: key, Session: created.ID, TTL: ttl}
	held, err := c.conditionalWrite(ctx, request{
		operation: "acquire", method: http.MethodPut, path: "/v1/kv/" + key,
		query: url.Values{"acquire": {created.ID}}, body: []byte(holder),
	})
	if err != nil || !held {
		return entry.Lease{}, err
	}
	lease.Token, err = c.fencingToken(ctx, key, created.ID)
	return lease, err
}

// eraShift is the position of the era in a fencing token, above the acquisition count.
const eraShift = 40

// fencingToken reads the key's lock index (its number of acquisitions) and puts the era above
// it, since the count of a service restored from a copy restarts at a lower number. It returns
// zero if the session doesn't hold the key.
func (c *Client) fencingToken(ctx context.Context, key, session string) (uint64, error) {
	resp, err := c.call(ctx, request{operation: "get", isRead: true, method: http.MethodGet, path: "/v1/kv/" + key})
	if err != nil {
		return 0, err
	}
	var keys []keyEntry
	if err := json.Unmarshal(resp.body, &keys); err != nil || len(keys) != 1 {
		return 0, trace.BadParameter("parse the platform's answer for key %s: %d entries, expected 1: %v", key, len(keys), err)
	}
	if keys[0].Session != session {
		return 0, nil
	}
	return uint64(resp.era)<<eraShift | keys[0].LockIndex, nil
}

// Renew extends the lease by its TTL. The error is NotFound if the lease has expired.
func (c *Client) Renew(ctx context.Context, l entry.Lease) error {
	resp, err := c.call(ctx, request{operation: "renew", method: http.MethodPut, path: "/v1/session/renew/" + l.Session})
	if err == nil && resp.status == http.StatusNotFound {
		return trace.NotFound("the lease on %s has expired", l.Key)
	}
	return err
}

// Release gives up the lease by destroying its session.
func (c *Client) Release(ctx context.Context, l entry.Lease) error {
	_, err := c.call(ctx, request{operation: "release", method: http.MethodPut, path: "/v1/session/destroy/" + l.Session})
	return err
}

type catalogService struct {
	ServiceID      string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    map[string]string
}

// Service names under which the platform lists the hosts.
const (
	entryService    = "shedpath-entry"
	upstreamService = "shedpath-upstream"
)

// Hosts reads the list of live and leaving hosts, which lags behind their real state. A registration that can't
// be used is left out and reported in the list's Unusable.
func (c *Client) Hosts(ctx context.Context) (member.HostList, error) {
	var list member.HostList
	entries, unusableEntries, err := c.listServices(ctx, entryService)
	if err != nil {
		return list, err
	}
	upstreams, unusableUpstreams, err := c.listServices(ctx, upstreamService)
	if err != nil {
		return list, err
	}
	if list.Unusable = cmp.Or(unusableEntries, unusableUpstreams); list.Unusable != nil {
		c.observe("hosts", "unusable")
	}
	for _, sv := range entries {
		list.Entries = append(list.Entries, member.Entry{
			ID: member.HostID(sv.ServiceID), Zone: member.Zone(sv.ServiceMeta["zone"]), PeerAddress: sv.address(),
		})
	}
	for _, sv := range upstreams {
		list.Upstreams = append(list.Upstreams, member.Upstream{
			ID: member.UpstreamID(sv.ServiceID), Zone: member.Zone(sv.ServiceMeta["zone"]),
			Address: sv.address(), Pool: sv.ServiceMeta["pool"], Kind: member.UpstreamKind(sv.ServiceMeta["kind"]),
			Leaving: sv.ServiceMeta["leaving"] == "true",
		})
	}
	return list, nil
}

func (s catalogService) address() string {
	return s.ServiceAddress + ":" + strconv.Itoa(s.ServicePort)
}

// listServices returns the usable registrations of a service, and why the first of the others can't be used.
func (c *Client) listServices(ctx context.Context, name string) (usable []catalogService, unusable, err error) {
	resp, err := c.call(ctx, request{operation: "hosts", isRead: true, method: http.MethodGet, path: "/v1/catalog/service/" + name})
	if err != nil {
		return nil, nil, err
	}
	var listed []json.RawMessage
	if err := json.Unmarshal(resp.body, &listed); err != nil {
		return nil, nil, trace.Wrap(err, "parse the list of service %s", name)
	}
	for _, text := range listed {
		var s catalogService
		if err := s.decode(text); err != nil {
			if unusable == nil {
				unusable = trace.Wrap(err, "host %.60q of service %s", s.ServiceID, name)
			}
			continue
		}
		usable = append(usable, s)
	}
	return usable, unusable, nil
}

func (s *catalogService) decode(text []byte) error {
	if err := json.Unmarshal(text, s); err != nil {
		return trace.BadParameter("can't be decoded: %.200s", err.Error())
	}
	if s.ServiceID == "" || s.ServiceAddress == "" || s.ServicePort < 1 || s.ServicePort > maxPort {
		return trace.BadParameter("it has no id, no address or no port between 1 and %d", maxPort)
	}
	return nil
}

const maxPort = 1<<16 - 1
