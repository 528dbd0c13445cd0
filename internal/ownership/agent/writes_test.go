package agent_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/peer/protocol"
)

// leadingHost is the core of a host that leads, and its newest commands.
type leadingHost struct {
	core    *agent.Core
	now     clock.Instant
	writes  []agent.WriteCmd
	reads   int
	version election.Version
}

// newLeadingHost returns a host that leads and has dealt the keys of one service.
func newLeadingHost(gm *WithT) *leadingHost {
	lh := &leadingHost{now: clock.Instant(time.Hour)}
	lh.core = agent.New(assignment.Member{Host: "h0", Domain: "a", Address: "10.0.0.1:1", Incarnation: 1, Alive: true}, 1)
	up := leader.Upstream{ID: "u0", Service: service, Domain: "a", Slots: 2, Usable: true, ColdRate: 2}
	lh.send(agent.UpstreamsMsg{
		ForLeader: leader.UpstreamsMsg{Keyed: map[ident.Service]bool{service: true}, Upstreams: []leader.Upstream{up}},
		Domains:   map[ident.Upstream]ident.Domain{"u0": "a"},
	})
	for range 400 {
		lh.tick()
		if lh.reads > 0 && len(lh.writes) == 0 && !lh.core.Leading() {
			lh.reads = 0
			lh.send(agent.RowsMsg{StartedAt: lh.now, Table: &assignment.Table{}})
		}
		for len(lh.writes) > 0 {
			lh.answer(agent.Done)
		}
		if len(lh.core.Table().Shares) > 0 {
			break
		}
	}
	gm.Expect(lh.core.Leading()).To(BeTrue())
	gm.Expect(lh.core.Table().Shares).NotTo(BeEmpty())
	return lh
}

func (lh *leadingHost) send(msg any) {
	for _, cmd := range lh.core.Update(lh.now, msg) {
		switch cmd := cmd.(type) {
		case agent.WriteCmd:
			lh.writes = append(lh.writes, cmd)
		case agent.ReadCmd:
			lh.reads++
		case agent.StatusCmd:
			if cmd.To == "" {
				lh.send(agent.StatusMsg{Status: cmd.Status})
			}
		}
	}
}

func (lh *leadingHost) tick() {
	lh.now = lh.now.Add(20 * time.Millisecond)
	lh.send(agent.TickMsg{})
}

// answer answers the oldest write, with the next version if it was done.
func (lh *leadingHost) answer(outcome agent.Outcome) {
	ms := agent.WrittenMsg{Write: lh.writes[0], StartedAt: lh.now, Outcome: outcome}
	lh.writes = lh.writes[1:]
	if outcome == agent.Done {
		lh.version++
		ms.Version = lh.version
	}
	lh.send(ms)
}

// nextWrite ticks until a write of the assignment is due; it answers those of the
// leader's row.
func (lh *leadingHost) nextWrite(gm *WithT) agent.WriteCmd {
	for range 400 {
		if len(lh.writes) > 0 {
			if lh.writes[0].Table != nil {
				return lh.writes[0]
			}
			lh.answer(agent.Done)
			continue
		}
		lh.tick()
	}
	gm.Expect(lh.writes).NotTo(BeEmpty(), "the host wrote no assignment")
	return agent.WriteCmd{}
}

// change makes the leader write a new assignment: an upstream joins another.
func (lh *leadingHost) change(id ident.Upstream) {
	var ups []leader.Upstream
	domains := map[ident.Upstream]ident.Domain{}
	for _, id := range []ident.Upstream{"u0", id} {
		ups = append(ups, leader.Upstream{ID: id, Service: service, Domain: "a", Slots: 2, Usable: id != "u0", ColdRate: 2})
		domains[id] = "a"
	}
	lh.send(agent.UpstreamsMsg{ForLeader: leader.UpstreamsMsg{Keyed: map[ident.Service]bool{service: true}, Upstreams: ups}, Domains: domains})
}

