// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package quarantine detects requests that crash upstreams, and decides whether such a request
// may still be sent. A request may crash each upstream that begins to run it. Its caller retries
// it with another request ID and at another host, and each attempt takes an upstream down for
// seconds, with everything that runs there.
//
// The package identifies requests by their content, records per request which upstreams ended
// while they ran it, and holds a request back once several different upstreams have. It does the
// same for the parts of prompts that requests share, because one part may crash upstreams whatever
// else the request holds. It does no I/O and starts no goroutine; the current time is an argument.
package quarantine
