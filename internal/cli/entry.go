// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/internal/consul"
	"github.com/shedpath/shedpath/internal/daemon"
	"github.com/shedpath/shedpath/internal/telemetry"
	"github.com/shedpath/shedpath/member"
)

// Least lengths of the secrets.
const (
	leastPeerKey    = 16
	leastAdminToken = 8
)

// entryFlags are the settings of an entry as they are written.
type entryFlags struct {
	daemon.Settings
	host, zone, trace, logLevel string
}

func (f *entryFlags) declare(s *settings) {
	s.listen("listen", "127.0.0.1:8080", "IP:port for callers", &f.Listen)
	s.listen("admin-listen", "127.0.0.1:8081", "IP:port for operators, health and metrics", &f.AdminListen)
	s.listen("peer-listen", "127.0.0.1:8082", "IP:port for the other entries", &f.PeerListen)
	s.listen("peer-advertise", "", "IP:port where peers reach this host; default: what --peer-listen got", &f.PeerAdvertise)
	s.required(s.text("host-id", "", "name of this host, unique in the site", &f.host))
	s.required(s.text("zone", "", "availability zone of this host", &f.zone))
	s.required(s.url("platform", "", "URL of the platform's key-value service", &f.Platform))
	s.number("platform-writes", consul.PlatformWrites, "writes a second that the service takes from all hosts", &f.PlatformWriteRate)
	s.number("platform-reads", consul.PlatformReads, "reads a second that the service takes from all hosts", &f.PlatformReadRate)
	s.truth("register", "put this host on the host list itself, where the platform doesn't", &f.Register)
	s.peers("peers", "peers to know from the start, as HOST@ZONE=IP:port,...", &f.Peers)
	s.secret("peer-key", "key shared by all entries of the site", leastPeerKey, &f.PeerKey)
	s.secret("admin-token", "token that operators give", leastAdminToken, &f.AdminToken)
	s.text("tls-cert", "", "PEM certificate for callers and operators", &f.TLSCertificate)
	s.text("tls-key", "", "PEM key of the certificate", &f.TLSKey)
	s.choice("trace", string(telemetry.TraceNone), "where spans go", []string{
		string(telemetry.TraceNone), string(telemetry.TraceStdout), string(telemetry.TraceOTLP),
	}, &f.trace)
	s.url("trace-endpoint", "", "URL of the OTLP collector", &f.TraceEndpoint)
	s.choice("log-level", "info", "least level of the log", []string{"debug", "info", "warn", "error"}, &f.logLevel)
	s.duration("stop-grace", 5*time.Second, "how long calls are still taken after a stop was asked for", &f.StopGracePeriod)
	s.duration("stop-timeout", 0, "when a stop cuts what still runs; 0s never does", &f.StopTimeout)
	s.truth("alone", "place without a coordinator, for comparison; give it to all entries or none", &f.LocalPlacement)
	s.duration("host-list-every", 5*time.Second, "period of reading the host list", &f.HostListInterval)
	s.duration("config-poll-every", 20*time.Second, "period of looking for configuration without a watch", &f.ConfigPollInterval)
	s.duration("load-every", 250*time.Millisecond, "period of asking engines for their load", &f.LoadInterval)
}

// settle finds what is wrong across settings and fills in the typed ones.
func (f *entryFlags) settle() error {
	f.Host, f.Zone = member.HostID(f.host), member.Zone(f.zone)
	f.Trace = telemetry.TraceTarget(f.trace)
	switch {
	case (f.TLSCertificate == "") != (f.TLSKey == ""):
		return usageError{errors.New("--tls-cert and --tls-key go together")}
	case f.Trace == telemetry.TraceOTLP && f.TraceEndpoint == "":
		return usageError{errors.New("--trace otlp needs --trace-endpoint")}
	}
	return nil
}

func newEntryCommand(system *System) *cobra.Command {
	var flags entryFlags
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry host's daemon",
		Long: `entry takes callers' generations and service calls to upstreams. The first
SIGTERM or SIGINT stops it without cutting a running call; the second cuts.`,
		Example: `  shedpath entry --host-id e1 --zone az1 --platform http://10.0.0.9:8500 \
    --peer-key-file /run/secrets/peer-key --admin-token-file /run/secrets/admin-token`,
		Args: cobra.NoArgs,
	}
	s := newSettings(cmd)
	flags.declare(s)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.load(system); err != nil {
			return err
		}
		if err := flags.settle(); err != nil {
			return err
		}
		return runEntry(cmd, system, flags)
	}
	return cmd
}

func runEntry(cmd *cobra.Command, system *System, flags entryFlags) error {
	stop, cut, release := system.untilSignals(cmd.Context())
	defer release()
	d, err := daemon.New(cmd.Context(), flags.Settings, newLogger(system.Stderr, flags.logLevel), system.Stdout)
	if err != nil {
		return err
	}
	at := d.Addresses()
	fmt.Fprintf(system.Stdout, "caller=%s admin=%s peer=%s\n", at.Caller, at.Admin, at.Peer)
	return d.Run(stop, cut)
}
