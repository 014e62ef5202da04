// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/shedpath/shedpath/quarantine"
)

// quarantinedAnswer is the JSON form of a request, or a part of prompts, during which upstreams ended.
type quarantinedAnswer struct {
	Asks          string  `json:"asks"`
	Part          string  `json:"part,omitempty"`
	Account       string  `json:"account"`
	Route         string  `json:"route"`
	Held          bool    `json:"held"`
	Ended         int     `json:"upstreamsEnded"`
	LastEndedAgoS float64 `json:"lastEndedAgoSeconds"`
}

func (a *Admin) quarantine(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer := []quarantinedAnswer{}
	for _, e := range a.entry.Quarantine() {
		answer = append(answer, quarantinedAnswer{
			Asks: e.Request.String(), Part: string(e.Request.Part()), Account: e.Caller, Route: e.Route, Held: e.Standing == quarantine.Held,
			Ended: e.UpstreamsEnded, LastEndedAgoS: e.SinceLastEnd.Seconds(),
		})
	}
	writeJSON(w, http.StatusOK, answer)
}

func (a *Admin) release(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	f, err := quarantine.ParseFingerprint(params.ByName("asks"))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error(), nil)
		return
	}
	if !a.entry.Release(f) {
		writeProblem(w, http.StatusNotFound, fmt.Sprintf("nothing is against %s here", f), nil)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
