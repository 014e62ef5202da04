// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rollout"
)

// Where a request may be served, by the regions that its route and account allow.

// allowedZones lists the zones in which the request may be served; nil for all. Where both the
// route and the account are bound, both bounds hold.
func (x *exchange) allowedZones() []member.Zone {
	if len(x.route.Regions) == 0 && len(x.account.Regions) == 0 {
		return nil
	}
	allowed := func(regions []member.Region, r member.Region) bool {
		return len(regions) == 0 || slices.Contains(regions, r)
	}
	// Empty, but not nil, where no known zone is allowed.
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

// filterZones are those of some zones in which the request may be served.
func (x *exchange) filterZones(zones []member.Zone) []member.Zone {
	if x.zones == nil {
		return zones
	}
	return slices.DeleteFunc(zones, func(z member.Zone) bool { return !x.zoneAllowed(z) })
}

// filterUpstreams are those of some upstreams that may serve the request, by their zones and versions.
func (x *exchange) filterUpstreams(upstreams []Upstream) []Upstream {
	if x.zones == nil && x.versions.get() == (rollout.Bound{}) {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool {
		return !x.zoneAllowed(u.Zone) || !x.versions.get().Allows(u.Version)
	})
}

// acceptingUpstreams are the service's upstreams that take new work and may serve the request.
func (x *exchange) acceptingUpstreams(now time.Time) []Upstream {
	return x.filterUpstreams(x.fleet.Available(now, x.service.Name))
}

// noUpstreamInRegions reports whether the request is bound to regions in which no upstream takes work.
func (x *exchange) noUpstreamInRegions(now time.Time) bool {
	return x.zones != nil && len(x.acceptingUpstreams(now)) == 0
}
