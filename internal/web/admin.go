// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/resource"
)

// Admin serves an entry's API for operators: resources, status, quarantine, profiles,
// health and metrics. Use NewAdmin.
type Admin struct {
	entry *entry.Entry
	token string
	// acceptError returns why callers' connections can't be accepted, or nil if they can.
	acceptError func() error
	router      *httprouter.Router
}

// NewAdmin returns the handler for operators, who must authenticate with the token. Health,
// readiness and metrics need no token. acceptError returns why callers' connections can't be
// accepted, or nil if they can.
func NewAdmin(e *entry.Entry, token string, acceptError func() error, metrics http.Handler) *Admin {
	a := &Admin{entry: e, token: token, acceptError: acceptError, router: httprouter.New()}
	a.router.GET("/apis/v1/:kind", a.authenticated(a.list))
	a.router.GET("/apis/v1/:kind/:name", a.authenticated(a.get))
	a.router.PUT("/apis/v1/:kind/:name", a.authenticated(a.put))
	a.router.DELETE("/apis/v1/:kind/:name", a.authenticated(a.delete))
	a.router.GET("/status", a.authenticated(a.status))
	a.router.GET("/quarantine", a.authenticated(a.quarantine))
	a.router.DELETE("/quarantine/:asks", a.authenticated(a.release))
	a.router.GET("/debug/pprof/:profile", a.authenticated(profile))
	a.router.GET("/healthz", a.health)
	a.router.GET("/readyz", a.ready)
	a.router.Handler(http.MethodGet, "/metrics", metrics)
	return a
}

// ServeHTTP serves an operator's request.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

func (a *Admin) authenticated(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !isBearer || subtle.ConstantTimeCompare([]byte(token), []byte(a.token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeFailure(w, errUnauthorized)
			return
		}
		next(w, r, params)
	}
}

// resourceAnswer is the JSON form of a resource.
type resourceAnswer struct {
	Kind            resource.Kind     `json:"kind"`
	Name            resource.Name     `json:"name"`
	ResourceVersion resource.Revision `json:"resourceVersion"`
	Spec            json.RawMessage   `json:"spec"`
	Status          *statusAnswer     `json:"status,omitempty"`
}

type statusAnswer struct {
	// Holds is set if the resource is reported to be in force in every known zone.
	Holds bool                  `json:"holds"`
	Zones map[string]zoneAnswer `json:"zones"`
}

type zoneAnswer struct {
	// InForce is "yes", "no", or "unknown" if the zone has no fresh report.
	InForce  string            `json:"inForce"`
	Revision resource.Revision `json:"revision"`
	Entries  int               `json:"entries"`
	Seen     *time.Time        `json:"seen,omitempty"`
}

const (
	inForceYes     = "yes"
	inForceNo      = "no"
	inForceUnknown = "unknown"
)

func zoneAnswerOf(z entry.ZoneState, at time.Time, wanted resource.Revision) zoneAnswer {
	answer := zoneAnswer{InForce: inForceUnknown, Revision: z.Revision, Entries: z.Entries}
	if !z.ReportedAt.IsZero() {
		seen := z.ReportedAt.UTC()
		answer.Seen = &seen
	}
	switch {
	case !z.Fresh(at):
	case z.Revision >= wanted:
		answer.InForce = inForceYes
	default:
		answer.InForce = inForceNo
	}
	return answer
}

func statusAnswerOf(zones []entry.ZoneState, at time.Time, wanted resource.Revision) *statusAnswer {
	answer := &statusAnswer{Holds: true, Zones: map[string]zoneAnswer{}}
	for _, z := range zones {
		zoneStatus := zoneAnswerOf(z, at, wanted)
		answer.Zones[string(z.Zone)] = zoneStatus
		answer.Holds = answer.Holds && zoneStatus.InForce == inForceYes
	}
	return answer
}

func (a *Admin) resourceAnswerOf(r resource.Resource) resourceAnswer {
	at := a.entry.Now()
	return resourceAnswer{
		Kind: r.Kind, Name: r.Name, ResourceVersion: r.Revision, Spec: r.Spec,
		Status: statusAnswerOf(a.entry.ZoneStates(at), at, r.Revision),
	}
}

type listAnswer struct {
	Revision resource.Revision `json:"revision"`
	Items    []resourceAnswer  `json:"items"`
}

func (a *Admin) list(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	kind := resource.Kind(params.ByName("kind"))
	if !kind.Known() {
		writeProblem(w, http.StatusNotFound, "unknown kind "+strconv.Quote(string(kind)), nil)
		return
	}
	if r.URL.Query().Get("watch") != "" {
		a.watch(w, r, kind, "")
		return
	}
	catalog := a.entry.Catalog()
	answer := listAnswer{Revision: catalog.Revision(), Items: []resourceAnswer{}}
	for _, item := range catalog.List(kind) {
		answer.Items = append(answer.Items, a.resourceAnswerOf(item))
	}
	writeJSON(w, http.StatusOK, answer)
}

