package gateway

import (
	"strconv"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// poolID is a pool of a service's upstreams.
type poolID struct {
	service ident.Service
	pool    int
}

// name returns the name by which the pool's holder is chosen.
func (pi poolID) name() string { return "permits/" + string(pi.service) + "/" + strconv.Itoa(pi.pool) }

// regularHolders holds the regular holders of pools by one assignment.
type regularHolders struct {
	table *assignment.Table
	hosts map[poolID]ident.Host
}

// regularHolder returns the member that issues the permits of a pool by the newest
// assignment that this host knows; empty if there is none.
func (pc *permitClient) regularHolder(pool poolID) ident.Host {
	if tb := pc.gw.table.Load(); pc.regular.table != tb {
		pc.regular = regularHolders{table: tb, hosts: map[poolID]ident.Host{}}
	}
	host, known := pc.regular.hosts[pool]
	if known {
		return host
	}
	if mb := preferredMember(pc.regular.table, pool, nil); mb != nil {
		host = mb.Host
	}
	pc.regular.hosts[pool] = host
	return host
}

// preferredMember returns the living member that comes first as the holder of a pool, of
// those that skip, if not nil, leaves; nil if none is left. All hosts with the same
// assignment prefer the same one.
func preferredMember(tb *assignment.Table, pool poolID, skip func(*assignment.Member) bool) *assignment.Member {
	var best *assignment.Member
	bestScore, name := 0.0, pool.name()
	for ix := range tb.Members {
		mb := &tb.Members[ix]
		if !mb.Alive || skip != nil && skip(mb) {
			continue
		}
		if score := ident.Score(name, string(mb.Host), holderWeight(mb)); best == nil || score > bestScore {
			best, bestScore = mb, score
		}
	}
	return best
}

// holderWeight is a member's weight in the choice of holders. It grows faster
// than fitness: a pool of a busy service costs some 1,400 datagrams a second,
// a tenth of a CPU and more, while a fit host can hold many pools.
func holderWeight(mb *assignment.Member) float64 { return float64(mb.Fitness * mb.Fitness) }

// holderTTL is how long after a host's assignment was confirmed no other host can have taken
// its place as a holder: the leader waits longer before it counts a member as lost.
const holderTTL = 1250 * time.Millisecond

// noteStoreConfirmation records when the store last confirmed the leader, by its heartbeat:
// not before this host sent the status that the heartbeat answers, less the age.
func (gw *Gateway) noteStoreConfirmation(now clock.Instant, hb protocol.Heartbeat) {
	if hb.Leader != "" && hb.Term >= gw.agent.Term() && hb.Echo <= now {
		gw.leaderConfirmedAt = max(gw.leaderConfirmedAt, hb.Echo.Add(-hb.StoreAge))
	}
}

// confirmHolder tells the permit core until when no other host can have become the holder
// of its pools.
func (gw *Gateway) confirmHolder() {
	confirmedAt := gw.leaderConfirmedAt
	if gw.agent.Leading() {
		confirmedAt = gw.agent.LeadershipConfirmed()
	}
	until := min(gw.agent.TableConfirmed().Add(holderTTL), confirmedAt.Add(election.LeaseTTL))
	gw.permits.Update(gw.clock.Now(), permit.ConfirmedMsg{Until: until, EntriesReadAt: gw.cache.readAt})
}
