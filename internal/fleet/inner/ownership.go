package inner

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/platform/table"
)

// Tell sends a notice on ownership; it may be lost without a word. ErrBusy says
// that it was not sent at all.
func (pe *Peer) Tell(from ident.Host, notice exchange.Notice) error {
	return pe.talk.send(EncodeNotice(from, notice))
}

// EncodeNotice writes a notice on ownership.
func EncodeNotice(from ident.Host, notice exchange.Notice) *innerpb.Envelope {
	en := &innerpb.Envelope{From: string(from)}
	switch nt := notice.(type) {
	case exchange.Beat:
		en.Body = &innerpb.Envelope_Beat{Beat: encodeBeat(nt)}
	case exchange.Lease:
		en.Body = &innerpb.Envelope_Lease{Lease: encodeLease(nt)}
	case exchange.Ask:
		en.Body = &innerpb.Envelope_Ask{Ask: &innerpb.Ask{Round: nt.Round, Term: nt.Term, Table: nt.Table, Withdrawn: nt.Withdrawn}}
	case exchange.Vote:
		en.Body = &innerpb.Envelope_Vote{Vote: &innerpb.Vote{Round: nt.Round, Granted: nt.Granted, Term: nt.Term}}
	case exchange.Lead:
		en.Body = &innerpb.Envelope_Lead{Lead: &innerpb.Lead{Leader: string(nt.Leader), Term: nt.Term}}
	case exchange.Seek:
		en.Body = &innerpb.Envelope_Seek{Seek: &innerpb.Seek{}}
	case exchange.Carry:
		en.Body = &innerpb.Envelope_Carry{Carry: &innerpb.Carry{Tag: nt.Tag, Number: nt.Number, Key: nt.Key, Writes: encodeWrites(nt.Writes)}}
	case exchange.Carried:
		en.Body = &innerpb.Envelope_Carried{Carried: &innerpb.Carried{
			Tag: nt.Tag, Number: nt.Number, Outcome: int32(nt.Result.Outcome), Rows: encodeRows(nt.Result.Rows),
		}}
	default:
		encodePoolNotice(en, notice)
	}
	return en
}

// encodePoolNotice writes the notices on pools and routes.
func encodePoolNotice(en *innerpb.Envelope, notice exchange.Notice) {
	switch nt := notice.(type) {
	case exchange.Copy:
		en.Body = &innerpb.Envelope_Copy{Copy: &innerpb.Copy{Pool: string(nt.Pool), Number: nt.Number, Value: nt.Value}}
	case exchange.Copied:
		en.Body = &innerpb.Envelope_Copied{Copied: &innerpb.Copied{Pool: string(nt.Pool), Number: nt.Number}}
	case exchange.Recall:
		en.Body = &innerpb.Envelope_Recall{Recall: &innerpb.Recall{Pool: string(nt.Pool)}}
	case exchange.Recalled:
		en.Body = &innerpb.Envelope_Recalled{Recalled: &innerpb.Recalled{Pool: string(nt.Pool), Value: nt.Value}}
	case exchange.Offer:
		en.Body = &innerpb.Envelope_Offer{Offer: encodeOffer(nt)}
	case exchange.Want:
		en.Body = &innerpb.Envelope_Want{Want: &innerpb.Want{}}
	case exchange.Told:
		en.Body = &innerpb.Envelope_Told{Told: &innerpb.Told{Offer: encodeOffer(nt.Offer), Routes: encodeHoldings(nt.Routes)}}
	case exchange.Place:
		en.Body = &innerpb.Envelope_Place{Place: &innerpb.Place{Service: string(nt.Service), Version: uint64(nt.Version), Value: nt.Value}}
	case exchange.WantPlace:
		en.Body = &innerpb.Envelope_WantPlace{WantPlace: &innerpb.WantPlace{Service: string(nt.Service), Known: uint64(nt.Known)}}
	case exchange.Neighbour:
		en.Body = &innerpb.Envelope_Neighbour{Neighbour: encodeNeighbour(nt)}
	}
}

