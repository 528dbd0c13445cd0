package dump

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/grant"
)

// snapshotJSON is the written form. Instants are written as milliseconds from
// the snapshot's own reading: left until a deadline, or past since an event.
type snapshotJSON struct {
	Host          string         `json:"host"`
	Domain        string         `json:"domain"`
	State         string         `json:"state"`
	ClockNanos    int64          `json:"clockNanos"`
	RunningMillis int64          `json:"runningMillis"`
	Bundle        bundleJSON     `json:"bundle"`
	Term          termJSON       `json:"term"`
	Pools         []poolJSON     `json:"pools"`
	Routes        []routeJSON    `json:"routes"`
	Verdicts      []verdictsJSON `json:"verdicts"`
	Peers         []peerJSON     `json:"peers"`
}

type bundleJSON struct {
	Version        uint64   `json:"version"`
	Key            string   `json:"key"`
	OutHosts       []string `json:"outHosts"`
	OutUpstreams   []string `json:"outUpstreams"`
	OutDomains     []string `json:"outDomains"`
	Leaving        []string `json:"leaving"`
	Contradictions []string `json:"contradictions"`
}

type termJSON struct {
	Leader     string `json:"leader"`
	Number     uint64 `json:"number"`
	Leads      bool   `json:"leads"`
	LeftMillis int64  `json:"leftMillis"`
}

type poolJSON struct {
	Name       string         `json:"name"`
	Term       uint64         `json:"term"`
	Epoch      uint64         `json:"epoch"`
	LeftMillis int64          `json:"leftMillis"`
	Queued     int            `json:"queued"`
	Ownerless  int            `json:"ownerless"`
	Upstreams  []upstreamJSON `json:"upstreams"`
}

type upstreamJSON struct {
	Name       string    `json:"name"`
	Slots      int       `json:"slots"`
	Limit      int       `json:"limit"`
	InFlight   int       `json:"inFlight"`
	Queued     int       `json:"queued"`
	Slices     int       `json:"slices"`
	Token      tokenJSON `json:"token"`
	Granted    bool      `json:"granted"`
	LeftMillis int64     `json:"leftMillis"`
	Why        string    `json:"why"`
}

type tokenJSON struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
}

type routeJSON struct {
	Pool   string `json:"pool"`
	Holder string `json:"holder"`
}

type verdictsJSON struct {
	Service string `json:"service"`
	Verdict string `json:"verdict"`
	Count   uint64 `json:"count"`
}

type peerJSON struct {
	Address        string `json:"address"`
	Version        uint64 `json:"version"`
	AnsweredMillis int64  `json:"answeredMillis"`
}

// Encode writes a snapshot as JSON, times to the millisecond.
func Encode(sn *Snapshot) ([]byte, error) {
	sj := snapshotJSON{
		Host: string(sn.Host), Domain: string(sn.Domain), State: sn.State, ClockNanos: int64(sn.Clock),
		RunningMillis: sn.Clock.Sub(sn.Started).Milliseconds(),
		Bundle: bundleJSON{
			Version: uint64(sn.Bundle.Version), Key: sn.Bundle.Key, OutHosts: words(sn.Bundle.OutHosts),
			OutUpstreams: words(sn.Bundle.OutUpstreams), OutDomains: words(sn.Bundle.OutDomains),
			Leaving: words(sn.Bundle.Leaving), Contradictions: words(sn.Bundle.Contradictions),
		},
		Term: termJSON{
			Leader: string(sn.Term.Leader), Number: sn.Term.Number, Leads: sn.Term.Leads, LeftMillis: left(sn, sn.Term.Until),
		},
		Pools: []poolJSON{}, Routes: []routeJSON{}, Verdicts: []verdictsJSON{}, Peers: []peerJSON{},
	}
	for ix := range sn.Pools {
		sj.Pools = append(sj.Pools, encodePool(sn, &sn.Pools[ix]))
	}
	for _, rt := range sn.Routes {
		sj.Routes = append(sj.Routes, routeJSON{Pool: string(rt.Pool), Holder: string(rt.Holder)})
	}
	for _, vd := range sn.Verdicts {
		sj.Verdicts = append(sj.Verdicts, verdictsJSON{Service: string(vd.Service), Verdict: vd.Verdict, Count: vd.Count})
	}
	for _, pe := range sn.Peers {
		sj.Peers = append(sj.Peers, peerJSON{Address: pe.Address, Version: uint64(pe.Version), AnsweredMillis: -left(sn, pe.Answered)})
	}
	return json.MarshalIndent(sj, "", "  ")
}

