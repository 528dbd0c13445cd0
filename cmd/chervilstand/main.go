// Command chervilstand runs the stand-ins that take the place of the platform
// and of upstreams in trials and tests.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/stand/platform"
	"chervilwalk/internal/stand/upstream"
)

// headerTimeout bounds the wait for a request's headers.
const headerTimeout = 5 * time.Second

// platformCommand runs the platform's stand-in.
type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000" description:"IP and port"`
}

// Execute implements flags.Commander.
func (pc *platformCommand) Execute([]string) error {
	return serve(pc.Listen, platform.New().Handler())
}

// upstreamCommand runs one upstream's stand-in.
type upstreamCommand struct {
	Listen       string        `long:"listen" required:"true" description:"IP and port"`
	Name         string        `long:"name" required:"true" description:"Name of the upstream in the bundle"`
	Slots        int           `long:"slots" default:"2" description:"Requests served at a time"`
	ServiceTime  time.Duration `long:"service-time" default:"2ms" description:"Time of one request"`
	ChecksTokens bool          `long:"checks-tokens" description:"Refuse stale tokens"`
	ColdLimit    int           `long:"cold-limit" default:"1" description:"Requests borne at a time after a start"`
	ColdFor      time.Duration `long:"cold-for" default:"0s" description:"How long the cold limit holds after a start"`
}

// Execute implements flags.Commander.
func (uc *upstreamCommand) Execute([]string) error {
	us := upstream.New(ident.Upstream(uc.Name),
		upstream.WithSlots(uc.Slots),
		upstream.WithServiceTime(uc.ServiceTime),
		upstream.WithColdStart(uc.ColdLimit, uc.ColdFor),
		upstream.WithTokenCheck(uc.ChecksTokens))
	return serve(uc.Listen, us.Handler())
}

func serve(listen string, hn http.Handler) error {
	server := &http.Server{Addr: listen, Handler: hn, ReadHeaderTimeout: headerTimeout}
	return server.ListenAndServe()
}

func main() {
	pr := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	pr.Name = "chervilstand"
	for name, command := range map[string]any{"platform": &platformCommand{}, "upstream": &upstreamCommand{}, "upstreams": &upstreamsCommand{}} {
		if _, err := pr.AddCommand(name, "Run the stand-in: "+name, "", command); err != nil {
			panic(err)
		}
	}
	if _, err := pr.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "chervilstand:", err)
		os.Exit(1)
	}
}
