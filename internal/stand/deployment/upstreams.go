package deployment

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/stand/fakeupstream"
)

// upstream is an upstream with the content of its entry in the store.
type upstream struct {
	*fakeupstream.Upstream
	sequence int
	state    string
	// listed upstreams have an entry.
	listed bool
	// proxyAddress is the address in the entry; empty for the upstream's own.
	proxyAddress string
}

// AddUpstream starts an upstream. It replaces an earlier one with the same ID but
// does not close it.
func (dp *Deployment) AddUpstream(id, service, zone string) error {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.addUpstream(id, service, zone, dp.ip(100+(dp.upstreamsStarted+1)%100)+":0")
}

// addUpstream is AddUpstream at an address. dp.mu must be held.
func (dp *Deployment) addUpstream(id, service, zone, address string) error {
	dp.upstreamsStarted++
	cf := fakeupstream.Config{
		ID: id, Address: address, Service: service, Zone: zone, Slots: upstreamSlots, Queue: 8,
		Keyed: service == KeyedService, Work: keyedWork, AnswerBytes: 500, ColdTime: coldTime, ColdRate: coldRate, Seed: dp.cf.Seed + int64(dp.upstreamsStarted),
		DeadlySuffix: DeadlySuffix, OnCrash: func() { dp.restartLater(id, service, zone) },
	}
	switch service {
	case OrderService:
		cf.Work = orderWork
	case FileService:
		cf.Work, cf.AnswerBytes = fileWork, cmp.Or(dp.cf.FileBytes, fileBytes)
	}
	up, err := fakeupstream.Start(cf)
	if err != nil {
		return eris.Wrap(err, id)
	}
	if old, known := dp.upstreams[id]; known {
		dp.retired = append(dp.retired, old.Upstream)
	}
	us := &upstream{Upstream: up, state: "ready", listed: true}
	if dp.cf.Proxies {
		px, err := dp.addProxy(id, up.Config().Address)
		if err != nil {
			return err
		}
		us.proxyAddress = px.Address()
	}
	dp.upstreams[id] = us
	return nil
}

// restartLater starts an upstream again that has crashed, as another incarnation at the same
// address. Its entry stays unchanged until then.
func (dp *Deployment) restartLater(id, service, zone string) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.upstreams[id].listed = false
	dp.crashes = append(dp.crashes, time.Now())
	for _, px := range dp.proxies {
		if px.Name == id {
			// The next incarnation gets a proxy of its own.
			px.StopAccepting()
		}
	}
	dp.background.Add(1)
	go func() {
		defer dp.background.Done()
		select {
		case <-time.After(CrashedTime):
		case <-dp.done:
			return
		}
		dp.mu.Lock()
		defer dp.mu.Unlock()
		// An error means that its address is in use, and the upstream stays away.
		_ = dp.addUpstream(id, service, zone, dp.upstreams[id].Config().Address)
	}()
}

// Crashes returns when deadly requests have crashed upstreams, the oldest first.
func (dp *Deployment) Crashes() []time.Time {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return slices.Clone(dp.crashes)
}

// UpstreamIDs returns the IDs of the upstreams in order.
func (dp *Deployment) UpstreamIDs() []string {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return slices.Sorted(maps.Keys(dp.upstreams))
}

// Upstream returns the upstream with an ID, which must exist.
func (dp *Deployment) Upstream(id string) *fakeupstream.Upstream {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.upstreams[id].Upstream
}

// DrainUpstream announces that an upstream is draining.
func (dp *Deployment) DrainUpstream(id string) {
	dp.mu.Lock()
	dp.upstreams[id].state = "draining"
	dp.mu.Unlock()
	dp.announceUpstreams()
}

// DelistUpstream removes an upstream's entry from the store.
func (dp *Deployment) DelistUpstream(id string) {
	dp.mu.Lock()
	dp.upstreams[id].listed = false
	dp.mu.Unlock()
	dp.Store.Drop("servers", id)
}

// allUpstreams returns all upstreams that were ever started.
func (dp *Deployment) allUpstreams() []*fakeupstream.Upstream {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	list := append([]*fakeupstream.Upstream(nil), dp.retired...)
	for _, up := range dp.upstreams {
		list = append(list, up.Upstream)
	}
	return list
}

// announceLoop writes the upstreams' entries periodically until Close.
func (dp *Deployment) announceLoop() {
	defer dp.background.Done()
	for {
		dp.announceUpstreams()
		select {
		case <-time.After(announceInterval):
		case <-dp.done:
			return
		}
	}
}

// announceUpstreams writes the entries of all listed upstreams to the store.
func (dp *Deployment) announceUpstreams() {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	for id, up := range dp.upstreams {
		if up.listed {
			up.sequence++
			entry := up.Entry(up.sequence, up.state)
			if up.proxyAddress != "" {
				entry = bytes.Replace(entry, []byte(up.Config().Address), []byte(up.proxyAddress), 1)
			}
			dp.Store.Put("servers", id, entry)
		}
	}
}
