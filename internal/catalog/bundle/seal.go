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

// RowKey is the table row that points at the bundle in force.
const RowKey = "bundle"

// MaxLineage bounds the changes of trusted keys that a seal carries.
const MaxLineage = 32

var (
	// ErrUntrusted says that no trusted key made the signature of a bundle, or
	// that its text was altered after it was signed.
	ErrUntrusted = eris.New("bundle: signature is not from a trusted key")
	// ErrVersion says that a seal and the signed text state different versions.
	ErrVersion = eris.New("bundle: the signed text has another version than its seal")
	// ErrKeyless says that a bundle trusts no key, so that none could follow it.
	ErrKeyless = eris.New("bundle: it trusts no key, so no later bundle could be accepted")
)

// Seal is a bundle's body with the signature that makes it acceptable.
type Seal struct {
	Version   Version
	Key       string
	Signature []byte
	Body      []byte
	// KeysSignature is the same key's signature of the version and the trusted
	// keys alone. It goes into the lineage of later bundles.
	KeysSignature []byte
	// Lineage holds the earlier changes of trusted keys, oldest first, so that
	// a host that missed a rotation can still check this seal.
	Lineage []KeyChange
}

// KeyChange states which keys were trusted from a version on, signed by a key
// that was trusted until then.
type KeyChange struct {
	Version   Version
	Keys      []TrustedKey
	Key       string
	Signature []byte
}

// Trust is what a seal is checked against.
type Trust struct {
	Keys []TrustedKey
	// After is the version whose keys these are; 0 for keys from settings.
	// Changes up to it are part of Keys already.
	After Version
}

// TrustOf is the trust that a bundle in force gives.
func TrustOf(bn *Bundle) Trust {
	return Trust{Keys: bn.TrustedKeys, After: bn.Version}
}

// Sign seals a body.
func Sign(bn *Bundle, body []byte, key string, private ed25519.PrivateKey) Seal {
	return Seal{
		Version:       bn.Version,
		Key:           key,
		Signature:     ed25519.Sign(private, body),
		Body:          body,
		KeysSignature: ed25519.Sign(private, keysText(bn.Version, bn.TrustedKeys)),
	}
}

// keysText is the signed form of a version's trusted keys.
func keysText(vs Version, keys []TrustedKey) []byte {
	var sb strings.Builder
	_, _ = fmt.Fprintf(&sb, "chervilwalk trusted keys from version %d\n", vs)
	for _, tk := range keys {
		_, _ = fmt.Fprintf(&sb, "%q %s\n", tk.Name, base64.StdEncoding.EncodeToString(tk.Public))
	}
	return []byte(sb.String())
}

// Open checks a seal and parses its body. The caller compares versions.
func Open(sl Seal, tr Trust) (*Bundle, error) {
	if !verified(tr.follow(sl), sl.Key, sl.Body, sl.Signature) {
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

// ParseKeys reads keys written as NAME=BASE64.
func ParseKeys(texts []string) ([]TrustedKey, error) {
	var keys []TrustedKey
	for _, text := range texts {
		name, encoded, _ := strings.Cut(text, "=")
		public, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil || name == "" || len(public) != ed25519.PublicKeySize {
			return nil, eris.Errorf("trusted key %q: write NAME=BASE64 as bundle keygen printed it", text)
		}
		keys = append(keys, TrustedKey{Name: name, Public: public})
	}
	return keys, nil
}

// follow returns the keys trusted at a seal: those of the trust, moved on by
// every change between it and the seal that a key trusted until then signed.
func (tr Trust) follow(sl Seal) []TrustedKey {
	keys, after := tr.Keys, tr.After
	for _, kc := range sl.Lineage {
		if kc.Version <= after || kc.Version >= sl.Version {
			continue
		}
		if verified(keys, kc.Key, keysText(kc.Version, kc.Keys), kc.Signature) {
			keys, after = kc.Keys, kc.Version
		}
	}
	return keys
}

func verified(keys []TrustedKey, name string, text, signature []byte) bool {
	return slices.ContainsFunc(keys, func(tk TrustedKey) bool {
		return tk.Name == name && len(tk.Public) == ed25519.PublicKeySize && ed25519.Verify(tk.Public, text, signature)
	})
}

// Succeed gives a seal the lineage that it has as the successor of a base.
func Succeed(base Seal, from *Bundle, next Seal, to *Bundle) Seal {
	next.Lineage = slices.Clone(base.Lineage)
	if !sameKeys(from.TrustedKeys, to.TrustedKeys) {
		next.Lineage = append(next.Lineage, KeyChange{
			Version: to.Version, Keys: to.TrustedKeys, Key: next.Key, Signature: next.KeysSignature,
		})
	}
	if extra := len(next.Lineage) - MaxLineage; extra > 0 {
		next.Lineage = next.Lineage[extra:]
	}
	return next
}

func sameKeys(left, right []TrustedKey) bool {
	return slices.EqualFunc(left, right, func(lk, rk TrustedKey) bool {
		return lk.Name == rk.Name && bytes.Equal(lk.Public, rk.Public)
	})
}
