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

// sealSuffix is appended to a bundle's file name for the file with its signature.
const sealSuffix = ".seal"

// sealMode is the mode of the signature file: readable by everyone.
const sealMode = 0o644

// addBundleCommands registers the bundle commands.
func addBundleCommands(pr *flags.Parser) {
	group := mustAddGroup(pr, "bundle", "Check, sign and accept bundles")
	mustAddSubcommand(group, "check", "Check bundle files", &checkCommand{})
	mustAddSubcommand(group, "keygen", "Generate a signing key", &keygenCommand{})
	mustAddSubcommand(group, "sign", "Sign a bundle file", &signCommand{})
	mustAddSubcommand(group, "accept", "Make a signed bundle the accepted one", &acceptCommand{})
	mustAddSubcommand(group, "show", "Print the accepted bundle", &showCommand{})
	mustAddSubcommand(group, "diff", "Compare a bundle file with the accepted bundle, or two files", &diffCommand{})
	mustAddSubcommand(group, "status", "Show the accepted bundle and the version in force on each host", &statusCommand{})
}

// mustAddGroup registers a command that only groups subcommands. It panics on a
// programming error, as the other registering functions do.
func mustAddGroup(pr *flags.Parser, name, description string) *flags.Command {
	group, err := pr.AddCommand(name, description, "", &struct{}{})
	if err != nil {
		panic(err)
	}
	return group
}

// mustAddSubcommand registers a subcommand of a group.
func mustAddSubcommand(group *flags.Command, name, description string, command any) {
	if _, err := group.AddCommand(name, description, "", command); err != nil {
		panic(err)
	}
}

// readBundle reads and parses a bundle file and returns its text, too.
func readBundle(path string) ([]byte, *bundle.Bundle, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	bn, err := bundle.Parse(path, body)
	return body, bn, err
}

// checkCommand validates bundle files without connecting to anything.
type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (cc *checkCommand) Execute([]string) error {
	invalid := 0
	for _, path := range cc.Args.Files {
		_, bn, err := readBundle(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			invalid++
			continue
		}
		fmt.Printf("%s: valid: %s\n", path, summarize(bn))
		if len(bn.TrustedKeys) == 0 {
			fmt.Printf("%s: note: trustedKeys is empty; add a key (bundle keygen) before signing the bundle\n", path)
		}
	}
	if invalid > 0 {
		return eris.Errorf("%d of %d files are not valid", invalid, len(cc.Args.Files))
	}
	return nil
}

// summarize returns a bundle's version and the number of its entries.
func summarize(bn *bundle.Bundle) string {
	upstreams := 0
	for ix := range bn.Services {
		upstreams += len(bn.Services[ix].Upstreams)
	}
	return fmt.Sprintf("version %d, %d domains, %d hosts, %d services, %d upstreams, %d trusted keys",
		bn.Version, len(bn.Domains), len(bn.Hosts), len(bn.Services), upstreams, len(bn.TrustedKeys))
}

// keygenCommand writes a new key file and prints the public key.
type keygenCommand struct {
	Name string `long:"name" required:"true" description:"Name of the key in bundles"`
	Out  string `long:"out" required:"true" description:"Key file to create; it must not exist"`
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
	fmt.Printf("private key: %s (keep it secret; mode 0600)\n", kc.Out)
	fmt.Printf("for trustedKeys of a bundle:\n  - {name: %s, public: %s}\n", ky.Name, ky.Public())
	fmt.Printf("for each host:\n  --trusted-key %s=%s\n", ky.Name, ky.Public())
	return nil
}

// signCommand writes a bundle's signature to a file next to the bundle.
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

// signFile reads, validates and signs a bundle file. It doesn't check that the
// key is trusted; accepting the bundle does.
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

// readSeal reads a bundle file and the file with its signature.
func readSeal(path string) (bundle.Seal, error) {
	body, _, err := readBundle(path)
	if err != nil {
		return bundle.Seal{}, err
	}
	text, err := os.ReadFile(path + sealSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return bundle.Seal{}, eris.Errorf("%s does not exist: run bundle sign, or use --key", path+sealSuffix)
	}
	if err != nil {
		return bundle.Seal{}, err
	}
	pt, err := bundle.DecodePointer(text)
	return pt.Seal(body), err
}
