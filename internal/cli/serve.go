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
upstreams from the users' platform. The settings file is named by the variable
SHEDPATH_NODE_FILE, a secret that the site's hosts share, if there is one, is in
SHEDPATH_PEER_SECRET. SIGTERM stops it without cutting a running call, within the
grace that the settings give; SIGHUP rereads the settings.`,
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
	settings.UseEnvironment(system.LookupEnv)
	settings.Clock = clock.System()
	t := telemetry.NewForward(system.Stdout)
	defer t.Close()
	d, err := platform.New(settings, t)
	if err != nil {
		return err
	}
	stop, _, release := system.signalContexts(ctx)
	defer release()
	// Settings are reread until the very end: without a taker, a SIGHUP that comes while
	// the host stops would end the process and every stream with it.
	reloadCtx, stopReloading := context.WithCancel(ctx)
	defer stopReloading()
	go reloadSettings(reloadCtx, path, d, t)
	return d.Run(stop)
}

// settingsPollInterval is how often the settings file is looked at; it may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// reloadSettings rereads the settings at each SIGHUP and when the file has
// changed. Settings that can't be read leave the old ones in force.
func reloadSettings(ctx context.Context, path string, d *platform.Daemon, t *telemetry.Forward) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
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

// modificationTime is when a file last changed; zero when that can't be told, as when
// it is being replaced.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
