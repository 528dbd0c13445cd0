package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/gateway"
)

// maxDumpBytes limits how much of a host's response is read.
const maxDumpBytes = 64 << 20

// dumpCommand prints the state of a host's gateway as JSON.
type dumpCommand struct {
	Admin   string        `long:"admin" env:"CHERVILWALK_ADMIN" required:"true" description:"IP and port of the host's metrics and dump"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"Timeout of the whole command"`
}

// Execute implements flags.Commander.
func (dc *dumpCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), dc.Timeout)
	defer cancel()
	dm, err := fetchDump(ctx, dc.Admin)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(dm, "", "  ")
	if err != nil {
		return eris.Wrap(err, "dump")
	}
	fmt.Println(string(text))
	return nil
}

// fetchDump requests the dump of the host with the given admin address (IP:PORT).
func fetchDump(ctx context.Context, admin string) (gateway.Dump, error) {
	var dm gateway.Dump
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+gateway.DumpPath, nil)
	if err != nil {
		return dm, eris.Wrapf(err, "address %q is not the IP:PORT of a host's metrics and dump", admin)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return dm, eris.Wrap(err, "the host does not answer at its admin address")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return dm, eris.Errorf("the host at %q answered the request for its dump with status %d", admin, rs.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxDumpBytes))
	if err != nil {
		return dm, eris.Wrapf(err, "read the dump of the host at %q", admin)
	}
	return dm, eris.Wrapf(json.Unmarshal(body, &dm), "decode the dump of the host at %q", admin)
}
