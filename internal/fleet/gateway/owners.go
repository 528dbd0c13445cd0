package gateway

import (
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

// owner is a client of one upstream's calls about keys.
type owner struct {
	*platform.GrantClient
	address string
}

// owners keeps the clients.
type owners struct {
	mu      sync.Mutex
	clients map[ident.Upstream]*owner
}

// at returns the client of an upstream at an address.
func (os *owners) at(id ident.Upstream, address string) *owner {
	os.mu.Lock()
	defer os.mu.Unlock()
	ow, known := os.clients[id]
	if !known || ow.address != address {
		if known {
			ow.Close()
		}
		ow = &owner{platform.NewGrantClient(id, address), address}
		os.clients[id] = ow
	}
	return ow
}

// retain drops the clients of upstreams that are no longer listed.
func (os *owners) retain(bk *roster.Roster) {
	os.mu.Lock()
	defer os.mu.Unlock()
	for id, ow := range os.clients {
		if _, listed := bk.Get(id); !listed {
			ow.Close()
			delete(os.clients, id)
		}
	}
}

func (os *owners) closeAll() {
	os.mu.Lock()
	defer os.mu.Unlock()
	for _, ow := range os.clients {
		ow.Close()
	}
}

// renewUpstream renews an upstream's grants.
func (gw *Gateway) renewUpstream(cmd renewal.RenewCmd) {
	pl, known := (*gw.places.Load())[cmd.Upstream]
	go func() {
		result := renewal.ResultMsg{Upstream: cmd.Upstream, Reached: known}
		for _, sh := range cmd.Shares {
			if !known || !gw.mayRenew(sh) {
				break
			}
			gt := platform.Grant{Range: sh.Range, Epoch: sh.Owner.Epoch, Hold: renewal.Hold}
			outcome, err := gw.owners.at(cmd.Upstream, pl.address).Grant(gt, time.Now().Add(renewal.CallTimeout))
			if outcome == platform.GrantTaken {
				continue
			}
			gw.renewalFailed(sh, outcome, err)
			result.Reached = outcome == platform.GrantSuperseded || outcome == platform.GrantRefused
			result.Superseded = outcome == platform.GrantSuperseded
			if !result.Reached {
				break
			}
		}
		gw.send(agent.RenewedMsg(result))
	}()
}

func (gw *Gateway) renewalFailed(sh assignment.Share, outcome platform.GrantResult, err error) {
	fields := eventlog.Fields{"upstream": sh.Owner.Upstream, "from": sh.From, "to": sh.To, "epoch": sh.Owner.Epoch, "result": outcome, "revision": gw.table.Load().Revision}
	if err != nil {
		fields["error"] = err
	}
	gw.cf.Journal.Event("renewalFailed", fields)
}

// mayRenew tells whether a share is still its owner's by the newest table, and
// whether that was confirmed not long ago.
func (gw *Gateway) mayRenew(sh assignment.Share) bool {
	if int64(gw.clock.Now())-gw.confirmedAt.Load() > int64(renewal.ConfirmTime) {
		return false
	}
	now, found := gw.table.Load().Owner(sh.Service, sh.From)
	return found && !now.Moving() && now.Owner == sh.Owner && now.Holds(sh.To)
}

// call makes a call of the leader's core.
func (gw *Gateway) call(cmd leader.CallCmd) {
	pl, known := (*gw.places.Load())[cmd.Upstream]
	go func() {
		msg := leader.StepMsg{Move: cmd.Move, Step: cmd.Step}
		result, err := platform.GrantUnknown, error(nil)
		led := gw.clock.Now().Sub(clock.Instant(gw.ledAt.Load()))
		if known && led < election.LeaseTime {
			ow := gw.owners.at(cmd.Upstream, pl.address)
			deadline := time.Now().Add(cmd.Timeout)
			if cmd.Step == leader.Release {
				var handover keyspace.Handover
				result, handover, err = ow.Release(cmd.Range, cmd.Epoch, deadline)
				msg.Handover = handover
			} else {
				result, err = ow.Grant(platform.Grant{Range: cmd.Range, Epoch: cmd.Epoch, Hold: cmd.Hold, Handover: cmd.Handover}, deadline)
			}
		}
		msg.Result = stepResult(result)
		if result != platform.GrantTaken {
			fields := eventlog.Fields{"step": cmd.Step, "upstream": cmd.Upstream, "from": cmd.Range.From, "to": cmd.Range.To, "epoch": cmd.Epoch, "result": result, "listed": known, "confirmedAgoMs": led.Milliseconds()}
			if err != nil {
				fields["error"] = err
			}
			gw.cf.Journal.Event("stepFailed", fields)
		}
		gw.send(agent.StepMsg(msg))
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
