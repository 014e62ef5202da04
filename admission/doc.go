// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package admission orders the requests of all hosts of a zone that wait for room on its engines,
// and decides which of them are refused because their first token can't arrive in time.
//
// It serves loads in which two kinds of requests compete for engines that are full: with a queue
// on each host, free capacity goes to whichever host asks at the moment it becomes available, and
// less urgent prompts occupy the engines that more urgent ones need within a second.
//
// The package does no I/O, starts no goroutine and reads no clock. Its state is soft: an empty
// queue is complete again once the hosts have asked again.
package admission
