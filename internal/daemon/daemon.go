// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package daemon puts an entry together with its adapters and runs it: the
// listeners, the platform and engine clients, the peers, metrics and traces.
package daemon

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/accept"
	"github.com/shedpath/shedpath/internal/consul"
	"github.com/shedpath/shedpath/internal/engine"
	"github.com/shedpath/shedpath/internal/peer"
	"github.com/shedpath/shedpath/internal/reach"
	"github.com/shedpath/shedpath/internal/service"
	"github.com/shedpath/shedpath/internal/telemetry"
	"github.com/shedpath/shedpath/internal/web"
	"github.com/shedpath/shedpath/member"
)

// Settings are all that an entry process is told at its start. Unlike most
// types here, its zero value doesn't run: hosts, keys and the platform have no
// defaults.
type Settings struct {
	// Listen, AdminListen and PeerListen are IP:port.
	Listen, AdminListen, PeerListen string
	// PeerAdvertise is where peers reach this host; empty takes the address
	// that PeerListen got.
	PeerAdvertise string
	Host          member.HostID
	Zone          member.Zone
	// Platform is the base URL of the platform's service.
	Platform string
	// PlatformWriteRate and PlatformReadRate are the service's rates, which all
	// daemons share.
	PlatformWriteRate, PlatformReadRate float64
	// Register puts the entry on the host list itself.
	Register   bool
	Peers      []member.Entry
	PeerKey    string
	AdminToken string
	// TLSCertificate and TLSKey are PEM files for the two HTTP listeners;
	// empty means no TLS.
	TLSCertificate, TLSKey string
	Trace                  telemetry.TraceTarget
	TraceEndpoint          string
	// StopGracePeriod is how long new calls are taken after the stop was asked for.
	StopGracePeriod time.Duration
	// StopTimeout cuts what still runs then; zero never does.
	StopTimeout time.Duration
	// LocalPlacement has the entry place without a coordinator.
	LocalPlacement bool
	// HostListInterval, ConfigPollInterval and LoadInterval are the polls' periods.
	HostListInterval, ConfigPollInterval, LoadInterval time.Duration
}

// Addresses are where a running entry listens.
type Addresses struct {
	Caller, Admin, Peer string
}

// Daemon is one entry process's worth of parts. Use New.
type Daemon struct {
	settings  Settings
	logger    log.Logger
	output    io.Writer
	addresses Addresses

	clock          *clock.Clock
	entry          *entry.Entry
	mesh           *peer.Mesh
	platformClient *consul.Client
	platformBudget *consul.Budget
	metrics        *telemetry.Metrics

	callerListener, adminListener, peerListener net.Listener
	// callerAcceptor is callerListener, or what that secures.
	callerAcceptor            *accept.Listener
	callerServer, adminServer *http.Server
	shutdownTraces            func(context.Context) error
}

