package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/fleet/gateway"
	"chervilwalk/internal/operations/eventlog"
)

const (
	// gcPercent lets the heap grow by half of the live data before a garbage
	// collection: memory is scarcer than CPU time on the hosts.
	gcPercent = 50
	// maxThreads limits the operating system threads, such as those that wait in
	// system calls. The Go runtime ends the process if it needs more.
	maxThreads = 64
)

// frontCommand runs the gateway of an entry host. It reads the settings file again on
// SIGHUP and when the file has changed; SIGTERM and SIGINT stop the gateway.
type frontCommand struct {
	Settings string   `long:"settings" env:"CHERVILWALK_NODE_FILE" required:"true" description:"Path of the platform's settings file"`
	Trusted  []string `long:"trusted-key" env:"CHERVILWALK_TRUSTED_KEYS" env-delim:"," description:"NAME=BASE64 of a public key trusted to sign bundles, as bundle keygen prints it; without any, the platform's operators set the desired state"`
}

// Execute implements flags.Commander.
func (fc *frontCommand) Execute([]string) error {
	// First of all: a SIGHUP that is not handled ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	debug.SetGCPercent(gcPercent)
	debug.SetMaxThreads(maxThreads)
	sf := settingsFile{path: fc.Settings}
	st, err := sf.load()
	if err != nil {
		return err
	}
	trusted, err := bundle.ParseKeys(fc.Trusted)
	if err != nil {
		return err
	}
	lg := eventlog.New(os.Stdout, string(st.Host))
	defer lg.Close()
	gw, err := gateway.Start(gateway.Config{Settings: st, Log: lg, Metrics: gateway.NewMetrics(), Trusted: trusted})
	if err != nil {
		return err
	}
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case sg := <-signals:
			if sg != syscall.SIGHUP {
				gw.Stop()
				return nil
			}
		case <-ticker.C:
			if !sf.changed() {
				continue
			}
		}
		changed, err := sf.load()
		if err != nil {
			lg.ErrorEvent("settingsMalformed", err, nil)
			continue
		}
		gw.Reload(changed)
	}
}
