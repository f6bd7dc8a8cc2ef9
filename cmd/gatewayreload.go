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

// settingsPollInterval is the time between looks at the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings follows changes of the settings. Settings with a fault are
// logged, and the last good ones stay in force.
func (g *gateway) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := platform.ReadSettings()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		data, err := platform.ReadSettings()
		if err != nil {
			gatewayLogger.Errorf("settings stay as they are: %v", err)
			continue
		}
		if !signalled && bytes.Equal(data, last) {
			continue
		}
		last = data
		g.reload(data)
	}
}

// reload puts settings in force. Addresses and the place hold until the next
// start.
func (g *gateway) reload(data []byte) {
	settings, err := platform.ParseSettings(data)
	if err != nil {
		gatewayLogger.Errorf("settings stay as they are: %v", err)
		return
	}
	g.router.WithTable(func(t *endpoint.Table) { t.SetConfig(endpointConfig(settings, g.self)) })
	gatewayLogger.Infof("settings reloaded")
}