// DecodeNotice reads a notice on ownership; false for any other message.
func DecodeNotice(en *innerpb.Envelope) (exchange.Notice, bool) {
	switch bd := en.GetBody().(type) {
	case *innerpb.Envelope_Beat:
		return decodeBeat(bd.Beat), true
	case *innerpb.Envelope_Lease:
		return decodeLease(bd.Lease), true
	case *innerpb.Envelope_Ask:
		return exchange.Ask{Round: bd.Ask.GetRound(), Term: bd.Ask.GetTerm(), Table: bd.Ask.GetTable(), Withdrawn: bd.Ask.GetWithdrawn()}, true
	case *innerpb.Envelope_Vote:
		return exchange.Vote{Round: bd.Vote.GetRound(), Granted: bd.Vote.GetGranted(), Term: bd.Vote.GetTerm()}, true
	case *innerpb.Envelope_Lead:
		return exchange.Lead{Leader: ident.Host(bd.Lead.GetLeader()), Term: bd.Lead.GetTerm()}, true
	case *innerpb.Envelope_Seek:
		return exchange.Seek{}, true
	case *innerpb.Envelope_Carry:
		return exchange.Carry{
			Tag: bd.Carry.GetTag(), Number: bd.Carry.GetNumber(), Key: bd.Carry.GetKey(), Writes: decodeWrites(bd.Carry.GetWrites()),
		}, true
	case *innerpb.Envelope_Carried:
		rs := table.Result{Outcome: table.Outcome(bd.Carried.GetOutcome()), Rows: decodeRows(bd.Carried.GetRows())}
		return exchange.Carried{Tag: bd.Carried.GetTag(), Number: bd.Carried.GetNumber(), Result: rs}, true
	default:
		return decodePoolNotice(en)
	}
}

func decodePoolNotice(en *innerpb.Envelope) (exchange.Notice, bool) {
	switch bd := en.GetBody().(type) {
	case *innerpb.Envelope_Copy:
		return exchange.Copy{Pool: ident.Pool(bd.Copy.GetPool()), Number: bd.Copy.GetNumber(), Value: bd.Copy.GetValue()}, true
	case *innerpb.Envelope_Copied:
		return exchange.Copied{Pool: ident.Pool(bd.Copied.GetPool()), Number: bd.Copied.GetNumber()}, true
	case *innerpb.Envelope_Recall:
		return exchange.Recall{Pool: ident.Pool(bd.Recall.GetPool())}, true
	case *innerpb.Envelope_Recalled:
		return exchange.Recalled{Pool: ident.Pool(bd.Recalled.GetPool()), Value: bd.Recalled.GetValue()}, true
	case *innerpb.Envelope_Offer:
		return decodeOffer(bd.Offer), true
	case *innerpb.Envelope_Want:
		return exchange.Want{}, true
	case *innerpb.Envelope_Told:
		return exchange.Told{Offer: decodeOffer(bd.Told.GetOffer()), Routes: decodeHoldings(bd.Told.GetRoutes())}, true
	case *innerpb.Envelope_Place:
		return exchange.Place{
			Service: ident.Service(bd.Place.GetService()), Version: table.Version(bd.Place.GetVersion()), Value: bd.Place.GetValue(),
		}, true
	case *innerpb.Envelope_WantPlace:
		return exchange.WantPlace{Service: ident.Service(bd.WantPlace.GetService()), Known: table.Version(bd.WantPlace.GetKnown())}, true
	case *innerpb.Envelope_Neighbour:
		return decodeNeighbour(bd.Neighbour), true
	default:
		return nil, false
	}
}

func encodeBeat(bt exchange.Beat) *innerpb.Beat {
	return &innerpb.Beat{
		Incarnation: uint64(bt.Incarnation), Reading: int64(bt.Reading), Echo: int64(bt.Echo), Term: bt.Term,
		Promise: bt.Promise, Assignment: bt.Assignment, Routes: bt.Routes,
		Held: encodeClaims(bt.Held), Refused: encodeClaims(bt.Refused), Leaving: bt.Leaving,
	}
}

func decodeBeat(pb *innerpb.Beat) exchange.Beat {
	return exchange.Beat{
		Incarnation: exchange.Incarnation(pb.GetIncarnation()), Reading: clock.Instant(pb.GetReading()),
		Echo: clock.Instant(pb.GetEcho()), Term: pb.GetTerm(), Promise: pb.GetPromise(),
		Assignment: pb.GetAssignment(), Routes: pb.GetRoutes(),
		Held: decodeClaims(pb.GetHeld()), Refused: decodeClaims(pb.GetRefused()), Leaving: pb.GetLeaving(),
	}
}

