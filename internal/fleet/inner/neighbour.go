package inner

import (
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/platform/table"
)

func encodeNeighbour(nt exchange.Neighbour) *innerpb.Neighbour {
	return &innerpb.Neighbour{
		Kind: uint32(nt.Kind), From: string(nt.From), Leader: string(nt.Leader), To: string(nt.To), About: string(nt.About),
		Term: nt.Term, Reading: int64(nt.Reading), Until: int64(nt.Until), Row: uint64(nt.Row),
		EchoTerm: nt.EchoTerm, Echo: int64(nt.Echo), Flag: nt.Flag,
	}
}

func decodeNeighbour(pb *innerpb.Neighbour) exchange.Neighbour {
	return exchange.Neighbour{
		Kind: exchange.NeighbourKind(pb.GetKind()), From: ident.Domain(pb.GetFrom()), Leader: ident.Host(pb.GetLeader()),
		To: ident.Domain(pb.GetTo()), About: ident.Domain(pb.GetAbout()),
		Term: pb.GetTerm(), Reading: clock.Instant(pb.GetReading()), Until: clock.Instant(pb.GetUntil()),
		Row: table.Version(pb.GetRow()), EchoTerm: pb.GetEchoTerm(), Echo: clock.Instant(pb.GetEcho()), Flag: pb.GetFlag(),
	}
}
