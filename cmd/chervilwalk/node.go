package main

import (
	"context"
	"encoding/base64"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/node"
	"chervilwalk/internal/operations/bundle"
)

// stopTimeout bounds the wait for requests in flight at a planned stop.
const stopTimeout = 65 * time.Second

// nodeCommand runs one node until SIGTERM or SIGINT.
type nodeCommand struct {
	Host     string   `long:"host" env:"CHERVILWALK_HOST" required:"true" description:"Name of this host in the bundle"`
	Domain   string   `long:"domain" env:"CHERVILWALK_DOMAIN" required:"true" description:"Failure domain of this host"`
	Callers  string   `long:"callers" env:"CHERVILWALK_CALLERS" required:"true" description:"IP and port for callers"`
	Inner    string   `long:"inner" env:"CHERVILWALK_INNER" required:"true" description:"IP and port of the inner protocol"`
	Platform string   `long:"platform" env:"CHERVILWALK_PLATFORM" required:"true" description:"IP and port of the platform"`
	Keys     []string `long:"trusted-key" env:"CHERVILWALK_TRUSTED_KEYS" env-delim:"," description:"NAME=BASE64 of a public key trusted before the first bundle"`
	Peers    []string `long:"peer" env:"CHERVILWALK_PEERS" env-delim:"," description:"Inner IP and port to ask for a bundle when the platform is silent"`
}

// Execute implements flags.Commander.
func (nc *nodeCommand) Execute([]string) error {
	log.SetHandler(logfmt.New(os.Stderr))
	cf, err := nc.config()
	if err != nil {
		return err
	}
	nd, err := node.Start(cf)
	if err != nil {
		return err
	}
	log.WithField("callers", nc.Callers).Info("node started")
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	log.Info("node stopping")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return nd.Close(ctx)
}

func (nc *nodeCommand) config() (node.Config, error) {
	cf := node.Config{
		Host: ident.Host(nc.Host), Domain: ident.Domain(nc.Domain), Platform: nc.Platform, Peers: nc.Peers,
	}
	for _, text := range nc.Keys {
		name, encoded, _ := strings.Cut(text, "=")
		public, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil || name == "" {
			return cf, eris.Errorf("--trusted-key %q: want NAME=BASE64", text)
		}
		cf.TrustedKeys = append(cf.TrustedKeys, bundle.TrustedKey{Name: name, Public: public})
	}
	var err error
	if cf.Callers, err = net.Listen("tcp", nc.Callers); err != nil {
		return cf, eris.Wrapf(err, "--callers %s", nc.Callers)
	}
	if cf.Inner, err = net.Listen("tcp", nc.Inner); err != nil {
		return cf, eris.Wrapf(err, "--inner %s", nc.Inner)
	}
	return cf, nil
}