// New opens the listeners and puts the parts together. Spans for stdout go to
// output.
func New(ctx context.Context, s Settings, logger log.Logger, output io.Writer) (*Daemon, error) {
	d := &Daemon{settings: s, logger: log.With(logger, "host", s.Host, "zone", s.Zone), output: output}
	d.clock = clock.System()
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.assemble(ctx); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// Addresses returns where the entry listens.
func (d *Daemon) Addresses() Addresses { return d.addresses }

// Entry returns the entry itself.
func (d *Daemon) Entry() *entry.Entry { return d.entry }

func (d *Daemon) listen() error {
	var problems []error
	open := func(address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			problems = append(problems, err)
		}
		return listener
	}
	d.callerListener = open(d.settings.Listen)
	d.adminListener = open(d.settings.AdminListen)
	d.peerListener = open(d.settings.PeerListen)
	if len(problems) > 0 {
		return trace.NewAggregate(problems...)
	}
	d.callerAcceptor = &accept.Listener{Listener: d.callerListener, Clock: d.clock}
	d.callerListener = d.callerAcceptor
	d.addresses = Addresses{
		Caller: d.callerListener.Addr().String(), Admin: d.adminListener.Addr().String(), Peer: d.peerListener.Addr().String(),
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, listener := range []net.Listener{d.callerListener, d.adminListener, d.peerListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) assemble(ctx context.Context) error {
	s := d.settings
	tracer, shutdown, err := telemetry.NewTracer(ctx, telemetry.TraceSettings{
		Target: s.Trace, Endpoint: s.TraceEndpoint, Output: d.output, Host: string(s.Host), Zone: string(s.Zone),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	d.shutdownTraces = shutdown
	d.metrics = telemetry.NewMetrics()
	d.platformBudget = consul.NewBudget(s.PlatformWriteRate, s.PlatformReadRate)
	d.platformClient = consul.New(s.Platform, consul.WithBudget(d.platformBudget), consul.WithObserver(d.metrics.PlatformCall))
	d.mesh = peer.NewMesh(s.Host, []byte(s.PeerKey), peer.WithClock(d.clock))
	d.entry = entry.New(entry.Settings{
		Self: d.selfEntry(), Seeds: s.Peers, GenerationKey: deriveKey(s.PeerKey, "generation ids"), LocalPlacement: s.LocalPlacement,
		HostListInterval: s.HostListInterval, ConfigPollInterval: s.ConfigPollInterval, LoadInterval: s.LoadInterval, Clock: d.clock,
	}, entry.Dependencies{
		Store: d.platformClient, Claims: d.platformClient.Class(consul.ClaimCalls), Outcomes: d.platformClient.Class(consul.StatusCalls),
		Hosts: d.platformClient, Leases: d.platformClient, Peers: d.mesh,
		Engines: engine.New(), Services: service.New(), Upstreams: upstreamProber{},
		Observer: d.metrics, Logger: d.logger, Tracer: tracer,
	})
	d.registerGauges()
	return d.newHTTPServers(web.NewCaller(d.entry, tracer), web.NewAdmin(d.entry, s.AdminToken, d.callerAcceptor.Stuck, d.metrics.Handler()))
}

// upstreamProber looks at upstreamProber' ports.
type upstreamProber struct{}

func (upstreamProber) Closed(ctx context.Context, u member.Upstream) (bool, error) {
	return reach.Closed(ctx, u.Address)
}

// deriveKey makes a key for one use out of the site's shared key.
func deriveKey(key, use string) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte("shedpath " + use))
	return mac.Sum(nil)
}

func (d *Daemon) selfEntry() member.Entry {
	address := d.settings.PeerAdvertise
	if address == "" {
		address = d.addresses.Peer
	}
	return member.Entry{ID: d.settings.Host, Zone: d.settings.Zone, PeerAddress: address}
}

func (d *Daemon) registerGauges() {
	d.metrics.Gauge("config_revision", "Configuration revision in force.", func() float64 {
		return float64(d.entry.Catalog().Revision())
	})
	d.metrics.Gauge("platform_era", "Era of the platform, which rises when it comes back from a copy; zero while it isn't known.", func() float64 {
		return float64(d.entry.Era())
	})
	d.metrics.Gauge("peer_sent_bytes", "Bytes sent to peers.", func() float64 {
		sent, _ := d.mesh.Bytes()
		return float64(sent)
	})
	d.metrics.Gauge("peer_received_bytes", "Bytes received from peers.", func() float64 {
		_, received := d.mesh.Bytes()
		return float64(received)
	})
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

func (d *Daemon) newHTTPServers(caller, admin http.Handler) error {
	newServer := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: nil, ConnContext: reach.WithConn,
		}
	}
	d.callerServer, d.adminServer = newServer(caller), newServer(admin)
	if d.settings.TLSCertificate == "" {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(d.settings.TLSCertificate, d.settings.TLSKey)
	if err != nil {
		return trace.Wrap(err)
	}
	secure := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	d.callerListener = tls.NewListener(d.callerListener, secure)
	d.adminListener = tls.NewListener(d.adminListener, secure)
	return nil
}

// Run serves until stop ends, then stops without cutting a running call; the
// end of cut cuts what still runs.
func (d *Daemon) Run(stop, abort context.Context) error {
	running, cancel := context.WithCancel(abort)
	defer cancel()
	var parts conc.WaitGroup
	parts.Go(func() { d.entry.Run(running) })
	parts.Go(func() {
		d.logServeError("peer listener", d.mesh.Serve(running, d.peerListener, d.entry, d.logRefusedPeer))
	})
	parts.Go(func() { d.logServeError("caller listener", d.callerServer.Serve(d.callerListener)) })
	parts.Go(func() { d.logServeError("admin listener", d.adminServer.Serve(d.adminListener)) })
	parts.Go(func() { d.updateBudgetShare(running) })
	if d.settings.Register {
		parts.Go(func() { d.registerWithRetry(running) })
	}
	_ = level.Info(d.logger).Log("msg", "listening", "caller", d.addresses.Caller, "admin", d.addresses.Admin, "peer", d.addresses.Peer)
	<-stop.Done()
	d.shutDown(abort)
	cancel()
	d.mesh.Close()
	parts.Wait()
	_ = level.Info(d.logger).Log("msg", "stopped")
	return nil
}

func (d *Daemon) logServeError(part string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(d.logger).Log("msg", part+" failed", "err", err)
	}
}

func (d *Daemon) logRefusedPeer(err error) {
	_ = level.Warn(d.logger).Log("msg", "refused a peer", "err", err)
}

// shutDown lets every running call end.
func (d *Daemon) shutDown(abort context.Context) {
	ctx := abort
	if d.settings.StopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(abort, d.settings.StopTimeout)
		defer cancel()
	}
	if d.settings.Register && abort.Err() == nil {
		quick, cancel := context.WithTimeout(ctx, time.Second)
		_ = d.platformClient.Deregister(quick, string(d.settings.Host))
		cancel()
	}
	d.entry.Stop(ctx, d.settings.StopGracePeriod)
	for _, server := range []*http.Server{d.callerServer, d.adminServer} {
		quick, cancel := context.WithTimeout(ctx, time.Second)
		if server.Shutdown(quick) != nil {
			_ = server.Close()
		}
		cancel()
	}
	quick, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = d.shutdownTraces(quick)
}

// updateBudgetShare keeps this daemon to its part of the platform's rates.
func (d *Daemon) updateBudgetShare(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.platformBudget.SetDaemons(d.entry.KnownEntries())
		}
	}
}

// registerWithRetry puts the entry on the host list, and again while that fails.
func (d *Daemon) registerWithRetry(ctx context.Context) {
	for d.platformClient.RegisterEntry(ctx, d.selfEntry()) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}
