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
	// beatTime is the time between two entries of an upstream.
	beatTime = 300 * time.Millisecond
	// headerTime bounds how long a caller's header may take.
	headerTime = 5 * time.Second
	// coldTime is how long an upstream is cold after its start.
	coldTime = 2 * time.Second
)

func main() {
	pr := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	pr.Name = "chervilstand"
	for _, cm := range []struct {
		name, text string
		command    any
	}{
		{"store", "Run a stand-in for the platform's store", &storeCommand{}},
		{"upstream", "Run a stand-in for an upstream", &upstreamCommand{}},
	} {
		if _, err := pr.AddCommand(cm.name, cm.text, "", cm.command); err != nil {
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

// storeCommand runs a store that keeps everything in memory.
type storeCommand struct {
	Listen string `long:"listen" required:"true" description:"IP:PORT"`
}

// Execute implements flags.Commander.
func (sc *storeCommand) Execute([]string) error {
	sv := &http.Server{Addr: sc.Listen, Handler: metastore.New(), ReadHeaderTimeout: headerTime}
	return eris.Wrap(sv.ListenAndServe(), "store")
}

// upstreamCommand runs an upstream that announces itself in a store.
type upstreamCommand struct {
	Name        string        `long:"name" required:"true" description:"Name of the upstream"`
	Service     string        `long:"service" required:"true" description:"Name of its service"`
	Domain      string        `long:"domain" required:"true" description:"Its failure domain"`
	Listen      string        `long:"listen" required:"true" description:"IP:PORT"`
	Store       string        `long:"store" required:"true" description:"IP:PORT of the store's stand-in"`
	Keyed       bool          `long:"keyed" description:"Run only requests whose keys were granted to it"`
	Slots       int           `long:"slots" default:"2" description:"Requests it runs at a time"`
	Queue       int           `long:"queue" default:"8" description:"Requests that wait beyond the slots; more are reset"`
	Work        time.Duration `long:"work" default:"20ms" description:"Time that a request takes"`
	AnswerBytes int           `long:"answer-bytes" default:"500" description:"Size of an answer"`
}

// Execute implements flags.Commander.
func (uc *upstreamCommand) Execute([]string) error {
	tg, err := fakeupstream.Start(fakeupstream.Config{
		ID: uc.Name, Address: uc.Listen, Service: uc.Service, Zone: uc.Domain, Slots: uc.Slots, Queue: uc.Queue,
		Keyed: uc.Keyed, Work: uc.Work, AnswerBytes: uc.AnswerBytes, ColdFor: coldTime,
	})
	if err != nil {
		return eris.Wrap(err, "upstream")
	}
	defer tg.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for sequence := 1; ; sequence++ {
		if err := uc.announce(tg.Entry(sequence, "ready")); err != nil {
			fmt.Fprintln(os.Stderr, "chervilstand: entry not written:", err)
		}
		select {
		case <-signals:
			return nil
		case <-time.After(beatTime):
		}
	}
}

func (uc *upstreamCommand) announce(entry []byte) error {
	rq, err := http.NewRequest(http.MethodPut, "http://"+uc.Store+"/_stand/rows/servers/"+uc.Name, bytes.NewReader(entry))
	if err != nil {
		return eris.Wrap(err, "address of the store")
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return eris.Wrap(err, "store")
	}
	return eris.Wrap(rs.Body.Close(), "store")
}
