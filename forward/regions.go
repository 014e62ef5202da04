// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rollout"
)

// Restriction of a request to the regions that its route and account allow.

// allowedZones returns the zones in which the request may be served; nil allows all zones. If
// both the route and the account name regions, a zone must satisfy both.
func (x *exchange) allowedZones() []member.Zone {
	if len(x.route.Regions) == 0 && len(x.account.Regions) == 0 {
		return nil
	}
	allowed := func(regions []member.Region, r member.Region) bool {
		return len(regions) == 0 || slices.Contains(regions, r)
	}
	// Non-nil even if no known zone is allowed, since nil would allow all zones.
	zones := []member.Zone{}
	for zone, region := range x.settings.Regions {
		if allowed(x.route.Regions, region) && allowed(x.account.Regions, region) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// zoneAllowed reports whether the request may be served in a zone.
func (x *exchange) zoneAllowed(zone member.Zone) bool {
	return x.zones == nil || slices.Contains(x.zones, zone)
}

// filterZones returns the zones in which the request may be served. It reuses the array of its
// argument.
func (x *exchange) filterZones(zones []member.Zone) []member.Zone {
	if x.zones == nil {
		return zones
	}
	return slices.DeleteFunc(zones, func(z member.Zone) bool { return !x.zoneAllowed(z) })
}

// filterUpstreams returns the upstreams whose zone and version may serve the request.
func (x *exchange) filterUpstreams(upstreams []Upstream) []Upstream {
	if x.zones == nil && x.versions.get() == (rollout.VersionFilter{}) {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool {
		return !x.zoneAllowed(u.Zone) || !x.versions.get().Allows(u.Version)
	})
}

// acceptingUpstreams returns the service's upstreams that accept new work and may serve the
// request.
func (x *exchange) acceptingUpstreams(now time.Time) []Upstream {
	return x.filterUpstreams(x.fleet.Available(now, x.service.Name))
}

// noUpstreamInRegions reports whether the request is restricted to regions in which no upstream
// accepts new work.
func (x *exchange) noUpstreamInRegions(now time.Time) bool {
	return x.zones != nil && len(x.acceptingUpstreams(now)) == 0
}
