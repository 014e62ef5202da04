// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package enginereport decides when a host asks engines for their own report of their load, and how
// long a report is used. Hosts know the runs of live peers only: after an outage of all hosts engines
// are busy with runs that no host knows, and copies of runs take memory that no run explains.
//
// Each report costs the engine a little, so engines are asked only while there is a reason, and by one
// host of a cell each, which the caller selects. The package does no I/O and reads no clock.
package enginereport