func encodeClaims(list []exchange.Claim) []*innerpb.Claim {
	var out []*innerpb.Claim
	for _, cl := range list {
		out = append(out, &innerpb.Claim{Pool: string(cl.Pool), Term: cl.Term, Epoch: cl.Epoch})
	}
	return out
}

func decodeClaims(list []*innerpb.Claim) []exchange.Claim {
	var out []exchange.Claim
	for _, pb := range list {
		out = append(out, exchange.Claim{Pool: ident.Pool(pb.GetPool()), Term: pb.GetTerm(), Epoch: pb.GetEpoch()})
	}
	return out
}

func encodeLease(ls exchange.Lease) *innerpb.Lease {
	pb := &innerpb.Lease{
		Term: ls.Term, Counter: ls.Counter, Witnessed: ls.Witnessed, Incarnation: uint64(ls.Incarnation),
		Reading: int64(ls.Reading), Heard: int64(ls.Heard), Until: int64(ls.Until),
		Assignment: ls.Assignment, Changed: ls.Changed, RouteNumber: ls.RouteNumber, Routes: encodeHoldings(ls.Routes),
	}
	for _, as := range ls.Pools {
		pb.Pools = append(pb.Pools, &innerpb.Assigned{
			Pool: string(as.Pool), Term: as.Term, Epoch: as.Epoch, QuietNanos: as.Quiet.Nanoseconds(),
		})
	}
	return pb
}

func decodeLease(pb *innerpb.Lease) exchange.Lease {
	ls := exchange.Lease{
		Term: pb.GetTerm(), Counter: pb.GetCounter(), Witnessed: pb.GetWitnessed(),
		Incarnation: exchange.Incarnation(pb.GetIncarnation()), Reading: clock.Instant(pb.GetReading()),
		Heard: clock.Instant(pb.GetHeard()), Until: clock.Instant(pb.GetUntil()),
		Assignment: pb.GetAssignment(), Changed: pb.GetChanged(), RouteNumber: pb.GetRouteNumber(),
		Routes: decodeHoldings(pb.GetRoutes()),
	}
	for _, as := range pb.GetPools() {
		ls.Pools = append(ls.Pools, exchange.Assigned{
			Pool: ident.Pool(as.GetPool()), Term: as.GetTerm(), Epoch: as.GetEpoch(), Quiet: time.Duration(as.GetQuietNanos()),
		})
	}
	return ls
}

func encodeHoldings(list []exchange.Holding) []*innerpb.Holding {
	var out []*innerpb.Holding
	for _, hl := range list {
		out = append(out, &innerpb.Holding{Pool: string(hl.Pool), Holder: string(hl.Holder)})
	}
	return out
}

func decodeHoldings(list []*innerpb.Holding) []exchange.Holding {
	var out []exchange.Holding
	for _, pb := range list {
		out = append(out, exchange.Holding{Pool: ident.Pool(pb.GetPool()), Holder: ident.Host(pb.GetHolder())})
	}
	return out
}

func encodeOffer(of exchange.Offer) *innerpb.Offer {
	return &innerpb.Offer{Domain: string(of.Domain), Leader: string(of.Leader), Term: of.Term, Number: of.Number}
}

func decodeOffer(pb *innerpb.Offer) exchange.Offer {
	return exchange.Offer{
		Domain: ident.Domain(pb.GetDomain()), Leader: ident.Host(pb.GetLeader()), Term: pb.GetTerm(), Number: pb.GetNumber(),
	}
}

func encodeWrites(list []table.Write) []*innerpb.Row {
	var out []*innerpb.Row
	for _, wr := range list {
		out = append(out, &innerpb.Row{Key: wr.Key, Version: uint64(wr.Base), Value: wr.Value})
	}
	return out
}

func decodeWrites(list []*innerpb.Row) []table.Write {
	var out []table.Write
	for _, pb := range list {
		out = append(out, table.Write{Key: pb.GetKey(), Base: table.Version(pb.GetVersion()), Value: pb.GetValue()})
	}
	return out
}

func encodeRows(list []table.Row) []*innerpb.Row {
	var out []*innerpb.Row
	for _, rw := range list {
		out = append(out, &innerpb.Row{Key: rw.Key, Version: uint64(rw.Version), Value: rw.Value})
	}
	return out
}

func decodeRows(list []*innerpb.Row) []table.Row {
	var out []table.Row
	for _, pb := range list {
		out = append(out, table.Row{Key: pb.GetKey(), Version: table.Version(pb.GetVersion()), Value: pb.GetValue()})
	}
	return out
}
