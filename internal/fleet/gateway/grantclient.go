package gateway

import (
	"errors"
	"sync"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/platform"
)

// grantClient sends grants and releases to one upstream at an address.
type grantClient struct {
	*platform.GrantClient
	address string
}

// grantClientID identifies a client. Renewals have a client of their own, whose
// connections wait for a confirmation of the assignment.
type grantClientID struct {
	upstream ident.Upstream
	renewals bool
}

// grantClients keeps the clients of each upstream.
type grantClients struct {
	mu      sync.Mutex
	clients map[grantClientID]*grantClient
	// mayRenewOn decides whether a connection that was opened at a time may renew
	// grants.
	mayRenewOn func(openedAt time.Time) bool
	// onLeaving is called when an upstream says that it is leaving.
	onLeaving func(ident.Upstream)
}

// get returns a client of an upstream at an address. It replaces the client if the
// address has changed.
func (gcs *grantClients) get(id grantClientID, address string) *grantClient {
	gcs.mu.Lock()
	defer gcs.mu.Unlock()
	gc, known := gcs.clients[id]
	if !known || gc.address != address {
		if known {
			gc.Close()
		}
		var opts []platform.GrantOption
		if id.renewals {
			opts = append(opts, platform.WaitForConfirmation(gcs.mayRenewOn))
		}
		gc = &grantClient{platform.NewGrantClient(id.upstream, address, gcs.onLeaving, opts...), address}
		gcs.clients[id] = gc
	}
	return gc
}

// retain closes and removes the clients of upstreams that are no longer listed.
func (gcs *grantClients) retain(rs *roster.Roster) {
	gcs.mu.Lock()
	defer gcs.mu.Unlock()
	for id, gc := range gcs.clients {
		if _, listed := rs.Get(id.upstream); !listed {
			gc.Close()
			delete(gcs.clients, id)
		}
	}
}

func (gcs *grantClients) closeAll() {
	gcs.mu.Lock()
	defer gcs.mu.Unlock()
	for _, gc := range gcs.clients {
		gc.Close()
	}
}

// renewUpstream renews an upstream's grants in the background.
func (gw *Gateway) renewUpstream(cmd renewal.RenewCmd) {
	ep, known := (*gw.endpoints.Load())[cmd.Upstream]
	go func() {
		result := renewal.ResultMsg{Upstream: cmd.Upstream, Reached: known, StartedAt: cmd.StartedAt}
		for _, sh := range cmd.Shares {
			if !known || !gw.mayRenew(sh) || gw.clock.Now() >= cmd.Until {
				break
			}
			gt := platform.Grant{Range: sh.Range, Epoch: sh.Owner.Epoch, TTL: renewal.GrantTTL}
			outcome, err := gw.grantClients.get(grantClientID{cmd.Upstream, true}, ep.address).Grant(gt, time.Now().Add(renewal.CallTimeout))
			result.Answered = outcome == platform.GrantTaken || outcome == platform.GrantSuperseded
			if outcome == platform.GrantTaken {
				result.Taken = append(result.Taken, sh)
				continue
			}
			if errors.Is(err, platform.ErrNewConnection) {
				result.Unconfirmed = true
				break
			}
			gw.logRenewalFailure(sh, outcome, err)
			result.Reached = outcome == platform.GrantSuperseded || outcome == platform.GrantRefused
			result.Superseded = outcome == platform.GrantSuperseded
			if !result.Reached {
				break
			}
		}
		gw.send(agent.RenewedMsg(result))
	}()
}

func (gw *Gateway) logRenewalFailure(sh assignment.Share, outcome platform.GrantResult, err error) {
	fields := eventlog.Fields{"upstream": sh.Owner.Upstream, "from": sh.From, "to": sh.To, "epoch": sh.Owner.Epoch, "result": outcome, "revision": gw.table.Load().Revision}
	if err != nil {
		fields["error"] = err
	}
	gw.config.Log.Event("renewalFailed", fields)
}

