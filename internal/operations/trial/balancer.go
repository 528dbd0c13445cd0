package trial

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilwalk/internal/serving/entry"
)

const (
	// healthEvery is the time between two questions for a node's health.
	healthEvery = 100 * time.Millisecond
	// healthTimeout bounds the wait for a node's word.
	healthTimeout = time.Second
)

// balancer takes the place of the platform's balancer before the entries.
type balancer struct {
	fleet  *Fleet
	client *http.Client

	mu     sync.Mutex
	usable []string
}

func newBalancer(fl *Fleet) *balancer {
	bl := &balancer{fleet: fl, client: &http.Client{Timeout: healthTimeout}}
	for _, ho := range fl.Bundle.Hosts {
		bl.usable = append(bl.usable, fl.Entry(ho.Name))
	}
	return bl
}

// run asks for the nodes' health until the context ends.
func (bl *balancer) run(ctx context.Context) {
	defer bl.client.CloseIdleConnections()
	for sleepUntil(ctx, time.Now().Add(healthEvery)) {
		bl.look()
	}
}

func (bl *balancer) look() {
	var usable []string
	for _, ho := range bl.fleet.Bundle.Hosts {
		if address := bl.fleet.Entry(ho.Name); address != "" && bl.healthy(address) {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		return
	}
	bl.mu.Lock()
	defer bl.mu.Unlock()
	bl.usable = usable
}

func (bl *balancer) healthy(address string) bool {
	rs, err := bl.client.Get("http://" + address + entry.HealthPath)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// pick draws one of the usable entries.
func (bl *balancer) pick(rn *rand.Rand) string {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	return bl.usable[rn.IntN(len(bl.usable))]
}

// avoid leaves an entry out until it is found healthy again.
func (bl *balancer) avoid(address string) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	var rest []string
	for _, other := range bl.usable {
		if other != address {
			rest = append(rest, other)
		}
	}
	if len(rest) > 0 {
		bl.usable = rest
	}
}
