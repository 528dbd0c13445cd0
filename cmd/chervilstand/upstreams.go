package main

import (
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/stand/upstream"
)

// upstreamsCommand runs the stand-ins of all upstreams of a bundle.
type upstreamsCommand struct {
	Bundle      string        `long:"bundle" required:"true" description:"File of the bundle"`
	ServiceTime time.Duration `long:"service-time" default:"2ms" description:"Time of one request"`
}

// Execute implements flags.Commander.
func (uc *upstreamsCommand) Execute([]string) error {
	body, err := os.ReadFile(uc.Bundle)
	if err != nil {
		return err
	}
	bn, err := bundle.Parse(uc.Bundle, body)
	if err != nil {
		return err
	}
	var group errgroup.Group
	for ix := range bn.Services {
		for _, up := range bn.Services[ix].Upstreams {
			ls, err := net.Listen("tcp", up.Address)
			if err != nil {
				return err
			}
			us := upstream.New(up.Name, upstream.WithSlots(up.Slots),
				upstream.WithServiceTime(uc.ServiceTime), upstream.WithTokenCheck(up.ChecksTokens))
			server := &http.Server{Handler: us.Handler(), ReadHeaderTimeout: headerTimeout}
			group.Go(func() error { return server.Serve(ls) })
		}
	}
	return group.Wait()
}
