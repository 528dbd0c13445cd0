package permit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// cut plays one holder with nine upstreams in three domains, some of which are not reached. Each
// upstream gets 10 asks a second.
type cut struct {
	*simulation
	// lost says over which links requests are lost.
	lost func(from, to ident.Domain) bool
	// keys is how many keys, from the first on, callers ask for.
	keys int
	// sent counts the permits for the upstreams of each domain.
	sent map[ident.Domain]int
	// sentTo counts those for each upstream.
	sentTo map[ident.Upstream]int
	// refused counts the refused asks by reason.
	refused map[string]int
}

func newCut(keyed bool) *cut {
	ct := &cut{simulation: newSimulation(3, keyed, repeat(9, 100*time.Millisecond)...), lost: func(_, _ ident.Domain) bool { return false }, keys: keyspace.Count}
	ct.update(permit.ConfirmedMsg{Until: clock.Never})
	return ct
}

// handle executes the core's commands.
func (ct *cut) handle(cmds []permit.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case permit.RefuseCmd:
			ct.refused[cmd.Refusal.Reason]++
		case permit.IssueCmd:
			to := ident.Domain("d" + string('0'+(cmd.Permit.Upstream[1]-'0')%3))
			ct.sent[to]++
			ct.sentTo[cmd.Permit.Upstream]++
			took, outcome := 100*time.Millisecond, permit.Answered
			if ct.lost(cmd.Ask.Domain, to) {
				took, outcome = 350*time.Millisecond, permit.Unreached
			}
			ct.schedule(took, func() {
				ct.handle(ct.core.Update(ct.now, permit.DoneMsg{Done: protocol.Done{
					Host: cmd.Ask.Host, Ticket: cmd.Ask.Ticket, Service: service, Upstream: cmd.Permit.Upstream, Outcome: uint8(outcome), Took: took,
				}}))
			})
		}
	}
}

// play sends asks of callers in some domains for a time.
func (ct *cut) play(duration time.Duration, domains ...ident.Domain) {
	ct.sent, ct.sentTo, ct.refused = map[ident.Domain]int{}, map[ident.Upstream]int{}, map[string]int{}
	for at := time.Duration(0); at < duration; at += time.Second / 90 {
		ct.schedule(at, func() {
			ct.ticket++
			ct.handle(ct.core.Update(ct.now, permit.TickMsg{}))
			ct.handle(ct.core.Update(ct.now, permit.AskMsg{Ask: protocol.Ask{
				Host: "a", Ticket: ct.ticket, Service: service, Domain: domains[int(ct.ticket)%len(domains)], Keyed: ct.keyed,
				Key: keyspace.Key(ct.rng.Intn(ct.keys)), ObjectiveLeft: objective, TimeLeft: limit, Repeatable: true,
			}}))
		})
	}
	ct.advance(duration)
}

// TestCutOffDomain guards against a domain that is cut off and sends its load to others that it
// does not reach, and against one that is back and takes theirs for cold for seconds.
func TestCutOffDomain(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "any upstream": false} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			ct := newCut(keyed)
			ct.play(3*time.Second, "d0")
			ct.lost = func(from, to ident.Domain) bool { return from != to }
			ct.play(1500*time.Millisecond, "d0")
			ct.play(4*time.Second, "d0")
			// Four probes a second over each of two links, and as much again at their ends.
			gm.Expect(ct.sent["d1"] + ct.sent["d2"]).To(BeNumerically("<=", 4*2*4*2))
			gm.Expect(ct.sent["d0"]).To(BeNumerically(">=", 4*25))
			if keyed {
				gm.Expect(ct.refused["domainUnreached"]).To(BeNumerically(">", 4*45))
			}
			gm.Expect(ct.refused["upstreamLimited"]).To(BeZero())
			ct.lost = func(_, _ ident.Domain) bool { return false }
			ct.update(permit.RestoredMsg{Domain: "d0"})
			ct.play(time.Second, "d0")
			gm.Expect(ct.refused["domainUnreached"]).To(BeZero())
			// 2.6 a second for each of three upstreams, and one at once for each.
			gm.Expect(ct.sent["d1"]).To(BeNumerically("<=", 3*2.6+3), "until the entries are known")
			ct.update(permit.ConfirmedMsg{Until: clock.Never, EntriesReadAt: ct.now})
			ct.play(time.Second, "d0")
			gm.Expect(ct.refused).To(BeEmpty())
			gm.Expect(ct.sent["d1"]).To(BeNumerically(">=", 20))
		})
	}
}

// TestDarkDomain guards against more than the cold rate for upstreams that come back cold with
// their whole domain, also for those that got no request meanwhile.
func TestDarkDomain(t *testing.T) {
	gm := NewWithT(t)
	ct := newCut(true)
	ct.play(3*time.Second, "d0", "d1")
	ct.lost = func(_, to ident.Domain) bool { return to == "d2" }
	// The keys of u8 are the last.
	ct.keys = keyspace.Count / 9 * 8
	ct.play(1500*time.Millisecond, "d0", "d1")
	ct.update(permit.ConfirmedMsg{Until: clock.Never, EntriesReadAt: ct.now.Add(time.Hour)})
	ct.lost, ct.keys = func(_, _ ident.Domain) bool { return false }, keyspace.Count
	ct.play(time.Second, "d0", "d1")
	for _, id := range []ident.Upstream{"u2", "u5", "u8"} {
		gm.Expect(ct.sentTo[id]).To(BeNumerically("<=", 2.6+1), "%s", id)
	}
	gm.Expect(ct.refused["domainUnreached"]).To(BeZero())
}
