// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"time"

	"github.com/shedpath/shedpath/rejection"
)

// wireRejection encodes rejection.Announcement; Age is in milliseconds.
type wireRejection struct {
	Service string
	Limit   int
	Age     int64
}

func toWireRejections(all []rejection.Announcement) []wireRejection {
	var w []wireRejection
	for _, a := range all {
		w = append(w, wireRejection{Service: string(a.Service), Limit: a.Limit, Age: a.Age.Milliseconds()})
	}
	return w
}

func rejectionLimits(w []wireRejection) []rejection.Announcement {
	var all []rejection.Announcement
	for _, a := range w {
		all = append(all, rejection.Announcement{Service: rejection.ServiceName(a.Service), Limit: a.Limit, Age: duration(a.Age, time.Millisecond)})
	}
	return all
}