// mayRenewOn reports whether the assignment was certain to be the newest after a connection was
// opened. An upstream that restarts under its id forgets that it had to give keys up. It answers
// on new connections only, and a confirmation since then covers every move before.
func (gw *Gateway) mayRenewOn(openedAt time.Time) bool {
	return gw.clock.Now().Add(-time.Since(openedAt)) <= clock.Instant(gw.tableCertainAt.Load())
}

// mayRenew reports whether the newest table still assigns a share to its owner
// and was confirmed recently.
func (gw *Gateway) mayRenew(sh assignment.Share) bool {
	if int64(gw.clock.Now())-gw.tableConfirmedAt.Load() > int64(renewal.ConfirmTTL) {
		return false
	}
	current, found := gw.table.Load().ShareOf(sh.Service, sh.From)
	return found && !current.Moving() && current.Owner == sh.Owner && current.Contains(sh.To)
}

// runMoveStep makes the call for one step of a move in the background and
// reports the result to the agent.
func (gw *Gateway) runMoveStep(cmd leader.CallCmd) {
	ep, known := (*gw.endpoints.Load())[cmd.Upstream]
	go func() {
		msg := leader.StepMsg{Move: cmd.Move, Step: cmd.Step}
		result, err := platform.GrantUnknown, error(nil)
		sinceConfirmed := gw.clock.Now().Sub(clock.Instant(gw.leadershipConfirmedAt.Load()))
		// Without a valid lease another host may lead soon, so no call is made.
		if known && sinceConfirmed < election.LeaseTTL {
			gc := gw.grantClients.get(grantClientID{cmd.Upstream, false}, ep.address)
			deadline := time.Now().Add(cmd.Timeout)
			if cmd.Step == leader.Release {
				var handover keyspace.Handover
				result, handover, err = gc.Release(cmd.Range, cmd.Epoch, deadline)
				msg.Handover = handover
			} else {
				result, err = gc.Grant(platform.Grant{Range: cmd.Range, Epoch: cmd.Epoch, TTL: cmd.TTL, Handover: cmd.Handover}, deadline)
			}
		}
		msg.Result = stepResult(result)
		if result != platform.GrantTaken {
			fields := eventlog.Fields{"step": cmd.Step, "upstream": cmd.Upstream, "from": cmd.Range.From, "to": cmd.Range.To, "epoch": cmd.Epoch, "result": result, "listed": known, "confirmedAgoMs": sinceConfirmed.Milliseconds()}
			if err != nil {
				fields["error"] = err
			}
			gw.config.Log.Event("stepFailed", fields)
		}
		gw.send(agent.StepMsg(msg))
	}()
}

// checkUpstream finds out in the background whether an upstream answers at its address. It
// sends a release of one key with an epoch below all grants: upstreams refuse no release,
// this one holds no keys, and one at a reused address says that it is another.
func (gw *Gateway) checkUpstream(cmd leader.CheckCmd) {
	ep, known := (*gw.endpoints.Load())[cmd.Upstream]
	go func() {
		result, err := platform.GrantUnknown, error(nil)
		// Another leader may have given it keys.
		if known && gw.clock.Now().Sub(clock.Instant(gw.leadershipConfirmedAt.Load())) < election.LeaseTTL {
			gc := gw.grantClients.get(grantClientID{cmd.Upstream, false}, ep.address)
			result, _, err = gc.Release(keyspace.Range{}, 0, time.Now().Add(cmd.Timeout))
		}
		reached := result == platform.GrantTaken
		if !reached {
			fields := eventlog.Fields{"upstream": cmd.Upstream, "result": result, "listed": known}
			if err != nil {
				fields["error"] = err
			}
			gw.config.Log.Event("checkFailed", fields)
		}
		gw.send(agent.CheckedMsg{Upstream: cmd.Upstream, Incarnation: cmd.Incarnation, Reached: reached})
	}()
}

func stepResult(result platform.GrantResult) leader.Result {
	switch result {
	case platform.GrantTaken:
		return leader.Taken
	case platform.GrantSuperseded:
		return leader.Superseded
	case platform.GrantRefused:
		return leader.Refused
	case platform.GrantMisdirected:
		return leader.Misdirected
	default:
		return leader.Unknown
	}
}
