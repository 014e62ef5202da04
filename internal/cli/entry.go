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

// Minimum lengths of the secrets, in bytes.
const (
	minPeerKeyLength    = 16
	minAdminTokenLength = 8
)

// entryFlags are the settings of the entry command. The fields outside Settings
// hold texts that resolve converts.
type entryFlags struct {
	daemon.Settings
	host, zone, trace, logLevel string
}

func (f *entryFlags) declare(s *settings) {
	s.listenAddress("listen", "127.0.0.1:8080", "IP:port for callers", &f.Listen)
	s.listenAddress("admin-listen", "127.0.0.1:8081", "IP:port for operators, health and metrics", &f.AdminListen)
	s.listenAddress("peer-listen", "127.0.0.1:8082", "IP:port for the other entries", &f.PeerListen)
	s.listenAddress("peer-advertise", "", "IP:port where peers reach this host; default: what --peer-listen got", &f.PeerAdvertise)
	s.markRequired(s.text("host-id", "", "name of this host, unique in the site", &f.host))
	s.markRequired(s.text("zone", "", "availability zone of this host", &f.zone))
	s.markRequired(s.url("platform", "", "URL of the platform's key-value service", &f.Platform))
	s.number("platform-writes", consul.PlatformWritesPerSecond, "writes a second that the service takes from all hosts", &f.PlatformWriteRate)
	s.number("platform-reads", consul.PlatformReadsPerSecond, "reads a second that the service takes from all hosts", &f.PlatformReadRate)
	s.boolean("register", "put this host on the host list itself, where the platform doesn't", &f.Register)
	s.peers("peers", "peers to know from the start, as HOST@ZONE=IP:port,...", &f.Peers)
	s.secret("peer-key", "key shared by all entries of the site", minPeerKeyLength, &f.PeerKey)
	s.secret("admin-token", "token that operators give", minAdminTokenLength, &f.AdminToken)
	s.text("tls-cert", "", "PEM certificate for callers and operators", &f.TLSCertificate)
	s.text("tls-key", "", "PEM key of the certificate", &f.TLSKey)
	s.choice("trace", string(telemetry.TraceNone), "where spans go", []string{
		string(telemetry.TraceNone), string(telemetry.TraceStdout), string(telemetry.TraceOTLP),
	}, &f.trace)
	s.url("trace-endpoint", "", "URL of the OTLP collector", &f.TraceEndpoint)
	s.choice("log-level", "info", "least level of the log", []string{"debug", "info", "warn", "error"}, &f.logLevel)
	s.duration("stop-grace", 5*time.Second, "how long calls are still taken after a stop was asked for", &f.StopGracePeriod)
	s.duration("stop-timeout", 0, "when a stop cuts what still runs; 0s never does", &f.StopTimeout)
	s.boolean("alone", "place without a coordinator, for comparison; give it to all entries or none", &f.LocalPlacement)
	s.duration("host-list-every", 5*time.Second, "period of reading the host list", &f.HostListInterval)
	s.duration("config-poll-every", 20*time.Second, "period of looking for configuration without a watch", &f.ConfigPollInterval)
	s.duration("load-every", 250*time.Millisecond, "period of asking engines for their load", &f.LoadInterval)
}

// resolve sets the typed settings from their texts and checks settings that
// depend on each other.
func (f *entryFlags) resolve() error {
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
		Long: `entry forwards callers' generations and service calls to upstreams. The first
SIGTERM or SIGINT stops it without cutting a running call; the second cuts the
calls that still run.`,
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
		if err := flags.resolve(); err != nil {
			return err
		}
		return runEntry(cmd, system, flags)
	}
	return cmd
}

func runEntry(cmd *cobra.Command, system *System, flags entryFlags) error {
	stop, cut, release := system.signalContexts(cmd.Context())
	defer release()
	d, err := daemon.New(cmd.Context(), flags.Settings, newLogger(system.Stderr, flags.logLevel), system.Stdout)
	if err != nil {
		return err
	}
	addresses := d.Addresses()
	fmt.Fprintf(system.Stdout, "caller=%s admin=%s peer=%s\n", addresses.Caller, addresses.Admin, addresses.Peer)
	return d.Run(stop, cut)
}
