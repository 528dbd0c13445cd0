package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/operations/keyfile"
)

// sealSuffix names the file of a bundle's signature.
const sealSuffix = ".seal"

// sealMode lets everybody read a signature.
const sealMode = 0o644

// addBundle registers the bundle commands.
func addBundle(pr *flags.Parser) {
	group := mustGroup(pr, "bundle", "Check, sign and accept bundles")
	mustAddTo(group, "check", "Check bundle files", &checkCommand{})
	mustAddTo(group, "keygen", "Make a signing key", &keygenCommand{})
	mustAddTo(group, "sign", "Sign a bundle file", &signCommand{})
	mustAddTo(group, "accept", "Make a bundle the accepted one", &acceptCommand{})
	mustAddTo(group, "show", "Print the accepted bundle", &showCommand{})
	mustAddTo(group, "diff", "Compare a bundle file with the accepted bundle, or two files", &diffCommand{})
	mustAddTo(group, "status", "Show the accepted bundle and what each host has in force", &statusCommand{})
}

// mustGroup registers a command that only holds others.
func mustGroup(pr *flags.Parser, name, text string) *flags.Command {
	group, err := pr.AddCommand(name, text, "", &struct{}{})
	if err != nil {
		panic(err)
	}
	return group
}

// mustAddTo registers a command of a group.
func mustAddTo(group *flags.Command, name, text string, command any) {
	if _, err := group.AddCommand(name, text, "", command); err != nil {
		panic(err)
	}
}

// readBundle reads and checks a bundle's file.
func readBundle(path string) ([]byte, *bundle.Bundle, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	bn, err := bundle.Parse(path, body)
	return body, bn, err
}

// checkCommand checks files without asking anybody.
type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (cc *checkCommand) Execute([]string) error {
	bad := 0
	for _, path := range cc.Args.Files {
		_, bn, err := readBundle(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			bad++
			continue
		}
		fmt.Printf("%s: valid: %s\n", path, summary(bn))
		if len(bn.TrustedKeys) == 0 {
			fmt.Printf("%s: note: trustedKeys is empty; it cannot be signed before a key is added (bundle keygen)\n", path)
		}
	}
	if bad > 0 {
		return eris.Errorf("%d of %d files are not valid", bad, len(cc.Args.Files))
	}
	return nil
}

func summary(bn *bundle.Bundle) string {
	upstreams := 0
	for ix := range bn.Services {
		upstreams += len(bn.Services[ix].Upstreams)
	}
	return fmt.Sprintf("version %d, %d domains, %d hosts, %d services, %d upstreams, %d trusted keys",
		bn.Version, len(bn.Domains), len(bn.Hosts), len(bn.Services), upstreams, len(bn.TrustedKeys))
}

// keygenCommand makes a key file and prints the public half.
type keygenCommand struct {
	Name string `long:"name" required:"true" description:"Name of the key in bundles"`
	Out  string `long:"out" required:"true" description:"File to make; it must not exist"`
}

// Execute implements flags.Commander.
func (kc *keygenCommand) Execute([]string) error {
	ky, err := keyfile.Generate(kc.Name)
	if err != nil {
		return err
	}
	if err := keyfile.Write(kc.Out, ky); err != nil {
		return err
	}
	fmt.Printf("private key: %s (keep it; mode 0600)\n", kc.Out)
	fmt.Printf("for trustedKeys of a bundle:\n  - {name: %s, public: %s}\n", ky.Name, ky.Public())
	fmt.Printf("for each host:\n  --trusted-key %s=%s\n", ky.Name, ky.Public())
	return nil
}

// signCommand writes a bundle's signature next to it.
type signCommand struct {
	Key  string `long:"key" env:"CHERVILWALK_KEY" required:"true" description:"File of the signing key"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (sc *signCommand) Execute([]string) error {
	sl, bn, err := signFile(sc.Args.File, sc.Key)
	if err != nil {
		return err
	}
	text, err := bundle.EncodePointer(bundle.PointerOf(sl))
	if err != nil {
		return err
	}
	path := sc.Args.File + sealSuffix
	if err := os.WriteFile(path, append(text, '\n'), sealMode); err != nil {
		return err
	}
	fmt.Printf("%s: bundle %d signed with key %q\n", path, bn.Version, sl.Key)
	return nil
}

// signFile checks a bundle and seals it with a key that it trusts or that was
// trusted before it.
func signFile(path, keyPath string) (bundle.Seal, *bundle.Bundle, error) {
	body, bn, err := readBundle(path)
	if err != nil {
		return bundle.Seal{}, nil, err
	}
	ky, err := keyfile.Read(keyPath)
	if err != nil {
		return bundle.Seal{}, nil, err
	}
	if len(bn.TrustedKeys) == 0 {
		return bundle.Seal{}, nil, bundle.ErrKeyless
	}
	return bundle.Sign(bn, body, ky.Name, ky.Private), bn, nil
}

// readSeal reads a bundle's file with the signature next to it.
func readSeal(path string) (bundle.Seal, error) {
	body, _, err := readBundle(path)
	if err != nil {
		return bundle.Seal{}, err
	}
	text, err := os.ReadFile(path + sealSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return bundle.Seal{}, eris.Errorf("%s is missing: run bundle sign, or give --key", path+sealSuffix)
	}
	if err != nil {
		return bundle.Seal{}, err
	}
	pt, err := bundle.DecodePointer(text)
	return pt.Seal(body), err
}
