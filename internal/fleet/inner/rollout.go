package inner

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/rollout"
)

// Notice is what a node tells another of the bundle and the census.
type Notice struct {
	Version bundle.Version
	Leaving rollout.Leaving
}

// FetchBundle returns the signed bundle in force, if the asking node knows no
// version as high.
func (hn *handler) FetchBundle(_ context.Context, rq *connect.Request[innerpb.FetchBundleRequest]) (*connect.Response[innerpb.FetchBundleReply], error) {
	sl, ok := hn.service.Seal()
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("this node has no bundle yet"))
	}
	if uint64(sl.Version) <= rq.Msg.GetKnownVersion() {
		return connect.NewResponse(&innerpb.FetchBundleReply{Version: uint64(sl.Version)}), nil
	}
	return connect.NewResponse(encodeSeal(sl)), nil
}

// Notice tells the peer what this node has, and returns what the peer has.
func (pe *Peer) Notice(ctx context.Context, from ident.Host, nt Notice) (Notice, error) {
	rs, err := pe.client.Tell(ctx, connect.NewRequest(&innerpb.Envelope{
		From: string(from),
		Body: &innerpb.Envelope_BundleNotice{BundleNotice: encodeNotice(nt)},
	}))
	if err != nil {
		return Notice{}, err
	}
	return decodeNotice(rs.Msg.GetBundleNotice()), nil
}

// FetchBundle returns the peer's signed bundle, or only its version when that
// is not above the known one; the caller checks the seal.
func (pe *Peer) FetchBundle(ctx context.Context, known bundle.Version) (bundle.Seal, error) {
	rs, err := pe.packed.FetchBundle(ctx, connect.NewRequest(&innerpb.FetchBundleRequest{KnownVersion: uint64(known)}))
	if err != nil {
		return bundle.Seal{}, err
	}
	return decodeSeal(rs.Msg), nil
}

func encodeNotice(nt Notice) *innerpb.BundleNotice {
	pb := &innerpb.BundleNotice{
		Version: uint64(nt.Version), LeavingKnown: nt.Leaving.Known, LeavingAgeMillis: nt.Leaving.Age.Milliseconds(),
	}
	for _, ho := range nt.Leaving.Hosts {
		pb.Leaving = append(pb.Leaving, string(ho))
	}
	return pb
}

func decodeNotice(pb *innerpb.BundleNotice) Notice {
	nt := Notice{Version: bundle.Version(pb.GetVersion())}
	nt.Leaving.Known = pb.GetLeavingKnown() && pb.GetLeavingAgeMillis() >= 0
	if !nt.Leaving.Known {
		return nt
	}
	nt.Leaving.Age = time.Duration(min(pb.GetLeavingAgeMillis(), maxAgeMillis)) * time.Millisecond
	for _, name := range pb.GetLeaving() {
		nt.Leaving.Hosts = append(nt.Leaving.Hosts, ident.Host(name))
	}
	return nt
}

// maxAgeMillis bounds the age that a peer may state; a year.
const maxAgeMillis = 365 * 24 * 3600 * 1000

func encodeSeal(sl bundle.Seal) *innerpb.FetchBundleReply {
	pb := &innerpb.FetchBundleReply{
		Body: sl.Body, Signature: sl.Signature, Key: sl.Key, Version: uint64(sl.Version), KeysSignature: sl.KeysSignature,
	}
	for _, kc := range sl.Lineage {
		change := &innerpb.KeyChange{Version: uint64(kc.Version), Key: kc.Key, Signature: kc.Signature}
		for _, tk := range kc.Keys {
			change.Keys = append(change.Keys, &innerpb.TrustedKey{Name: tk.Name, Public: tk.Public})
		}
		pb.Lineage = append(pb.Lineage, change)
	}
	return pb
}

func decodeSeal(pb *innerpb.FetchBundleReply) bundle.Seal {
	sl := bundle.Seal{
		Version: bundle.Version(pb.GetVersion()), Key: pb.GetKey(), Signature: pb.GetSignature(),
		Body: pb.GetBody(), KeysSignature: pb.GetKeysSignature(),
	}
	for _, change := range pb.GetLineage() {
		kc := bundle.KeyChange{Version: bundle.Version(change.GetVersion()), Key: change.GetKey(), Signature: change.GetSignature()}
		for _, tk := range change.GetKeys() {
			kc.Keys = append(kc.Keys, bundle.TrustedKey{Name: tk.GetName(), Public: tk.GetPublic()})
		}
		sl.Lineage = append(sl.Lineage, kc)
	}
	return sl
}
