// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package uplink

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// TestPortClosed guards against links that refuse connections being taken for upstreams that ended.
func TestPortClosed(t *testing.T) {
	for name, c := range map[string]struct {
		direct error
		peers  map[member.HostID]error
		want   bool
	}{
		"nobody to ask":              {syscall.ECONNREFUSED, nil, true},
		"the own link hangs":         {syscall.ETIMEDOUT, map[member.HostID]error{"p": ErrPortClosed}, false},
		"not tried":                  {nil, map[member.HostID]error{"p": ErrPortClosed}, false},
		"a peer confirms":            {syscall.ECONNREFUSED, map[member.HostID]error{"p": ErrPortClosed, "q": ErrBusy}, true},
		"a peer doesn't reach it":    {syscall.ECONNREFUSED, map[member.HostID]error{"p": ErrPortClosed, "q": ErrUnreachable}, false},
		"a peer of an older version": {syscall.ECONNREFUSED, map[member.HostID]error{"p": syscall.EINVAL}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(PortClosed(&DialError{Direct: c.direct, Peers: c.peers}), c.want)
		})
	}
}
