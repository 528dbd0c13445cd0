// Package keyfile stores an operator's signing key in a PEM file that only its
// owner can access.
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
	// fileMode allows only the owner to read and write.
	fileMode = 0o600
	// othersMask selects the permission bits of everyone but the owner.
	othersMask = 0o077
	// blockType is the type of the PEM block, nameHeader its header with the key's name.
	blockType  = "PRIVATE KEY"
	nameHeader = "Name"
)

var (
	// ErrPermissions means that users other than the owner have access to a key file.
	ErrPermissions = eris.New("key file: users other than its owner have access to it; run chmod 600")
	// ErrFormat means that a file does not contain a named Ed25519 key.
	ErrFormat = eris.New("key file: it does not contain an Ed25519 key with a name")
)

// Key is an Ed25519 signing key with the name that bundles use for it.
type Key struct {
	Name    string
	Private ed25519.PrivateKey
}

// Generate returns a new random key.
func Generate(name string) (Key, error) {
	_, private, err := ed25519.GenerateKey(nil)
	return Key{Name: name, Private: private}, eris.Wrap(err, "key")
}

// Trusted returns the name and the public key, as in a bundle's trustedKeys.
func (ky Key) Trusted() bundle.TrustedKey {
	public, _ := ky.Private.Public().(ed25519.PublicKey)
	return bundle.TrustedKey{Name: ky.Name, Public: public}
}

// Public returns the public key in base64.
func (ky Key) Public() string {
	return base64.StdEncoding.EncodeToString(ky.Trusted().Public)
}

// Write writes the key to a new file. It fails if the file exists.
func Write(path string, ky Key) error {
	der, err := x509.MarshalPKCS8PrivateKey(ky.Private)
	if err != nil {
		return eris.Wrap(err, "write key file")
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return eris.Wrap(err, "write key file")
	}
	block := &pem.Block{Type: blockType, Headers: map[string]string{nameHeader: ky.Name}, Bytes: der}
	if err := pem.Encode(file, block); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "write key file")
	}
	return eris.Wrap(file.Close(), "write key file")
}

// Read reads a key from a file. It returns ErrPermissions if users other than
// the owner have access to the file, and ErrFormat if it contains no
// named Ed25519 key.
func Read(path string) (Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Key{}, eris.Wrap(err, "read key file")
	}
	if info.Mode().Perm()&othersMask != 0 {
		return Key{}, eris.Wrap(ErrPermissions, path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Key{}, eris.Wrap(err, "read key file")
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
