package bundle_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/catalog/bundle"
)

// testKey returns a key pair derived from the name.
func testKey(name string) (bundle.TrustedKey, ed25519.PrivateKey) {
	seed := sha256.Sum256([]byte(name))
	private := ed25519.NewKeyFromSeed(seed[:])
	public, _ := private.Public().(ed25519.PublicKey)
	return bundle.TrustedKey{Name: name, Public: public}, private
}

// sealedSample returns the sample with the given version and the trusted keys of
// the given names, and its seal signed with the signer's key.
func sealedSample(t *testing.T, vs bundle.Version, signer string, trusted ...string) (*bundle.Bundle, bundle.Seal) {
	t.Helper()
	gm := NewWithT(t)
	bn, err := bundle.Parse("sample", []byte(sample))
	gm.Expect(err).NotTo(HaveOccurred())
	bn.Version, bn.TrustedKeys = vs, nil
	for _, name := range trusted {
		tk, _ := testKey(name)
		bn.TrustedKeys = append(bn.TrustedKeys, tk)
	}
	body, err := bundle.Format(bn)
	gm.Expect(err).NotTo(HaveOccurred())
	_, private := testKey(signer)
	return bn, bundle.Sign(bn, body, signer, private)
}

func TestOpenRequiresTrustedSignature(t *testing.T) {
	alice, _ := testKey("alice")
	for name, tc := range map[string]struct {
		alter func(*bundle.Seal)
		want  error
	}{
		"unaltered":                 {func(*bundle.Seal) {}, nil},
		"untrusted key":             {func(sl *bundle.Seal) { _, *sl = sealedSample(t, 5, "mallory", "mallory") }, bundle.ErrUntrusted},
		"untrusted key named alice": {func(sl *bundle.Seal) { _, *sl = sealedSample(t, 5, "mallory", "alice"); sl.Key = "alice" }, bundle.ErrUntrusted},
		"truncated body":            {func(sl *bundle.Seal) { sl.Body = sl.Body[:len(sl.Body)-1] }, bundle.ErrUntrusted},
		"empty body":                {func(sl *bundle.Seal) { sl.Body = nil }, bundle.ErrUntrusted},
		"no signature":              {func(sl *bundle.Seal) { sl.Signature = nil }, bundle.ErrUntrusted},
		"other version in the seal": {func(sl *bundle.Seal) { sl.Version = 99 }, bundle.ErrVersion},
		"no trusted keys":           {func(sl *bundle.Seal) { _, *sl = sealedSample(t, 5, "alice") }, bundle.ErrKeyless},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			_, sl := sealedSample(t, 5, "alice", "alice")
			tc.alter(&sl)
			bn, err := bundle.Open(sl, bundle.Trust{Keys: []bundle.TrustedKey{alice}})
			if tc.want == nil {
				gm.Expect(err).NotTo(HaveOccurred())
				gm.Expect(bn.Version).To(Equal(bundle.Version(5)))
				return
			}
			gm.Expect(err).To(MatchError(tc.want))
		})
	}
}

func TestOpenRejectsEveryAlteredByte(t *testing.T) {
	gm := NewWithT(t)
	bn, sl := sealedSample(t, 5, "alice", "alice")
	for ix := range sl.Body {
		altered := sl
		altered.Body = []byte(strings.Clone(string(sl.Body)))
		altered.Body[ix] ^= 1
		_, err := bundle.Open(altered, bundle.TrustOf(bn))
		gm.Expect(err).To(MatchError(bundle.ErrUntrusted))
	}
}

// TestOpenFollowsKeyRotations rotates the keys from alice to bob to carol. A host
// that trusts only alice needs the lineage to verify the last seal.
func TestOpenFollowsKeyRotations(t *testing.T) {
	one, first := sealedSample(t, 1, "alice", "alice")
	two, second := sealedSample(t, 2, "alice", "bob")
	three, third := sealedSample(t, 3, "bob", "carol")
	four, fourth := sealedSample(t, 4, "carol", "carol")
	second = bundle.ExtendLineage(first, one, second, two)
	third = bundle.ExtendLineage(second, two, third, three)
	fourth = bundle.ExtendLineage(third, three, fourth, four)
	forged := fourth
	_, private := testKey("mallory")
	mallory, _ := testKey("mallory")
	forgedChange := bundle.Sign(&bundle.Bundle{Version: 2, TrustedKeys: []bundle.TrustedKey{mallory}}, nil, "alice", private)
	forged.Lineage = []bundle.KeyChange{{Version: 2, Keys: []bundle.TrustedKey{mallory}, Key: "alice", Signature: forgedChange.KeysSignature}}
	forged.Key, forged.Signature = "mallory", ed25519.Sign(private, forged.Body)
	noLineage := fourth
	noLineage.Lineage = nil
	aliceOnly := bundle.Trust{Keys: one.TrustedKeys}
	for name, tc := range map[string]struct {
		seal  bundle.Seal
		trust bundle.Trust
		opens bool
	}{
		"host missed both rotations":   {fourth, aliceOnly, true},
		"host missed one rotation":     {fourth, bundle.TrustOf(two), true},
		"host is up to date":           {fourth, bundle.TrustOf(three), true},
		"bundle that rotates the keys": {second, bundle.TrustOf(one), true},
		"no lineage":                   {noLineage, aliceOnly, false},
		"forged lineage":               {forged, aliceOnly, false},
		"signed by a retired key":      {first, bundle.TrustOf(three), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := bundle.Open(tc.seal, tc.trust)
			NewWithT(t).Expect(err == nil).To(Equal(tc.opens))
		})
	}
}

func TestPointerRoundTrip(t *testing.T) {
	gm := NewWithT(t)
	one, first := sealedSample(t, 1, "alice", "alice")
	two, second := sealedSample(t, 2, "alice", "bob")
	second = bundle.ExtendLineage(first, one, second, two)
	data, err := bundle.EncodePointer(bundle.PointerOf(second))
	gm.Expect(err).NotTo(HaveOccurred())
	pt, err := bundle.DecodePointer(data)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(pt.Seal(second.Body)).To(Equal(second))
	_, err = bundle.DecodePointer(data[:len(data)/2])
	gm.Expect(err).To(HaveOccurred())
}
