package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Digest is the SHA-256 of a body, in hex.
type Digest string

// DigestOf computes a body's digest.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Pointer is the content of the table row: where the body lies, and its seal
// without the body.
type Pointer struct {
	Version       Version
	Digest        Digest
	Key           string
	Signature     []byte
	KeysSignature []byte
	Lineage       []KeyChange
}

// PointerOf is the row's content for a seal.
func PointerOf(sl Seal) Pointer {
	return Pointer{
		Version: sl.Version, Digest: DigestOf(sl.Body), Key: sl.Key, Signature: sl.Signature,
		KeysSignature: sl.KeysSignature, Lineage: sl.Lineage,
	}
}

// Seal joins the pointer with the body that it points at.
func (pt Pointer) Seal(body []byte) Seal {
	return Seal{
		Version: pt.Version, Key: pt.Key, Signature: pt.Signature, Body: body,
		KeysSignature: pt.KeysSignature, Lineage: pt.Lineage,
	}
}

type pointerJSON struct {
	Version       uint64          `json:"version"`
	Digest        string          `json:"digest"`
	Key           string          `json:"key"`
	Signature     []byte          `json:"signature"`
	KeysSignature []byte          `json:"keysSignature,omitempty"`
	Lineage       []keyChangeJSON `json:"lineage,omitempty"`
}

type keyChangeJSON struct {
	Version   uint64    `json:"version"`
	Keys      []keyJSON `json:"keys"`
	Key       string    `json:"key"`
	Signature []byte    `json:"signature"`
}

type keyJSON struct {
	Name   string `json:"name"`
	Public []byte `json:"public"`
}

// EncodePointer writes the row's content; the same text is a seal's file.
func EncodePointer(pt Pointer) ([]byte, error) {
	pj := pointerJSON{
		Version: uint64(pt.Version), Digest: string(pt.Digest), Key: pt.Key, Signature: pt.Signature,
		KeysSignature: pt.KeysSignature,
	}
	for _, kc := range pt.Lineage {
		kj := keyChangeJSON{Version: uint64(kc.Version), Key: kc.Key, Signature: kc.Signature}
		for _, tk := range kc.Keys {
			kj.Keys = append(kj.Keys, keyJSON(tk))
		}
		pj.Lineage = append(pj.Lineage, kj)
	}
	return json.Marshal(pj)
}

// DecodePointer reads the row's content.
func DecodePointer(data []byte) (Pointer, error) {
	var pj pointerJSON
	if err := json.Unmarshal(data, &pj); err != nil {
		return Pointer{}, eris.Wrap(err, "bundle row")
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
