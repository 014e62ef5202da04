// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// loadSample is the load at a point in time.
type loadSample struct {
	at   time.Time
	load Load
}

// loadHistorySteps is the minimum number of past steps available to a lagging
// load report, once that many have run.
const loadHistorySteps = 512

func appendLoad(loads []loadSample, next loadSample) []loadSample {
	loads = append(loads, next)
	if len(loads) > 2*loadHistorySteps {
		loads = slices.Delete(loads, 0, loadHistorySteps)
	}
	return loads
}

// loadAt returns the latest load recorded at or before a time, if there is one.
func loadAt(loads []loadSample, at time.Time) (Load, bool) {
	for i := len(loads) - 1; i >= 0; i-- {
		if !loads[i].at.After(at) {
			return loads[i].load, true
		}
	}
	return Load{}, false
}

type loadResponse struct {
	Load
	Leaving bool              `json:"leaving"`
	Models  map[string]string `json:"models"`
}

func (e *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	response := loadResponse{Leaving: e.leaving, Models: e.orders.models}
	lag := time.Duration(e.faults.LoadLagMillis) * time.Millisecond
	load, known := loadAt(e.loadHistory, time.Now().Add(-lag))
	if lag == 0 || !known {
		load = e.model.Load()
	}
	response.Load = load
	writeJSON(w, response)
}

func (e *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.model.CacheEvents(uint64(queryInt(r, "after")))
	writeJSON(w, events)
}

// orderState holds the model versions that the engine was last ordered to serve.
type orderState struct {
	// highestToken is the highest fencing token received.
	highestToken uint64
	models       map[string]string
	appliedCount int
}

type orderRequest struct {
	Token   uint64 `json:"token"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// apply applies an order and reports whether it did. With checkToken, it refuses
// an order whose fencing token is lower than the highest received.
func (o *orderState) apply(order orderRequest, checkToken bool) bool {
	if checkToken && order.Token < o.highestToken {
		return false
	}
	o.highestToken = max(o.highestToken, order.Token)
	if o.models == nil {
		o.models = map[string]string{}
	}
	o.models[order.Model] = order.Version
	o.appliedCount++
	return true
}

func (e *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.apply(order, !e.faults.IgnoreTokens) {
		http.Error(w, "the fencing token is old", http.StatusConflict)
	}
}