func encodePool(sn *Snapshot, pl *Pool) poolJSON {
	pj := poolJSON{
		Name: string(pl.Name), Term: pl.Term, Epoch: pl.Epoch, LeftMillis: left(sn, pl.Until),
		Queued: pl.Queued, Ownerless: pl.Ownerless, Upstreams: []upstreamJSON{},
	}
	for _, up := range pl.Upstreams {
		uj := upstreamJSON{
			Name: string(up.Name), Slots: up.Slots, Limit: up.Limit, InFlight: up.InFlight, Queued: up.Queued,
			Slices: up.Slices, Token: tokenJSON(up.Token), Granted: up.Until != 0, Why: up.Why,
		}
		if uj.Granted {
			uj.LeftMillis = left(sn, up.Until)
		}
		pj.Upstreams = append(pj.Upstreams, uj)
	}
	return pj
}

// Decode reads what Encode wrote.
func Decode(data []byte) (*Snapshot, error) {
	var sj snapshotJSON
	if err := json.Unmarshal(data, &sj); err != nil {
		return nil, eris.Wrap(err, "dump")
	}
	now := clock.Instant(sj.ClockNanos)
	sn := &Snapshot{
		Host: ident.Host(sj.Host), Domain: ident.Domain(sj.Domain), State: sj.State,
		Clock: now, Started: after(now, -sj.RunningMillis),
		Bundle: Bundle{
			Version: bundle.Version(sj.Bundle.Version), Key: sj.Bundle.Key, OutHosts: named[ident.Host](sj.Bundle.OutHosts),
			OutUpstreams: named[ident.Upstream](sj.Bundle.OutUpstreams), OutDomains: named[ident.Domain](sj.Bundle.OutDomains),
			Leaving: named[ident.Host](sj.Bundle.Leaving), Contradictions: sj.Bundle.Contradictions,
		},
		Term: Term{Leader: ident.Host(sj.Term.Leader), Number: sj.Term.Number, Leads: sj.Term.Leads, Until: after(now, sj.Term.LeftMillis)},
	}
	for _, pj := range sj.Pools {
		sn.Pools = append(sn.Pools, decodePool(now, pj))
	}
	for _, rj := range sj.Routes {
		sn.Routes = append(sn.Routes, Route{Pool: ident.Pool(rj.Pool), Holder: ident.Host(rj.Holder)})
	}
	for _, vj := range sj.Verdicts {
		sn.Verdicts = append(sn.Verdicts, Verdicts{Service: ident.Service(vj.Service), Verdict: vj.Verdict, Count: vj.Count})
	}
	for _, pj := range sj.Peers {
		sn.Peers = append(sn.Peers, Peer{Address: pj.Address, Version: bundle.Version(pj.Version), Answered: after(now, -pj.AnsweredMillis)})
	}
	return sn, nil
}

func decodePool(now clock.Instant, pj poolJSON) Pool {
	pl := Pool{
		Name: ident.Pool(pj.Name), Term: pj.Term, Epoch: pj.Epoch, Until: after(now, pj.LeftMillis),
		Queued: pj.Queued, Ownerless: pj.Ownerless,
	}
	for _, uj := range pj.Upstreams {
		up := Upstream{
			Name: ident.Upstream(uj.Name), Slots: uj.Slots, Limit: uj.Limit, InFlight: uj.InFlight, Queued: uj.Queued,
			Slices: uj.Slices, Token: grant.Token(uj.Token), Why: uj.Why,
		}
		if uj.Granted {
			up.Until = after(now, uj.LeftMillis)
		}
		pl.Upstreams = append(pl.Upstreams, up)
	}
	return pl
}

func left(sn *Snapshot, until clock.Instant) int64 {
	return until.Sub(sn.Clock).Milliseconds()
}

func after(now clock.Instant, millis int64) clock.Instant {
	return now.Add(time.Duration(millis) * time.Millisecond)
}

func words[T ~string](list []T) []string {
	out := make([]string, 0, len(list))
	for _, item := range list {
		out = append(out, string(item))
	}
	return out
}

func named[T ~string](list []string) []T {
	var out []T
	for _, item := range list {
		out = append(out, T(item))
	}
	return out
}