// TestLateWriteGetsARevisionOfItsOwn covers a write of the assignment that the
// store applies long after its answer was lost, while a second write fails. The
// third write must not reuse its revision: hosts that read the first table would
// apply deltas to other shares than the leader.
func TestLateWriteGetsARevisionOfItsOwn(t *testing.T) {
	gm := NewWithT(t)
	lh := newLeadingHost(gm)
	before, rowVersion := *lh.core.Table(), lh.version
	lh.change("u1")
	late := lh.nextWrite(gm)
	gm.Expect(late.Table.Revision).To(Equal(before.Revision + 1))
	tableVersion := late.TableVersion
	rowVersion = late.RowVersion
	row := election.Row{Term: 1, Host: "h0", Address: "10.0.0.1:1", Incarnation: 1}
	lh.answer(agent.Unknown)
	lh.send(agent.RowsMsg{StartedAt: lh.now, Row: row, RowVersion: rowVersion, Table: &before, TableVersion: tableVersion})
	for len(lh.writes) == 0 {
		lh.tick()
	}
	// The store is unreachable: neither the next write nor the next read succeeds.
	for len(lh.writes) > 0 {
		lh.answer(agent.NotDone)
	}
	// The late write has taken effect.
	lh.version++
	lh.send(agent.RowsMsg{StartedAt: lh.now, Row: row, RowVersion: rowVersion, Table: late.Table, TableVersion: lh.version})
	next := lh.nextWrite(gm)
	gm.Expect(next.Table.Revision).To(Equal(late.Table.Revision+1), "the revision after the table in the store")
	gm.Expect(next.TableVersion).To(BeNumerically(">", tableVersion))
}

// TestOvertakenReadIsIgnored covers a read of the rows that returns after a later
// write was confirmed. Its older table must not become the base of the next write.
func TestOvertakenReadIsIgnored(t *testing.T) {
	gm := NewWithT(t)
	lh := newLeadingHost(gm)
	before := *lh.core.Table()
	lh.change("u1")
	first := lh.nextWrite(gm)
	lh.answer(agent.Done)
	written := lh.version
	row := election.Row{Term: 1, Host: "h0", Address: "10.0.0.1:1", Incarnation: 1}
	lh.send(agent.RowsMsg{StartedAt: lh.now, Row: row, RowVersion: first.RowVersion, Table: &before, TableVersion: first.TableVersion})
	joined := assignment.Member{Host: "h1", Domain: "a", Address: "10.0.0.2:1", Incarnation: 1, Alive: true}
	lh.send(agent.StatusMsg{Status: protocol.Status{Member: joined}, From: joined.Address})
	next := lh.nextWrite(gm)
	gm.Expect(next.TableVersion).To(BeNumerically(">=", written))
	gm.Expect(next.Table.Revision).To(Equal(first.Table.Revision + 1))
}

// TestLostTable guards against an odd assignment in the store that stays there, and against
// the revision and the epochs of a lost write in the one that replaces it.
func TestLostTable(t *testing.T) {
	gm := NewWithT(t)
	lh := newLeadingHost(gm)
	before := *lh.core.Table()
	lh.change("u1")
	lost := lh.nextWrite(gm)
	row := election.Row{Term: 1, Host: "h0", Address: "10.0.0.1:1", Incarnation: 1}
	lh.answer(agent.Unknown)
	lh.version += 2
	oddVersion := lh.version
	lh.send(agent.RowsMsg{StartedAt: lh.now, Row: row, RowVersion: lost.RowVersion, Table: &assignment.Table{}, TableVersion: oddVersion, TableUnreadable: true})
	gm.Expect(lh.core.Leading()).To(BeTrue())
	next := lh.nextWrite(gm)
	gm.Expect(next.TableVersion).To(Equal(oddVersion), "it replaces the odd row")
	gm.Expect(next.Table.Revision).To(BeNumerically(">", lost.Table.Revision))
	gm.Expect(next.Table.LastEpoch).To(BeNumerically(">=", before.LastEpoch+1<<13))
}
