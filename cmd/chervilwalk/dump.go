package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/node"
	"chervilwalk/internal/operations/dump"
)

// maxDumpBytes bounds a node's answer.
const maxDumpBytes = 64 << 20

// dumpCommand shows the state of one node.
type dumpCommand struct {
	Admin   string        `long:"admin" env:"CHERVILWALK_ADMIN" default:"127.0.0.1:7200" description:"The node's IP and port for operators"`
	JSON    bool          `long:"json" description:"Print JSON"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"Time for the whole command"`
}

// Execute implements flags.Commander.
func (dc *dumpCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), dc.Timeout)
	defer cancel()
	data, err := fetchDump(ctx, dc.Admin)
	if err != nil {
		return err
	}
	if dc.JSON {
		_, err = os.Stdout.Write(data)
		return err
	}
	sn, err := dump.Decode(data)
	if err != nil {
		return err
	}
	fmt.Print(dump.Text(sn))
	return nil
}

func fetchDump(ctx context.Context, admin string) ([]byte, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+node.DumpPath, nil)
	if err != nil {
		return nil, err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, eris.Wrap(err, "the node does not answer on its --admin address")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the node answered with status %d", rs.StatusCode)
	}
	return io.ReadAll(io.LimitReader(rs.Body, maxDumpBytes))
}
