// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package daemon assembles and runs an entry process: the entry itself, its
// listeners, the platform and engine clients, the peer mesh, metrics and traces.
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
	"github.com/shedpath/shedpath/uplink"
)

// Settings configures an entry process. Its zero value is not usable: hosts, keys
// and the platform have no defaults.
type Settings struct {
	// Listen, AdminListen and PeerListen are listen addresses in the form IP:port.
	Listen, AdminListen, PeerListen string
	// PeerAdvertise is the address at which peers reach this host. If it is empty,
	// the address that the peer listener is bound to is used.
	PeerAdvertise string
	Host          member.HostID
	Zone          member.Zone
	// Platform is the base URL of the platform's service.
	Platform string
	// PlatformWriteRate and PlatformReadRate are the requests per second that the
	// platform's service allows. All daemons share them.
	PlatformWriteRate, PlatformReadRate float64
	// Register makes the daemon add its entry to the platform's host list.
	Register   bool
	Peers      []member.Entry
	PeerKey    string
	AdminToken string
	// TLSCertificate and TLSKey are the paths of PEM files for the caller and admin
	// listeners. If TLSCertificate is empty, both serve without TLS.
	TLSCertificate, TLSKey string
	Trace                  telemetry.TraceTarget
	TraceEndpoint          string
	// StopGracePeriod is how long new calls are still accepted after a stop is
	// requested.
	StopGracePeriod time.Duration
	// StopTimeout bounds the whole stop; calls that still run then are aborted. Zero
	// means no limit.
	StopTimeout time.Duration
	// LocalPlacement makes the entry place calls without a coordinator.
	LocalPlacement bool
	// HostListInterval, ConfigPollInterval and LoadInterval are the intervals between
	// polls of the host list, the configuration and the engines' load.
	HostListInterval, ConfigPollInterval, LoadInterval time.Duration
	// DialUpstream opens connections to upstreams over the own link; nil dials over TCP.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
}

// Addresses holds the addresses that a running entry listens on.
type Addresses struct {
	Caller, Admin, Peer string
}

// Daemon is an entry process: the entry with its listeners, servers and clients. Use
// New to create one.
type Daemon struct {
	settings  Settings
	logger    log.Logger
	output    io.Writer
	addresses Addresses

	clock          *clock.Clock
	entry          *entry.Entry
	mesh           *peer.Mesh
	carrier        *uplink.Carrier
	platformClient *consul.Client
	platformBudget *consul.Budget
	metrics        *telemetry.EntryMetrics

	callerListener, adminListener, peerListener net.Listener
	// callerAcceptor accepts the caller connections: callerListener is either
	// callerAcceptor itself or a TLS listener on top of it.
	callerAcceptor            *accept.Listener
	callerServer, adminServer *http.Server
	shutdownTraces            func(context.Context) error
}

// New opens the listeners and assembles the daemon. Trace spans for stdout are
// written to output.
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

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() Addresses { return d.addresses }

// Entry returns the entry that the daemon runs.
func (d *Daemon) Entry() *entry.Entry { return d.entry }

