package bundle

import (
	"crypto/ed25519"
	"encoding/json"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/platform/object"
)

// RowKey is the table row that points at the bundle in force.
const RowKey = "bundle"

// ErrUntrusted says that no trusted key made the signature of a bundle.
var ErrUntrusted = eris.New("bundle: signature is not from a trusted key")

// Seal is a bundle's body with the signature that makes it acceptable.
type Seal struct {
	Version   Version
	Key       string
	Signature []byte
	Body      []byte
}

// Pointer is the content of the table row: where the body lies, and its seal.
type Pointer struct {
	Version   Version
	Digest    object.Digest
	Key       string
	Signature []byte
}

type pointerJSON struct {
	Version   uint64 `json:"version"`
	Digest    string `json:"digest"`
	Key       string `json:"key"`
	Signature []byte `json:"signature"`
}

// Sign seals a body.
func Sign(bn *Bundle, body []byte, key string, private ed25519.PrivateKey) Seal {
	return Seal{Version: bn.Version, Key: key, Signature: ed25519.Sign(private, body), Body: body}
}

// Open checks a seal against trusted keys and parses its body.
func Open(sl Seal, trusted []TrustedKey) (*Bundle, error) {
	for _, tk := range trusted {
		if tk.Name == sl.Key && ed25519.Verify(tk.Public, sl.Body, sl.Signature) {
			return Parse("sealed", sl.Body)
		}
	}
	return nil, ErrUntrusted
}

// EncodePointer writes the row's content.
func EncodePointer(pt Pointer) ([]byte, error) {
	return json.Marshal(pointerJSON{
		Version: uint64(pt.Version), Digest: string(pt.Digest), Key: pt.Key, Signature: pt.Signature,
	})
}

// DecodePointer reads the row's content.
func DecodePointer(data []byte) (Pointer, error) {
	var pj pointerJSON
	if err := json.Unmarshal(data, &pj); err != nil {
		return Pointer{}, eris.Wrap(err, "bundle row")
	}
	return Pointer{
		Version: Version(pj.Version), Digest: object.Digest(pj.Digest), Key: pj.Key, Signature: pj.Signature,
	}, nil
}
