// Package keyfile keeps an operator's signing key in a file that only its
// owner can read.
//
//	ky, err := keyfile.Generate("alice")
//	err = keyfile.Write("alice.key", ky)
//	ky, err = keyfile.Read("alice.key")
package keyfile

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"os"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/catalog/bundle"
)

const (
	// mode lets only the owner read and write.
	mode = 0o600
	// others are the permissions of everyone but the owner.
	others = 0o077
	// blockType and nameHeader are those of the PEM block.
	blockType  = "PRIVATE KEY"
	nameHeader = "Name"
)

var (
	// ErrMode says that others than the owner may use a key file.
	ErrMode = eris.New("key file: others than its owner may use it; run chmod 600")
	// ErrFormat says that a file holds no signing key.
	ErrFormat = eris.New("key file: it holds no Ed25519 key with a name")
)

// Key is a named signing key.
type Key struct {
	Name    string
	Private ed25519.PrivateKey
}

// Generate makes a key.
func Generate(name string) (Key, error) {
	_, private, err := ed25519.GenerateKey(nil)
	return Key{Name: name, Private: private}, eris.Wrap(err, "key")
}

// Trusted is the public half, as a bundle's trustedKeys take it.
func (ky Key) Trusted() bundle.TrustedKey {
	public, _ := ky.Private.Public().(ed25519.PublicKey)
	return bundle.TrustedKey{Name: ky.Name, Public: public}
}

// Public is the public half in base64.
func (ky Key) Public() string {
	return base64.StdEncoding.EncodeToString(ky.Trusted().Public)
}

// Write makes a new file with the key; it never replaces one.
func Write(path string, ky Key) error {
	der, err := x509.MarshalPKCS8PrivateKey(ky.Private)
	if err != nil {
		return eris.Wrap(err, "key file")
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return eris.Wrap(err, "key file")
	}
	block := &pem.Block{Type: blockType, Headers: map[string]string{nameHeader: ky.Name}, Bytes: der}
	if err := pem.Encode(file, block); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "key file")
	}
	return eris.Wrap(file.Close(), "key file")
}

// Read reads a key from a file that nobody but its owner may use.
func Read(path string) (Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Key{}, eris.Wrap(err, "key file")
	}
	if info.Mode().Perm()&others != 0 {
		return Key{}, eris.Wrap(ErrMode, path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Key{}, eris.Wrap(err, "key file")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != blockType || block.Headers[nameHeader] == "" {
		return Key{}, eris.Wrap(ErrFormat, path)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	private, ok := parsed.(ed25519.PrivateKey)
	if err != nil || !ok {
		return Key{}, eris.Wrap(ErrFormat, path)
	}
	return Key{Name: block.Headers[nameHeader], Private: private}, nil
}
