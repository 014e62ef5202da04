// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"time"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/zoneload"
)

// wireZoneLoad encodes forward.ZoneLoad; Backlog and Age are in milliseconds.
type wireZoneLoad struct {
	Service, Zone  string
	Used, Forecast float64
	Backlog, Age   int64
}

func toWireZoneLoads(loads []forward.ZoneLoad) []wireZoneLoad {
	var w []wireZoneLoad
	for _, l := range loads {
		w = append(w, wireZoneLoad{
			Service: string(l.Service), Zone: string(l.Zone), Used: l.Used, Forecast: l.Forecast,
			Backlog: l.Backlog.Milliseconds(), Age: l.Age.Milliseconds(),
		})
	}
	return w
}

func zoneLoads(w []wireZoneLoad) []forward.ZoneLoad {
	var loads []forward.ZoneLoad
	for _, l := range w {
		loads = append(loads, forward.ZoneLoad{Service: forward.ServiceName(l.Service), Load: zoneload.Load{
			Zone: member.Zone(l.Zone), Used: l.Used, Forecast: l.Forecast,
			Backlog: duration(l.Backlog, time.Millisecond), Age: duration(l.Age, time.Millisecond),
		}})
	}
	return loads
}
