package bundle_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/catalog/bundle"
)

// keyOf makes a key pair that depends on the name alone.
func keyOf(name string) (bundle.TrustedKey, ed25519.PrivateKey) {
	seed := sha256.Sum256([]byte(name))
	private := ed25519.NewKeyFromSeed(seed[:])
	public, _ := private.Public().(ed25519.PublicKey)
	return bundle.TrustedKey{Name: name, Public: public}, private
}

// sealed is the sample at a version, trusting some names, signed by one.
func sealed(t *testing.T, vs bundle.Version, signer string, trusts ...string) (*bundle.Bundle, bundle.Seal) {
	t.Helper()
	gm := NewWithT(t)
	bn, err := bundle.Parse("sample", []byte(sample))
	gm.Expect(err).NotTo(HaveOccurred())
	bn.Version, bn.TrustedKeys = vs, nil
	for _, name := range trusts {
		tk, _ := keyOf(name)
		bn.TrustedKeys = append(bn.TrustedKeys, tk)
	}
	body, err := bundle.Format(bn)
	gm.Expect(err).NotTo(HaveOccurred())
	_, private := keyOf(signer)
	return bn, bundle.Sign(bn, body, signer, private)
}

func TestOnlyAnUnalteredSealOfATrustedKeyOpens(t *testing.T) {
	alice, _ := keyOf("alice")
	for name, tc := range map[string]struct {
		alter func(*bundle.Seal)
		want  error
	}{
		"whole":                {func(*bundle.Seal) {}, nil},
		"stranger":             {func(sl *bundle.Seal) { _, *sl = sealed(t, 5, "mallory", "mallory") }, bundle.ErrUntrusted},
		"stranger as alice":    {func(sl *bundle.Seal) { _, *sl = sealed(t, 5, "mallory", "alice"); sl.Key = "alice" }, bundle.ErrUntrusted},
		"truncated":            {func(sl *bundle.Seal) { sl.Body = sl.Body[:len(sl.Body)-1] }, bundle.ErrUntrusted},
		"empty":                {func(sl *bundle.Seal) { sl.Body = nil }, bundle.ErrUntrusted},
		"no signature":         {func(sl *bundle.Seal) { sl.Signature = nil }, bundle.ErrUntrusted},
		"other version stated": {func(sl *bundle.Seal) { sl.Version = 99 }, bundle.ErrVersion},
		"trusts no key":        {func(sl *bundle.Seal) { _, *sl = sealed(t, 5, "alice") }, bundle.ErrKeyless},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			_, sl := sealed(t, 5, "alice", "alice")
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

func TestEveryAlteredByteIsRefused(t *testing.T) {
	gm := NewWithT(t)
	bn, sl := sealed(t, 5, "alice", "alice")
	for ix := range sl.Body {
		altered := sl
		altered.Body = []byte(strings.Clone(string(sl.Body)))
		altered.Body[ix] ^= 1
		_, err := bundle.Open(altered, bundle.TrustOf(bn))
		gm.Expect(err).To(MatchError(bundle.ErrUntrusted))
	}
}

// Keys are rotated from alice to bob to carol; a host that trusts alice only
// checks the last seal by its lineage.
func TestRotationIsFollowedByTheLineage(t *testing.T) {
	one, first := sealed(t, 1, "alice", "alice")
	two, second := sealed(t, 2, "alice", "bob")
	three, third := sealed(t, 3, "bob", "carol")
	four, fourth := sealed(t, 4, "carol", "carol")
	second = bundle.Succeed(first, one, second, two)
	third = bundle.Succeed(second, two, third, three)
	fourth = bundle.Succeed(third, three, fourth, four)
	forged := fourth
	_, private := keyOf("mallory")
	mallory, _ := keyOf("mallory")
	bad := bundle.Sign(&bundle.Bundle{Version: 2, TrustedKeys: []bundle.TrustedKey{mallory}}, nil, "alice", private)
	forged.Lineage = []bundle.KeyChange{{Version: 2, Keys: []bundle.TrustedKey{mallory}, Key: "alice", Signature: bad.KeysSignature}}
	forged.Key, forged.Signature = "mallory", ed25519.Sign(private, forged.Body)
	without := fourth
	without.Lineage = nil
	old := bundle.Trust{Keys: one.TrustedKeys}
	for name, tc := range map[string]struct {
		seal  bundle.Seal
		trust bundle.Trust
		opens bool
	}{
		"a host that missed both rotations": {fourth, old, true},
		"a host that missed one":            {fourth, bundle.TrustOf(two), true},
		"a host up to date":                 {fourth, bundle.TrustOf(three), true},
		"the rotating bundle itself":        {second, bundle.TrustOf(one), true},
		"no lineage":                        {without, old, false},
		"a forged lineage":                  {forged, old, false},
		"a retired key signs again":         {first, bundle.TrustOf(three), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := bundle.Open(tc.seal, tc.trust)
			NewWithT(t).Expect(err == nil).To(Equal(tc.opens))
		})
	}
}

func TestPointerIsReadBackUnchanged(t *testing.T) {
	gm := NewWithT(t)
	one, first := sealed(t, 1, "alice", "alice")
	two, second := sealed(t, 2, "alice", "bob")
	second = bundle.Succeed(first, one, second, two)
	data, err := bundle.EncodePointer(bundle.PointerOf(second))
	gm.Expect(err).NotTo(HaveOccurred())
	pt, err := bundle.DecodePointer(data)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(pt.Seal(second.Body)).To(Equal(second))
	_, err = bundle.DecodePointer(data[:len(data)/2])
	gm.Expect(err).To(HaveOccurred())
}
