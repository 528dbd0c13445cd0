package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/fleet/gateway"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/platform"
)

const (
	// collectPercent lets the heap grow by half of what is in use before it is
	// collected: memory is dear where this runs, processor time is not.
	collectPercent = 50
	// maxThreads bounds the threads that wait in system calls.
	maxThreads = 64
)

// frontCommand runs the gateway of one of the platform's machines.
type frontCommand struct {
	Settings string   `long:"settings" env:"CHERVILWALK_NODE_FILE" required:"true" description:"Path of the platform's settings file"`
	Trusted  []string `long:"trusted-key" env:"CHERVILWALK_TRUSTED_KEYS" env-delim:"," description:"NAME=BASE64 of a key that signs bundles, as bundle keygen prints it; without any the platform's operators state what is in force"`
}

// Execute implements flags.Commander.
func (fc *frontCommand) Execute([]string) error {
	debug.SetGCPercent(collectPercent)
	debug.SetMaxThreads(maxThreads)
	st, err := platform.LoadSettings(fc.Settings)
	if err != nil {
		return err
	}
	trusted, err := bundle.ParseKeys(fc.Trusted)
	if err != nil {
		return err
	}
	jl := eventlog.New(os.Stdout, string(st.Host))
	defer jl.Close()
	gw, err := gateway.Start(gateway.Config{Settings: st, Log: jl, Metrics: gateway.NewMetrics(), Trusted: trusted})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sg := range signals {
		if sg != syscall.SIGHUP {
			gw.Stop()
			return nil
		}
		changed, err := platform.LoadSettings(fc.Settings)
		if err != nil {
			jl.Problem("settingsMalformed", err, nil)
			continue
		}
		gw.Reload(changed)
	}
	return nil
}
