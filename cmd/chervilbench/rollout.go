package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"

	"chervilwalk/internal/operations/propagation"
)

// rolloutTimeout bounds the measurement of one fleet.
const rolloutTimeout = 5 * time.Minute

// rolloutCommand measures the roll-out of bundles on fleets of real nodes.
type rolloutCommand struct {
	Nodes []int `long:"nodes" default:"6" default:"60" description:"Nodes of a fleet; may be repeated"`
}

// Execute implements flags.Commander.
func (rc *rolloutCommand) Execute([]string) error {
	log.SetLevel(log.ErrorLevel)
	var results []*propagation.Result
	for _, nodes := range rc.Nodes {
		fmt.Printf("measuring %d nodes\n", nodes)
		ctx, cancel := context.WithTimeout(context.Background(), rolloutTimeout)
		rs, err := propagation.Run(ctx, nodes)
		cancel()
		if err != nil {
			return err
		}
		fmt.Printf("  in force on all: %.1f ms with the platform, %.1f ms with one domain that reaches it\n", rs.InForceMs, rs.InForceNoPlatformMs)
		fmt.Printf("  platform reads: %.1f a second between changes, %.1f for a change\n", rs.IdleReadsPerSecond, rs.ReadsPerChange)
		fmt.Printf("  domain out: last new request after %.1f ms; node start to first answer: %.1f ms\n", rs.LastNewRequestMs, rs.FirstAnswerMs)
		results = append(results, rs)
	}
	size, err := propagation.FullSize()
	if err != nil {
		return err
	}
	fmt.Printf("full size: %d bytes of text, %d compressed; %.0f bytes a second and node; %.1f ms to read\n",
		size.BodyBytes, size.GzipBytes, size.NodeBytesPerSecond, size.OpenMs)
	return json.NewEncoder(os.Stdout).Encode(struct {
		Fleets   []*propagation.Result `json:"fleets"`
		FullSize propagation.Size      `json:"fullSize"`
	}{results, size})
}
