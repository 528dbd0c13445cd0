package dump

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"chervilwalk/internal/fleet/clock"
)

// Text is the readable form of a snapshot.
func Text(sn *Snapshot) string {
	var sb strings.Builder
	tw := tabwriter.NewWriter(&sb, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	line("host %s, domain %s: %s, running for %s", sn.Host, sn.Domain, sn.State, sn.Clock.Sub(sn.Started).Round(time.Second))
	bundleText(sn, line)
	termText(sn, line)
	for ix := range sn.Pools {
		poolText(sn, &sn.Pools[ix], line)
	}
	line("\nroutes: %d pools", len(sn.Routes))
	for _, rt := range sn.Routes {
		line("  %s\t%s", rt.Pool, rt.Holder)
	}
	line("\nrequests of this entry, by verdict")
	for _, vd := range sn.Verdicts {
		line("  %s\t%s\t%d", vd.Service, vd.Verdict, vd.Count)
	}
	line("\npeers that answered")
	for _, pe := range sn.Peers {
		line("  %s\tbundle %d\t%s ago", pe.Address, pe.Version, sn.Clock.Sub(pe.Answered).Round(time.Millisecond))
	}
	_ = tw.Flush()
	return sb.String()
}

func bundleText(sn *Snapshot, line func(string, ...any)) {
	bn := &sn.Bundle
	if bn.Version == 0 {
		line("bundle: none in force yet")
		return
	}
	line("bundle: version %d, signed with key %s", bn.Version, bn.Key)
	for _, out := range []struct {
		what  string
		names []string
	}{
		{"domains out", words(bn.OutDomains)},
		{"hosts out", words(bn.OutHosts)},
		{"upstreams out", words(bn.OutUpstreams)},
		{"leaving by the census", words(bn.Leaving)},
	} {
		if len(out.names) > 0 {
			line("  %s: %s", out.what, strings.Join(out.names, ", "))
		}
	}
	for _, text := range bn.Contradictions {
		line("  settings contradict it: %s", text)
	}
}

func termText(sn *Snapshot, line func(string, ...any)) {
	switch {
	case sn.Term.Leads:
		line("leader: this node, term %d, %s", sn.Term.Number, lasting(sn, sn.Term.Until))
	case sn.Term.Leader != "":
		line("leader: %s, term %d", sn.Term.Leader, sn.Term.Number)
	default:
		line("leader: none known")
	}
}

func poolText(sn *Snapshot, pl *Pool, line func(string, ...any)) {
	line("\npool %s: term %d, epoch %d, lease %s; %d queued, %d of them without an owner",
		pl.Name, pl.Term, pl.Epoch, lasting(sn, pl.Until), pl.Queued, pl.Ownerless)
	line("  upstream\tin flight\tlimit\tslots\tqueued\tslices\ttoken\tgrant\twhy limited")
	for _, up := range pl.Upstreams {
		granted := "none"
		if up.Until != 0 {
			granted = lasting(sn, up.Until)
		}
		line("  %s\t%d\t%d\t%d\t%d\t%d\t%d.%d.%d\t%s\t%s", up.Name, up.InFlight, up.Limit, up.Slots, up.Queued, up.Slices,
			up.Token.Term, up.Token.Epoch, up.Token.Seq, granted, up.Why)
	}
}

// lasting says how long a right lasts yet, or that it has lapsed.
func lasting(sn *Snapshot, until clock.Instant) string {
	if !sn.Clock.Before(until) {
		return "lapsed"
	}
	return until.Sub(sn.Clock).Round(time.Millisecond).String() + " left"
}
