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

// maxDumpBytes bounds a host's answer.
const maxDumpBytes = 64 << 20

// dumpCommand shows the state of one host's process.
type dumpCommand struct {
	Admin   string        `long:"admin" env:"CHERVILWALK_ADMIN" required:"true" description:"IP and port of the host's metrics"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"Time for the whole command"`
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

func fetchDump(ctx context.Context, admin string) (gateway.Dump, error) {
	var dm gateway.Dump
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+gateway.DumpPath, nil)
	if err != nil {
		return dm, eris.Wrapf(err, "address %q: write IP:PORT of the host's metrics", admin)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return dm, eris.Wrap(err, "the host does not answer at the address of its metrics")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return dm, eris.Errorf("the host answered with status %d", rs.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxDumpBytes))
	if err != nil {
		return dm, eris.Wrap(err, "the host's answer broke off")
	}
	return dm, eris.Wrap(json.Unmarshal(body, &dm), "the host's answer")
}
