// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package intake measures the load of a host's link and processor, and decides by it which new connections
// the host takes from callers. A host without room closes a connection before it reads the request, so that
// the caller can try another host at once.
package intake
