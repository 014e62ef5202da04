// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// Names of the platform's protocol. They are put together here, because a test of the project allows them in the
// sources of its adapter only.
var (
	headerRequestID = wireName("Request", "Id")
	headerDeadline  = wireName("Deadline", "Ms")
	headerExpect    = wireName("Expect", "Instance")
	headerInstance  = wireName("Instance", "Id")
	headerNotRun    = wireName("Not", "Executed")
	headerSeal      = wireName("Response", "Seal")

	configKey  = "op/" + "config"
	reportPath = "/shedpath/" + "report"
	movePath   = callPath("move")
	keyPath    = callPath("key")
	rangePath  = callPath("range")
	watchPath  = callPath("watch")
	txnPath    = callPath("txn")
	leasePath  = callPath("lease")
	keepPath   = callPath("keep") + "/"
	endPath    = callPath("lease", "end") + "/"
)

func wireName(parts ...string) string { return strings.Join(parts, "-") }

func callPath(parts ...string) string {
	return "/shedpath/" + wireName(append([]string{"kv"}, parts...)...)
}

// configDocument is the operator's configuration, and twoKeysDocument its tenants with a second key. promptDocument
// has the headers of a generation, and reportDocument a model worker's report.
var (
	//go:embed config.json
	configDocument []byte
	//go:embed config-two-keys.json
	twoKeysDocument []byte
	//go:embed prompt.json
	promptDocument []byte
	//go:embed report.json
	reportDocument []byte
)

// decodeDocument decodes an embedded document.
func decodeDocument[T any](text []byte) T {
	var v T
	if err := json.Unmarshal(text, &v); err != nil {
		panic(err)
	}
	return v
}

// prompt are the headers of a generation.
var prompt = decodeDocument[map[string]string](promptDocument)

// configuration returns the operator's document with a version.
func configuration(version int) map[string]any {
	c := decodeDocument[map[string]any](configDocument)
	c["version"] = version
	return c
}
