package cmd

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"savorystep/endpoint"
	"savorystep/platform"
)

// settingsPollInterval is the interval at which the settings file is read, since it
// may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// notifyHangups returns a channel that receives each SIGHUP. It is never stopped, because
// a SIGHUP without a receiver ends the process, also one that is shutting down.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reloads the settings file when it changes and on SIGHUP, until ctx
// ends. If the file cannot be read or is invalid, it logs the error, and the last
// valid settings stay in force.
func (g *gateway) watchSettings(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastData, _ := platform.ReadSettings()
	for {
		hasHangup := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			hasHangup = true
		case <-ticker.C:
		}
		data, err := platform.ReadSettings()
		if err != nil {
			gatewayLogger.Errorf("reload settings: the previous settings stay in force: %v", err)
			continue
		}
		if !hasHangup && bytes.Equal(data, lastData) {
			continue
		}
		lastData = data
		g.reload(data)
	}
}

// reload puts the limits on retries and cold endpoints from new settings in force.
// Changes of other settings, such as addresses and the place, need a restart.
func (g *gateway) reload(data []byte) {
	settings, err := platform.ParseSettings(data)
	if err != nil {
		gatewayLogger.Errorf("reload settings: the previous settings stay in force: %v", err)
		return
	}
	g.router.WithTable(func(t *endpoint.Table) { t.SetConfig(endpointConfig(settings, g.self)) })
	gatewayLogger.Infof("settings reloaded")
}
