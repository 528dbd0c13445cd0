package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Digest is the SHA-256 of a bundle's text as 64 hexadecimal digits. It names the
// text in the object store.
type Digest string

// DigestOf computes the digest of a bundle's text.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Pointer is the content of the row that selects the accepted bundle: the digest
// under which the body is stored, and the body's seal without the body.
type Pointer struct {
	Version       Version
	Digest        Digest
	Key           string
	Signature     []byte
	KeysSignature []byte
	Lineage       []KeyChange
}

// PointerOf returns the pointer to a seal's body.
func PointerOf(sl Seal) Pointer {
	return Pointer{
		Version: sl.Version, Digest: DigestOf(sl.Body), Key: sl.Key, Signature: sl.Signature,
		KeysSignature: sl.KeysSignature, Lineage: sl.Lineage,
	}
}

// Seal adds the body to the pointer. It doesn't check the body's digest.
func (pt Pointer) Seal(body []byte) Seal {
	return Seal{
		Version: pt.Version, Key: pt.Key, Signature: pt.Signature, Body: body,
		KeysSignature: pt.KeysSignature, Lineage: pt.Lineage,
	}
}

// pointerJSON is the stored form of a pointer; signatures are in base64.
type pointerJSON struct {
	Version       uint64          `json:"version"`
	Digest        string          `json:"digest"`
	Key           string          `json:"key"`
	Signature     []byte          `json:"signature"`
	KeysSignature []byte          `json:"keysSignature,omitempty"`
	Lineage       []keyChangeJSON `json:"lineage,omitempty"`
}

// keyChangeJSON is the stored form of a KeyChange.
type keyChangeJSON struct {
	Version   uint64           `json:"version"`
	Keys      []trustedKeyJSON `json:"keys"`
	Key       string           `json:"key"`
	Signature []byte           `json:"signature"`
}

// trustedKeyJSON is the stored form of a TrustedKey.
type trustedKeyJSON struct {
	Name   string `json:"name"`
	Public []byte `json:"public"`
}

// EncodePointer encodes a pointer as JSON, for the row and for the file with a
// bundle's signature.
func EncodePointer(pt Pointer) ([]byte, error) {
	pj := pointerJSON{
		Version: uint64(pt.Version), Digest: string(pt.Digest), Key: pt.Key, Signature: pt.Signature,
		KeysSignature: pt.KeysSignature,
	}
	for _, kc := range pt.Lineage {
		kj := keyChangeJSON{Version: uint64(kc.Version), Key: kc.Key, Signature: kc.Signature}
		for _, tk := range kc.Keys {
			kj.Keys = append(kj.Keys, trustedKeyJSON(tk))
		}
		pj.Lineage = append(pj.Lineage, kj)
	}
	return json.Marshal(pj)
}

// DecodePointer decodes what EncodePointer wrote.
func DecodePointer(data []byte) (Pointer, error) {
	var pj pointerJSON
	if err := json.Unmarshal(data, &pj); err != nil {
		return Pointer{}, eris.Wrap(err, "bundle: decode the pointer")
	}
	pt := Pointer{
		Version: Version(pj.Version), Digest: Digest(pj.Digest), Key: pj.Key, Signature: pj.Signature,
		KeysSignature: pj.KeysSignature,
	}
	for _, kj := range pj.Lineage {
		kc := KeyChange{Version: Version(kj.Version), Key: kj.Key, Signature: kj.Signature}
		for _, key := range kj.Keys {
			kc.Keys = append(kc.Keys, TrustedKey(key))
		}
		pt.Lineage = append(pt.Lineage, kc)
	}
	return pt, nil
}
