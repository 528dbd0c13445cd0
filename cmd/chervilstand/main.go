// Command chervilstand runs stand-ins for the platform's store and for
// upstreams, each as a process of its own.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/metastore"
)

const (
	// heartbeatInterval is the time between two writes of an upstream's entry.
	heartbeatInterval = 300 * time.Millisecond
	// headerTimeout limits how long the store waits for a request's header.
	headerTimeout = 5 * time.Second
	// coldTime is the time for which an upstream is cold after its start.
	coldTime = 2 * time.Second
)

func main() {
	pr := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	pr.Name = "chervilstand"
	for _, cm := range []struct {
		name, description string
		command           any
	}{
		{"store", "Run a stand-in for the platform's store", &storeCommand{}},
		{"upstream", "Run a stand-in for an upstream", &upstreamCommand{}},
		{"soak", "Disturb a deployment of real processes at random and check its guarantees", &soakCommand{}},
	} {
		if _, err := pr.AddCommand(cm.name, cm.description, "", cm.command); err != nil {
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

// storeCommand runs a stand-in for the store that keeps its data in memory.
type storeCommand struct {
	Listen string `long:"listen" required:"true" description:"IP:PORT to listen on"`
}

// Execute implements flags.Commander.
func (sc *storeCommand) Execute([]string) error {
	sv := &http.Server{Addr: sc.Listen, Handler: metastore.New(), ReadHeaderTimeout: headerTimeout}
	return eris.Wrap(sv.ListenAndServe(), "store")
}

// upstreamCommand runs a stand-in for an upstream that writes its entry to the
// store's stand-in as a heartbeat.
type upstreamCommand struct {
	Name        string        `long:"name" required:"true" description:"Name of the upstream"`
	Service     string        `long:"service" required:"true" description:"Name of the upstream's service"`
	Domain      string        `long:"domain" required:"true" description:"Failure domain of the upstream"`
	Listen      string        `long:"listen" required:"true" description:"IP:PORT to listen on"`
	Store       string        `long:"store" required:"true" description:"IP:PORT of the store's stand-in"`
	Keyed       bool          `long:"keyed" description:"Run only requests whose keys are granted to the upstream"`
	Slots       int           `long:"slots" default:"2" description:"Number of requests processed concurrently"`
	Queue       int           `long:"queue" default:"8" description:"Number of requests that may wait for a slot; connections of further ones are reset"`
	Work        time.Duration `long:"work" default:"20ms" description:"Processing time of a request"`
	AnswerBytes int           `long:"answer-bytes" default:"500" description:"Size of a response body in bytes"`
}

// Execute implements flags.Commander.
func (uc *upstreamCommand) Execute([]string) error {
	upstream, err := fakeupstream.Start(fakeupstream.Config{
		ID: uc.Name, Address: uc.Listen, Service: uc.Service, Zone: uc.Domain, Slots: uc.Slots, Queue: uc.Queue,
		Keyed: uc.Keyed, Work: uc.Work, AnswerBytes: uc.AnswerBytes, ColdTime: coldTime,
	})
	if err != nil {
		return eris.Wrap(err, "upstream")
	}
	defer upstream.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for sequence := 1; ; sequence++ {
		if err := uc.putEntry(upstream.Entry(sequence, "ready")); err != nil {
			fmt.Fprintln(os.Stderr, "chervilstand: write the upstream's entry:", err)
		}
		select {
		case <-signals:
			return nil
		case <-time.After(heartbeatInterval):
		}
	}
}

// putEntry writes the upstream's entry to the store's stand-in. It ignores the
// response's status.
func (uc *upstreamCommand) putEntry(entry []byte) error {
	rq, err := http.NewRequest(http.MethodPut, "http://"+uc.Store+"/_stand/rows/servers/"+uc.Name, bytes.NewReader(entry))
	if err != nil {
		return eris.Wrap(err, "make a request for the store")
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return eris.Wrap(err, "store")
	}
	return eris.Wrap(rs.Body.Close(), "store")
}
