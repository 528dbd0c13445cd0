package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// drainTime is how long a stopping node still takes new requests, so that
	// the balancer and the callers' kept connections find other nodes.
	drainTime = time.Second
	// poolDrainTime bounds the wait for a pool's requests in flight before the
	// pool is handed over. A next holder does not know of them, so that an
	// upstream could get more than it bears.
	poolDrainTime = 500 * time.Millisecond
	// handOverTime bounds the wait for others to take the pools.
	handOverTime = 3 * time.Second
)

// Close is the planned stop. The node says that it drains, lets its pools' work
// end and hands them over while it still answers; each caller's connection closes after its
// next answer. Then it stops accepting, waits until the context ends for what
// is in flight, stops the tasks and waits for them.
func (nd *Node) Close(ctx context.Context) error {
	nd.draining.Store(true)
	nd.entry.Drain()
	drained := time.Now().Add(drainTime)
	nd.drainPools(ctx)
	nd.handOver(ctx)
	sleepUntil(ctx, drained)
	first := nd.entry.Close(ctx)
	second := nd.inner.Shutdown(ctx)
	nd.stop()
	nd.closePools()
	_ = nd.admin.Close()
	third := nd.group.Wait()
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for _, pe := range nd.peers {
		pe.Close()
	}
	nd.platform.Close()
	return eris.Wrap(firstError(first, second, third), "node: close")
}

// Kill stops the node as a lost process would: nothing is handed over and
// nothing in flight is waited for.
func (nd *Node) Kill() {
	nd.draining.Store(true)
	_ = nd.config.Callers.Close()
	_ = nd.inner.Close()
	nd.stop()
	nd.closePools()
	_ = nd.admin.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = nd.entry.Close(ended)
	_ = nd.group.Wait()
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for _, pe := range nd.peers {
		pe.Close()
	}
	nd.platform.Close()
}

// drainPools ends the pools' dispatching and waits for what is in flight.
// Queued and new calls are sent back to their entries, which wait for the next
// holder.
func (nd *Node) drainPools(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, poolDrainTime)
	defer cancel()
	nd.closePools()
	for _, pt := range nd.poolTasks() {
		select {
		case <-pt.done:
		case <-limited.Done():
			return
		}
	}
}

func (nd *Node) poolTasks() []*poolTask {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return slices.Collect(maps.Values(nd.pools))
}

// handOver gives the pools to other nodes, within a bound.
func (nd *Node) handOver(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	nd.owner.handOver(limited)
}

func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
