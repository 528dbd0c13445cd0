package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/dump"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/verdict"
)

// reportTimeout bounds the wait for one task's part of a dump.
const reportTimeout = 200 * time.Millisecond

// Snapshot collects the node's state from its tasks.
func (nd *Node) Snapshot() *dump.Snapshot {
	_, state := nd.Health()
	sn := &dump.Snapshot{
		Host: nd.config.Host, Domain: nd.config.Domain, State: state, Clock: nd.clock.Now(), Started: nd.started,
	}
	for _, pv := range []dump.Provider{nd.bundles, nd.owner, nd} {
		pv.Report(sn)
	}
	return sn
}

// Report adds the routes and the verdicts.
func (nd *Node) Report(sn *dump.Snapshot) {
	for _, vd := range nd.metrics.Verdicts() {
		sn.Verdicts = append(sn.Verdicts, dump.Verdicts{Service: vd.Service, Verdict: vd.Verdict, Count: vd.Count})
	}
	rt := nd.routes.Load()
	if rt == nil {
		return
	}
	for pl, ho := range rt.Holders {
		sn.Routes = append(sn.Routes, dump.Route{Pool: pl, Holder: ho})
	}
	slices.SortFunc(sn.Routes, func(left, right dump.Route) int { return cmp.Compare(left.Pool, right.Pool) })
}

// Report adds the bundle and the peers.
func (bt *bundleTask) Report(sn *dump.Snapshot) {
	bt.reportPeers(sn)
	st := bt.state.Load()
	if st == nil {
		return
	}
	sn.Bundle = dump.Bundle{Version: st.Bundle.Version, Key: st.Seal.Key}
	if list := bt.contradictions.Load(); list != nil {
		sn.Bundle.Contradictions = *list
	}
	if hc := bt.heard.Load(); hc != nil {
		sn.Bundle.Leaving = hc.leaving.Hosts
	}
	for _, dm := range st.Effective.Domains {
		if dm.Out {
			sn.Bundle.OutDomains = append(sn.Bundle.OutDomains, dm.Name)
		}
	}
	for _, ho := range st.Effective.Hosts {
		if ho.Out {
			sn.Bundle.OutHosts = append(sn.Bundle.OutHosts, ho.Name)
		}
	}
	for ix := range st.Effective.Services {
		for _, up := range st.Effective.Services[ix].Upstreams {
			if up.Out {
				sn.Bundle.OutUpstreams = append(sn.Bundle.OutUpstreams, up.Name)
			}
		}
	}
}

func (bt *bundleTask) reportPeers(sn *dump.Snapshot) {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	for _, pe := range bt.answered {
		sn.Peers = append(sn.Peers, pe)
	}
	slices.SortFunc(sn.Peers, func(left, right dump.Peer) int { return cmp.Compare(left.Address, right.Address) })
}

// Report adds the leader and the pools held here, with their admission.
func (ot *ownerTask) Report(sn *dump.Snapshot) {
	rp, ok := ot.report()
	if !ok {
		return
	}
	sn.Term = dump.Term{Leader: rp.Leader, Number: rp.Term, Leads: rp.Leads, Until: rp.LeadsUntil}
	for _, pr := range rp.Pools {
		pl := dump.Pool{Name: pr.View.Pool, Term: pr.Term, Epoch: pr.Epoch, Until: pr.View.Until}
		if pt := ot.node.pool(pl.Name); pt != nil {
			if ar, ok := pt.report(); ok {
				fillPool(&pl, ar, pr.View)
			}
		}
		sn.Pools = append(sn.Pools, pl)
	}
}

func (ot *ownerTask) report() (authority.Report, bool) {
	reply := make(chan authority.Report, 1)
	late := time.NewTimer(reportTimeout)
	defer late.Stop()
	select {
	case ot.reports <- reply:
		return <-reply, true
	case <-late.C:
		return authority.Report{}, false
	}
}

func (pt *poolTask) report() (admission.Report, bool) {
	reply := make(chan admission.Report, 1)
	late := time.NewTimer(reportTimeout)
	defer late.Stop()
	select {
	case pt.inbox <- poolMsg{report: reply}:
	case <-pt.done:
		return admission.Report{}, false
	case <-late.C:
		return admission.Report{}, false
	}
	select {
	case rp := <-reply:
		return rp, true
	case <-pt.done:
		return admission.Report{}, false
	case <-late.C:
		return admission.Report{}, false
	}
}

// fillPool joins what admission and ownership know of a pool.
func fillPool(pl *dump.Pool, rp admission.Report, vw authority.View) {
	pl.Queued, pl.Ownerless = rp.Queued, rp.Ownerless
	owned := map[ident.Upstream]int{}
	for _, up := range vw.Owners {
		owned[up]++
	}
	for _, ur := range rp.Upstreams {
		gr := vw.Grants[ur.Name]
		pl.Upstreams = append(pl.Upstreams, dump.Upstream{
			Name: ur.Name, Slots: ur.Slots, Limit: ur.Limit, InFlight: ur.InFlight, Queued: ur.Queued,
			Slices: owned[ur.Name], Token: gr.Token, Until: gr.Until, Why: ur.Why,
		})
	}
}

// logOwners logs which slices have come to an upstream since the last view.
func (nd *Node) logOwners(before map[ident.Slice]ident.Upstream, vw authority.View) {
	gained := map[ident.Upstream][]ident.Slice{}
	for sl, up := range vw.Owners {
		if before[sl] != up {
			gained[up] = append(gained[up], sl)
		}
	}
	for up, list := range gained {
		slices.Sort(list)
		nd.log.WithFields(log.Fields{
			"pool": vw.Pool, "upstream": up, "slices": fmt.Sprint(list), "token": control.FormatToken(vw.Grants[up].Token),
		}).Info("slices granted")
	}
}

// logStep logs one step of a request, when steps are logged.
func (nd *Node) logStep(step string, ca *inner.Call, more log.Fields) {
	if !nd.config.LogRequests {
		return
	}
	nd.log.WithFields(requestFields(ca)).WithFields(more).Info(step)
}

// logEnd logs the end of a request that may have run without an answer, and
// any other when steps are logged.
func (nd *Node) logEnd(ca *inner.Call, vd verdict.Verdict, err error) {
	if vd != verdict.MayHaveRun && !nd.config.LogRequests {
		return
	}
	entry := nd.log.WithFields(requestFields(ca)).WithField("verdict", vd.String())
	if err != nil {
		entry = entry.WithField("reason", verdict.From(err).Reason)
	}
	entry.Info("request ended")
}

// requestFields are the fields by which a request, or all of a slice, can be
// followed across nodes.
func requestFields(ca *inner.Call) log.Fields {
	return log.Fields{"request": ca.ID, "service": ca.Service, "slice": ca.Slice, "pool": ca.Pool}
}