func (d *Daemon) listen() error {
	var errs []error
	open := func(address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, err)
		}
		return listener
	}
	d.callerListener = open(d.settings.Listen)
	d.adminListener = open(d.settings.AdminListen)
	d.peerListener = open(d.settings.PeerListen)
	if len(errs) > 0 {
		return trace.NewAggregate(errs...)
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
	d.metrics = telemetry.NewEntryMetrics(d.logger)
	d.platformBudget = consul.NewBudget(s.PlatformWriteRate, s.PlatformReadRate)
	d.platformClient = consul.New(s.Platform, consul.WithBudget(d.platformBudget), consul.WithObserver(d.metrics.PlatformCall))
	dialer := &uplink.Dialer{Observer: d.metrics, Now: d.clock.Now}
	d.carrier = &uplink.Carrier{Dialer: dialer, Carried: d.metrics.Carried}
	d.mesh = peer.NewMesh(s.Host, []byte(s.PeerKey), peer.WithClock(d.clock), peer.WithTunnels(d.carrier))
	network := &upstreamNetwork{Mesh: d.mesh, dialer: dialer, direct: s.DialUpstream}
	if network.direct == nil {
		network.direct = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	dialer.Network = network
	d.entry = entry.New(entry.Settings{
		Self: d.selfEntry(), Seeds: s.Peers, GenerationKey: deriveKey(s.PeerKey, "generation ids"), LocalPlacement: s.LocalPlacement,
		HostListInterval: s.HostListInterval, ConfigPollInterval: s.ConfigPollInterval, LoadInterval: s.LoadInterval, Clock: d.clock,
	}, entry.Dependencies{
		Store: d.platformClient, Claims: d.platformClient.WithPriority(consul.ClaimCalls), Outcomes: d.platformClient.WithPriority(consul.StatusCalls),
		Hosts: d.platformClient, Leases: d.platformClient, Peers: d.mesh,
		Engines: engine.New(engine.WithDialer(network.DialContext)), Services: service.New(service.WithDialer(network.DialContext)), Upstreams: network,
		Observer: d.metrics, Logger: d.logger, Tracer: tracer,
	})
	network.entry, d.carrier.Authorize = d.entry, d.entry.AuthorizeUplink
	d.registerGauges()
	return d.newHTTPServers(web.NewCaller(d.entry, tracer), web.NewAdmin(d.entry, s.AdminToken, d.callerAcceptor.PersistentError, d.metrics.Handler()))
}

// deriveKey derives a key for one purpose from the site's shared key.
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

// Run serves until the context stop ends and then lets running calls finish. Calls
// that still run are aborted when the context abort ends or StopTimeout passes.
func (d *Daemon) Run(stop, abort context.Context) error {
	runCtx, cancel := context.WithCancel(abort)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() { d.entry.Run(runCtx) })
	tasks.Go(func() {
		d.logServeError("peer listener", d.mesh.Serve(runCtx, d.peerListener, d.entry, d.logRefusedPeer))
	})
	tasks.Go(func() { d.logServeError("caller listener", d.callerServer.Serve(d.callerListener)) })
	tasks.Go(func() { d.logServeError("admin listener", d.adminServer.Serve(d.adminListener)) })
	tasks.Go(func() { d.updateBudgetShare(runCtx) })
	if d.settings.Register {
		tasks.Go(func() { d.registerWithRetry(runCtx) })
	}
	_ = level.Info(d.logger).Log("msg", "listening", "caller", d.addresses.Caller, "admin", d.addresses.Admin, "peer", d.addresses.Peer)
	<-stop.Done()
	d.shutDown(abort)
	cancel()
	d.mesh.Close()
	tasks.Wait()
	_ = level.Info(d.logger).Log("msg", "stopped")
	return nil
}

func (d *Daemon) logServeError(listener string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(d.logger).Log("msg", listener+" failed", "err", err)
	}
}

func (d *Daemon) logRefusedPeer(err error) {
	_ = level.Warn(d.logger).Log("msg", "refused a peer", "err", err)
}

// shutDown deregisters the entry, waits for its running calls and closes the HTTP
// servers. It stops waiting when abort ends or StopTimeout passes.
func (d *Daemon) shutDown(abort context.Context) {
	ctx := abort
	if d.settings.StopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(abort, d.settings.StopTimeout)
		defer cancel()
	}
	if d.settings.Register && abort.Err() == nil {
		shortCtx, cancel := context.WithTimeout(ctx, time.Second)
		_ = d.platformClient.Deregister(shortCtx, string(d.settings.Host))
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

// updateBudgetShare keeps this daemon to its share of the platform's rates, which
// depends on the number of known entries.
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

// registerWithRetry adds the entry to the host list and retries every second until
// that succeeds or ctx ends.
func (d *Daemon) registerWithRetry(ctx context.Context) {
	for d.platformClient.RegisterEntry(ctx, d.selfEntry()) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}
