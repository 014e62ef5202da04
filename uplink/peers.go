// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package uplink

import "github.com/shedpath/shedpath/member"

// Alternate returns the peers of both groups in turns, each group in the order that shuffle gives it.
func Alternate(shuffle func(n int, swap func(i, j int)), near, far []member.Entry) []member.Entry {
	for _, group := range [][]member.Entry{near, far} {
		shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	var peers []member.Entry
	for i := range max(len(near), len(far)) {
		if i < len(near) {
			peers = append(peers, near[i])
		}
		if i < len(far) {
			peers = append(peers, far[i])
		}
	}
	return peers
}
