package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// RowKey is the key of the table row that holds the pointer to the accepted bundle.
const RowKey = "bundle"

// MaxLineage is the largest number of key changes in a seal's lineage.
const MaxLineage = 32

var (
	// ErrUntrusted means that a bundle's signature does not verify with any
	// trusted key: another key signed it, or it was altered afterwards.
	ErrUntrusted = eris.New("bundle: signature is not from a trusted key")
	// ErrVersion means that the versions in a seal and in its body differ.
	ErrVersion = eris.New("bundle: the version in the signed text differs from the version in its seal")
	// ErrKeyless means that a bundle has no trusted keys. No later bundle could
	// be accepted after it.
	ErrKeyless = eris.New("bundle: trustedKeys is empty, so no later bundle could be accepted")
)

// Seal is a signed envelope: the text of a bundle and its signature.
type Seal struct {
	Version Version
	// Key is the name of the signing key.
	Key string
	// Signature is the Ed25519 signature of Body.
	Signature []byte
	// Body is the YAML of the bundle.
	Body []byte
	// KeysSignature is the signature by the same key of only the version and the
	// trusted keys. If the bundle changes the keys, later seals have it in their
	// lineage.
	KeysSignature []byte
	// Lineage holds the latest changes of the trusted keys, oldest first and at
	// most MaxLineage. With it a host that missed a key rotation can still verify
	// the seal.
	Lineage []KeyChange
}

// KeyChange says which keys are trusted from a version on. A key that was trusted
// before must have signed it.
type KeyChange struct {
	Version Version
	Keys    []TrustedKey
	// Key is the name of the signing key.
	Key string
	// Signature is the Ed25519 signature of Version and Keys.
	Signature []byte
}

// Trust holds the keys that a seal is verified with.
type Trust struct {
	Keys []TrustedKey
	// After is the version of the bundle that lists these keys, or 0 for keys from
	// the host's configuration. Key changes up to this version are ignored.
	After Version
}

// TrustOf returns the trust that a verified bundle establishes.
func TrustOf(bn *Bundle) Trust {
	return Trust{Keys: bn.TrustedKeys, After: bn.Version}
}

// Sign signs the text of a bundle with a private key; key is its name. The body
// must be the YAML of the bundle. The lineage stays empty.
func Sign(bn *Bundle, body []byte, key string, private ed25519.PrivateKey) Seal {
	return Seal{
		Version:       bn.Version,
		Key:           key,
		Signature:     ed25519.Sign(private, body),
		Body:          body,
		KeysSignature: ed25519.Sign(private, keysPayload(bn.Version, bn.TrustedKeys)),
	}
}

// keysPayload returns the bytes that KeysSignature signs. Signatures of older
// builds must verify, so its format can't change.
func keysPayload(vs Version, keys []TrustedKey) []byte {
	var sb strings.Builder
	_, _ = fmt.Fprintf(&sb, "chervilwalk trusted keys from version %d\n", vs)
	for _, tk := range keys {
		_, _ = fmt.Fprintf(&sb, "%q %s\n", tk.Name, base64.StdEncoding.EncodeToString(tk.Public))
	}
	return []byte(sb.String())
}

// Open verifies a seal and parses its body. It doesn't check that the version is
// higher than that of the current bundle; the caller does. The error is
// ErrUntrusted, ErrVersion, ErrKeyless or one of Parse.
func Open(sl Seal, tr Trust) (*Bundle, error) {
	if !verified(tr.keysFor(sl), sl.Key, sl.Body, sl.Signature) {
		return nil, ErrUntrusted
	}
	bn, err := Parse("sealed", sl.Body)
	if err != nil {
		return nil, err
	}
	switch {
	case bn.Version != sl.Version:
		return nil, ErrVersion
	case len(bn.TrustedKeys) == 0:
		return nil, ErrKeyless
	}
	return bn, nil
}

// ParseKeys parses trusted keys in the form NAME=BASE64.
func ParseKeys(texts []string) ([]TrustedKey, error) {
	var keys []TrustedKey
	for _, text := range texts {
		name, encoded, _ := strings.Cut(text, "=")
		public, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil || name == "" || len(public) != ed25519.PublicKeySize {
			return nil, eris.Errorf("trusted key %q is not in the form NAME=BASE64 that bundle keygen prints", text)
		}
		keys = append(keys, TrustedKey{Name: name, Public: public})
	}
	return keys, nil
}

// keysFor returns the keys that may sign a seal. It starts with the keys of the
// trust and applies the key changes of the lineage between the two versions. A
// change counts only if a key trusted until then signed it.
func (tr Trust) keysFor(sl Seal) []TrustedKey {
	keys, after := tr.Keys, tr.After
	for _, kc := range sl.Lineage {
		if kc.Version <= after || kc.Version >= sl.Version {
			continue
		}
		if verified(keys, kc.Key, keysPayload(kc.Version, kc.Keys), kc.Signature) {
			keys, after = kc.Keys, kc.Version
		}
	}
	return keys
}

// verified reports whether one of the keys has this name and made the signature.
func verified(keys []TrustedKey, name string, text, signature []byte) bool {
	return slices.ContainsFunc(keys, func(tk TrustedKey) bool {
		return tk.Name == name && len(tk.Public) == ed25519.PublicKeySize && ed25519.Verify(tk.Public, text, signature)
	})
}

// ExtendLineage returns the seal next with the lineage that follows from its
// predecessor base: the lineage of base, and a key change if the two bundles
// trust different keys. It drops the oldest changes beyond MaxLineage.
func ExtendLineage(base Seal, baseBundle *Bundle, next Seal, nextBundle *Bundle) Seal {
	next.Lineage = slices.Clone(base.Lineage)
	if !sameKeys(baseBundle.TrustedKeys, nextBundle.TrustedKeys) {
		next.Lineage = append(next.Lineage, KeyChange{
			Version: nextBundle.Version, Keys: nextBundle.TrustedKeys, Key: next.Key, Signature: next.KeysSignature,
		})
	}
	if extra := len(next.Lineage) - MaxLineage; extra > 0 {
		next.Lineage = next.Lineage[extra:]
	}
	return next
}

// sameKeys reports whether two lists hold equal keys in the same order.
func sameKeys(left, right []TrustedKey) bool {
	return slices.EqualFunc(left, right, func(lk, rk TrustedKey) bool {
		return lk.Name == rk.Name && bytes.Equal(lk.Public, rk.Public)
	})
}
