// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/internal/hostsignal"
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
	// A signal whose default action ended the process would end it with every stream, or cut its log.
	hostsignal.Subscribe()
	path, err := platform.SettingsPath(system.LookupEnv)
	if err != nil {
		return usageError{err}
	}
	settings, modified, err := readSettings(path)
	if err != nil {
		return usageError{err}
	}
	if err := settings.ApplyEnvironment(system.LookupEnv); err != nil {
		return usageError{err}
	}
	settings.Clock = clock.System()
	t := telemetry.NewForward(system.Stdout)
	defer t.Close()
	d, err := platform.New(settings, t)
	if err != nil {
		return err
	}
	reloadCtx, stopReloading := context.WithCancel(ctx)
	defer stopReloading()
	go reloadSettings(reloadCtx, path, modified, d, t)
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-hostsignal.Stops:
			cancel()
		case <-stop.Done():
		}
	}()
	return d.Run(stop)
}

// settingsPollInterval is how often the settings file is checked for a change that
// no signal announces.
const settingsPollInterval = 2 * time.Second

// reloadSettings rereads the settings at each hangup and when the file has changed
// since lastModified, until ctx ends. A hangup that came while the host started counts.
// If the file can't be read, the old settings stay in force.
func reloadSettings(ctx context.Context, path string, lastModified time.Time, d *platform.Daemon, t *telemetry.Forward) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hostsignal.Hangups:
		case <-tick.C:
			if now := modificationTime(path); now.Equal(lastModified) {
				continue
			}
		}
		settings, modified, err := readSettings(path)
		lastModified = modified
		if err != nil {
			t.HostEvent("settings not reloaded", "err", err)
			continue
		}
		d.Reload(settings)
	}
}

// readSettings reads the settings. The file had at least the changes up to the
// returned time.
func readSettings(path string) (platform.Settings, time.Time, error) {
	modified := modificationTime(path)
	settings, err := platform.ReadSettings(path)
	return settings, modified, err
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
