// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package uplink

import (
	"errors"
	"fmt"
	"strings"
	"syscall"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
)

// ServiceName identifies a service.
type ServiceName string

// Target is an upstream to connect to.
type Target struct {
	ID      member.UpstreamID
	Service ServiceName
	Zone    member.Zone
	// Incarnation tells this start of the upstream from others under the same ID; zero if it isn't
	// known.
	Incarnation int64
	// Address is the upstream's IP:port.
	Address string
	// Purpose says what is to be sent over the connection.
	Purpose eligibility.Purpose
	// Request is the ID of the request that is to be sent, for the logs; empty if there is none.
	Request string
}

// Errors of a peer that was asked to connect to an upstream.
var (
	// ErrPortClosed says that the upstream's machine refused the connection.
	ErrPortClosed = errors.New("the upstream's machine refuses the connection")
	// ErrUnreachable says that the peer doesn't reach the upstream, either.
	ErrUnreachable = errors.New("the peer doesn't reach the upstream")
	// ErrDenied says that the peer may not send to the upstream, or doesn't know it.
	ErrDenied = errors.New("the peer may not send to the upstream")
	// ErrBusy says that the peer carries as many connections as it may, or is stopping.
	ErrBusy = errors.New("the peer carries no further connections")
)

// DialError says why an upstream wasn't reached.
type DialError struct {
	// Direct is the error of this host's own link; nil if it wasn't tried or gave no result.
	Direct error
	// Peers holds the errors of the peers that were asked, by host.
	Peers map[member.HostID]error
	// Cause is what ended the attempts; nil if all of them failed.
	Cause error
}

func (e *DialError) Error() string {
	parts := []string{"the upstream isn't reached"}
	if e.Direct != nil {
		parts = append(parts, e.Direct.Error())
	}
	for id, err := range e.Peers {
		parts = append(parts, fmt.Sprintf("through %s: %v", id, err))
	}
	if e.Cause != nil {
		parts = append(parts, e.Cause.Error())
	}
	return strings.Join(parts, "; ")
}

// Unwrap returns the errors of all attempts.
func (e *DialError) Unwrap() []error {
	errs := []error{e.Direct, e.Cause}
	for _, err := range e.Peers {
		errs = append(errs, err)
	}
	return errs
}

// PortClosed reports whether an error of Dial says that no process listens on the upstream's address.
// A link that is cut may refuse connections as well, so no peer that was asked may have found the
// upstream silent. Peers that can't tell, such as those of an older version, don't count.
func PortClosed(err error) bool {
	var failed *DialError
	return errors.As(err, &failed) && failed.portClosed()
}

func (e *DialError) portClosed() bool {
	if !errors.Is(e.Direct, syscall.ECONNREFUSED) {
		return false
	}
	for _, err := range e.Peers {
		if errors.Is(err, ErrUnreachable) {
			return false
		}
	}
	return true
}
