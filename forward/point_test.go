// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import "github.com/shedpath/shedpath/history"

// rev returns a revision of an origin that states no era.
func rev[N ~int | ~uint64](n N) history.Point { return history.NewPoint(0, history.Revision(n)) }
