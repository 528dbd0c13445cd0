package inner

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"chervilwalk/internal/fleet/inner/innerpb"
)

// futureField is a number that no message of the protocol uses.
const futureField = 4000

// What a newer program adds to a message is passed over, and what it does not
// send any more has its zero value.
func TestMessagesOfOtherProgramVersionsAreTolerated(t *testing.T) {
	gm := NewWithT(t)
	known, err := proto.Marshal(&innerpb.BundleNotice{Version: 7})
	gm.Expect(err).NotTo(HaveOccurred())
	extended := protowire.AppendTag(known, futureField, protowire.BytesType)
	extended = protowire.AppendBytes(extended, []byte("of the future"))
	var pb innerpb.BundleNotice
	gm.Expect(proto.Unmarshal(extended, &pb)).To(Succeed())
	gm.Expect(decodeNotice(&pb).Version).To(BeEquivalentTo(7))
	gm.Expect(decodeNotice(&pb).Leaving.Known).To(BeFalse())
	gm.Expect(decodeNotice(nil).Version).To(BeZero())

	unknown := protowire.AppendTag(nil, futureField, protowire.BytesType)
	unknown = protowire.AppendBytes(unknown, []byte("a message of the future"))
	var en innerpb.Envelope
	gm.Expect(proto.Unmarshal(unknown, &en)).To(Succeed())
	_, ok := DecodeNotice(&en)
	gm.Expect(ok).To(BeFalse())
}
