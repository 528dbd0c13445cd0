package inner

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/rollout"
)

// Whatever a peer sends, the codecs neither panic nor change what they pass on.
func FuzzCodecs(f *testing.F) {
	notice := encodeNotice(Notice{Version: 7, Leaving: rollout.Leaving{Known: true, Hosts: []ident.Host{"n1"}, Age: time.Second}})
	seal := encodeSeal(bundle.Seal{
		Version: 7, Key: "alice", Signature: []byte{1}, Body: []byte("version: 7"), KeysSignature: []byte{2},
		Lineage: []bundle.KeyChange{{Version: 3, Key: "alice", Signature: []byte{3}, Keys: []bundle.TrustedKey{{Name: "bob", Public: []byte{4}}}}},
	})
	call := &innerpb.ForwardRequest{Id: "r1", Pool: "lookup@a#0", Method: "GET", Path: []byte("/lookup/1"), Headers: []*innerpb.Header{{Name: "Accept", Value: []byte("*/*")}}}
	envelope := &innerpb.Envelope{From: "n1", Body: &innerpb.Envelope_BundleNotice{BundleNotice: notice}}
	for _, pb := range []proto.Message{notice, seal, call, envelope} {
		data, err := proto.Marshal(pb)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var nt innerpb.BundleNotice
		if proto.Unmarshal(data, &nt) == nil {
			once := decodeNotice(&nt)
			if twice := decodeNotice(encodeNotice(once)); !reflect.DeepEqual(once, twice) {
				t.Fatalf("notice %+v became %+v", once, twice)
			}
		}
		var fr innerpb.FetchBundleReply
		if proto.Unmarshal(data, &fr) == nil {
			once := decodeSeal(&fr)
			if twice := decodeSeal(encodeSeal(once)); !reflect.DeepEqual(once, twice) {
				t.Fatalf("seal %+v became %+v", once, twice)
			}
		}
		var en innerpb.Envelope
		if proto.Unmarshal(data, &en) == nil {
			_, _ = DecodeNotice(&en)
		}
		fuzzCall(t, data)
	})
}

func fuzzCall(t *testing.T, data []byte) {
	var rq innerpb.ForwardRequest
	if proto.Unmarshal(data, &rq) != nil {
		return
	}
	once := decodeCall(&rq)
	twice := decodeCall(encodeCall(once))
	once.Deadline, twice.Deadline = time.Time{}, time.Time{}
	if !reflect.DeepEqual(once.Header, twice.Header) || once.ID != twice.ID || once.Path != twice.Path || once.Pool != twice.Pool {
		t.Fatalf("call %+v became %+v", once, twice)
	}
}
