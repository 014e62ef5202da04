// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Command harness shows the cases of the review that are scripts. It starts entry hosts as separate
// processes, with stand-ins for the platform, its store, the workers and the clients, and checks the
// rule of the case on what clients, workers and the platform have seen.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main
