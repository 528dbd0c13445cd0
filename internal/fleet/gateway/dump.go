package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
)

// DumpPath is the path of the dump on the metrics address.
const DumpPath = "/dump"

// dumpTimeout bounds how long the loop may take to collect its state.
const dumpTimeout = 2 * time.Second

// Dump is the state of a process, served as JSON to operators and programs.
type Dump struct {
	Host           ident.Host     `json:"host"`
	Domain         ident.Domain   `json:"domain"`
	Ready          bool           `json:"ready"`
	Leading        bool           `json:"leading"`
	Term           uint64         `json:"term"`
	DesiredVersion uint64         `json:"desiredVersion"`
	Revision       uint64         `json:"assignmentRevision"`
	EntriesAgeMs   int64          `json:"entriesAgeMs"`
	Connections    int            `json:"callerConnections"`
	OpenPermits    int64          `json:"openPermits"`
	Members        []DumpMember   `json:"members"`
	Upstreams      []DumpUpstream `json:"upstreams"`
	Shares         []DumpShare    `json:"shares"`
}

// DumpMember is a member host as the assignment lists it.
type DumpMember struct {
	Host    ident.Host   `json:"host"`
	Domain  ident.Domain `json:"domain"`
	Address string       `json:"address"`
	Alive   bool         `json:"alive"`
}

// DumpUpstream is an upstream as this host knows it.
type DumpUpstream struct {
	ID         ident.Upstream `json:"upstream"`
	Service    ident.Service  `json:"service"`
	Domain     ident.Domain   `json:"domain"`
	Address    string         `json:"address"`
	Slots      int            `json:"slots"`
	Leaving    bool           `json:"leaving,omitempty"`
	Gone       bool           `json:"gone,omitempty"`
	ColdLeftMs int64          `json:"coldLeftMs,omitempty"`
}

// DumpShare is the range of keys From to To, both included, with its owner.
type DumpShare struct {
	Service ident.Service  `json:"service"`
	From    uint16         `json:"from"`
	To      uint16         `json:"to"`
	Owner   ident.Upstream `json:"owner"`
	Epoch   uint64         `json:"epoch"`
	Next    ident.Upstream `json:"next,omitempty"`
}

// dumpEvent requests the loop's state.
type dumpEvent struct{ reply chan Dump }

// serveDump serves the dump as JSON, or status 503 if the loop is too slow.
func (gw *Gateway) serveDump(rw http.ResponseWriter, _ *http.Request) {
	reply := make(chan Dump, 1)
	gw.send(dumpEvent{reply})
	select {
	case dm := <-reply:
		rw.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(rw).Encode(dm); err != nil {
			gw.config.Log.ErrorEvent("dumpNotWritten", err, eventlog.Fields{})
		}
	case <-time.After(dumpTimeout):
		rw.WriteHeader(http.StatusServiceUnavailable)
	case <-gw.done:
	}
}

// dump collects the state. Only the loop may call it.
func (gw *Gateway) dump() Dump {
	now, table := gw.clock.Now(), gw.table.Load()
	dm := Dump{
		Host: gw.self.Host, Domain: gw.self.Domain, Ready: gw.isReady.Load(), Leading: gw.leading.Load(),
		Term: uint64(gw.agent.Term()), Revision: uint64(table.Revision), EntriesAgeMs: now.Sub(gw.cache.readAt).Milliseconds(),
		Connections: gw.callerServer.Connections(), OpenPermits: gw.permitClient.openCount.Load(),
		Members: []DumpMember{}, Upstreams: []DumpUpstream{}, Shares: []DumpShare{},
	}
	if st := gw.desiredState.Load(); st != nil {
		dm.DesiredVersion = uint64(st.Version)
	}
	for _, mb := range table.Members {
		dm.Members = append(dm.Members, DumpMember{Host: mb.Host, Domain: mb.Domain, Address: mb.Address, Alive: mb.Alive})
	}
	gw.roster.All(func(up *roster.Upstream) { dm.Upstreams = append(dm.Upstreams, dumpUpstream(now, up)) })
	slices.SortFunc(dm.Upstreams, func(left, right DumpUpstream) int { return strings.Compare(string(left.ID), string(right.ID)) })
	for _, sh := range table.Shares {
		dm.Shares = append(dm.Shares, DumpShare{
			Service: sh.Service, From: uint16(sh.From), To: uint16(sh.To), Owner: sh.Owner.Upstream, Epoch: uint64(sh.Owner.Epoch), Next: sh.Next.Upstream,
		})
	}
	return dm
}

func dumpUpstream(now clock.Instant, up *roster.Upstream) DumpUpstream {
	return DumpUpstream{
		ID: up.ID, Service: up.Service, Domain: up.Domain, Address: up.Address, Slots: up.Slots, Leaving: up.Leaving(), Gone: up.Gone,
		ColdLeftMs: max(up.ColdUntil.Sub(now).Milliseconds(), 0),
	}
}
