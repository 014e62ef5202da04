// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/internal/telemetry"
	"github.com/shedpath/shedpath/platform"
)

func newServeCommand(system *System) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run an entry host on the users' platform",
		Long: `serve runs an entry host that takes its settings, its configuration and its
upstreams from the users' platform. The variable SHEDPATH_NODE_FILE names the
settings file; SHEDPATH_PEER_SECRET holds the secret that the site's hosts share,
if there is one. SIGTERM stops the host and lets running calls finish within the
grace period of the settings; SIGHUP rereads the settings.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), system) },
	}
}

func serve(ctx context.Context, system *System) error {
	path, err := platform.SettingsPath(system.LookupEnv)
	if err != nil {
		return usageError{err}
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return usageError{err}
	}
	if err := settings.ApplyEnvironment(system.LookupEnv); err != nil {
		return usageError{err}
	}
	settings.Clock = clock.System()
	// Signals are handled from before the host starts until its log is written. Otherwise
	// their default action would end the process with every stream, or cut its log.
	stop, _, release := system.signalContexts(ctx)
	defer release()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	t := telemetry.NewForward(system.Stdout)
	defer t.Close()
	d, err := platform.New(settings, t)
	if err != nil {
		return err
	}
	reloadCtx, stopReloading := context.WithCancel(ctx)
	defer stopReloading()
	go reloadSettings(reloadCtx, hangups, path, d, t)
	return d.Run(stop)
}

// settingsPollInterval is how often the settings file is checked for a change that
// no signal announces.
const settingsPollInterval = 2 * time.Second

// reloadSettings rereads the settings at each hangup and when the file has changed,
// until ctx ends. If the file can't be read, the old settings stay in force.
func reloadSettings(ctx context.Context, hangups <-chan os.Signal, path string, d *platform.Daemon, t *telemetry.Forward) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
			if now := modificationTime(path); now.Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			t.HostEvent("settings not reloaded", "err", err)
			continue
		}
		d.Reload(settings)
	}
}

// modificationTime returns when a file last changed, or the zero time if that is
// unknown, such as while the file is being replaced.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