func (a *Admin) get(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	kind, name := resource.Kind(params.ByName("kind")), resource.Name(params.ByName("name"))
	if r.URL.Query().Get("watch") != "" && kind.Known() {
		a.watch(w, r, kind, name)
		return
	}
	res, found := a.entry.Catalog().Get(kind, name)
	if !found {
		writeProblem(w, http.StatusNotFound, "there is no "+string(kind)+"/"+string(name), nil)
		return
	}
	w.Header().Set("ETag", etag(res.Revision))
	writeJSON(w, http.StatusOK, a.resourceAnswerOf(res))
}

func etag(r resource.Revision) string { return strconv.Quote(strconv.FormatUint(uint64(r), 10)) }

// problemAnswer is the body of a failed call of the resource API.
type problemAnswer struct {
	Message  string            `json:"message"`
	Findings resource.Findings `json:"findings,omitempty"`
	// Now is the current resource after a conflict, if it exists.
	Now *resourceAnswer `json:"now,omitempty"`
}

func writeProblem(w http.ResponseWriter, status int, message string, findings resource.Findings) {
	writeJSON(w, status, problemAnswer{Message: message, Findings: findings})
}

// putBody is the body of a PUT: a whole resource, of which only the spec is used.
type putBody struct {
	Spec json.RawMessage `json:"spec"`
}

func (a *Admin) put(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	text, failure := readBody(w, r, 2*resource.MaxSpecBytes)
	if failure != nil {
		writeProblem(w, httpStatusOf(failure.Code), failure.Message, nil)
		return
	}
	var body putBody
	if err := json.Unmarshal(text, &body); err != nil {
		writeProblem(w, http.StatusBadRequest, "the body is not a JSON resource: "+err.Error(), nil)
		return
	}
	a.propose(w, r, resource.Change{
		Kind: resource.Kind(params.ByName("kind")), Name: resource.Name(params.ByName("name")), Spec: body.Spec,
	})
}

func (a *Admin) delete(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	change := resource.Change{
		Kind: resource.Kind(params.ByName("kind")), Name: resource.Name(params.ByName("name")), Delete: true,
	}
	if _, found := a.entry.Catalog().Get(change.Kind, change.Name); !found {
		writeProblem(w, http.StatusNotFound, "there is no "+string(change.Kind)+"/"+string(change.Name), nil)
		return
	}
	a.propose(w, r, change)
}

type acceptedAnswer struct {
	ResourceVersion resource.Revision `json:"resourceVersion"`
}

func (a *Admin) propose(w http.ResponseWriter, r *http.Request, change resource.Change) {
	match, err := parseIfMatch(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error(), nil)
		return
	}
	revision, err := a.entry.Propose(r.Context(), change, match)
	var findings resource.Findings
	var conflict *entry.Conflict
	switch {
	case err == nil:
		w.Header().Set("ETag", etag(revision))
		writeJSON(w, http.StatusOK, acceptedAnswer{ResourceVersion: revision})
	case errors.As(err, &findings):
		writeProblem(w, http.StatusUnprocessableEntity, "the resource is not valid", findings)
	case errors.As(err, &conflict):
		answer := problemAnswer{Message: conflict.Error()}
		if conflict.Current.Revision > 0 {
			current := a.resourceAnswerOf(conflict.Current)
			answer.Now = &current
		}
		writeJSON(w, http.StatusConflict, answer)
	case errors.Is(err, entry.ErrOutcomeUnknown):
		writeProblem(w, http.StatusGatewayTimeout, err.Error(), nil)
	default:
		w.Header().Set("Retry-After", "1")
		writeProblem(w, http.StatusServiceUnavailable, err.Error(), nil)
	}
}

// parseIfMatch parses the If-Match header: a quoted or bare revision, where "0" requires that
// the resource does not exist yet. It returns nil if the header is missing or "*".
func parseIfMatch(r *http.Request) (*resource.Revision, error) {
	value := strings.Trim(r.Header.Get("If-Match"), `"`)
	if value == "" || value == "*" {
		return nil, nil
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return nil, errors.New("If-Match must be a resourceVersion")
	}
	revision := resource.Revision(n)
	return &revision, nil
}

// profile serves Go's runtime profiles by name; "profile" is the CPU profile.
func profile(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if name := params.ByName("profile"); name != "profile" {
		pprof.Handler(name).ServeHTTP(w, r)
		return
	}
	pprof.Profile(w, r)
}

func (a *Admin) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = w.Write([]byte("ok\n"))
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	switch {
	case a.entry.Leaving():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !a.entry.Ready():
		http.Error(w, "no configuration yet: neither a peer nor the platform has given one", http.StatusServiceUnavailable)
	default:
		if err := a.acceptError(); err != nil {
			http.Error(w, "connections can't be taken: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}
