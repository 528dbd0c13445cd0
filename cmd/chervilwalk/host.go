package main

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/operations/acceptance"
	"chervilwalk/internal/operations/keyfile"
)

// addHostCommands registers the commands that take hosts and upstreams out of
// service and put them back in.
func addHostCommands(pr *flags.Parser) {
	group := mustAddGroup(pr, "host", "Take entry hosts and upstreams out of service or put them back in")
	mustAddSubcommand(group, "out", "Take hosts or upstreams out of service", &hostOutCommand{})
	mustAddSubcommand(group, "in", "Put hosts or upstreams back in service", &hostInCommand{})
}

// editOptions holds the options of commands that edit, sign and accept a bundle.
type editOptions struct {
	platformOptions
	Key   string `long:"key" env:"CHERVILWALK_KEY" required:"true" description:"File of the signing key"`
	Wait  bool   `long:"wait" description:"Wait until the bundle is in force on every host that can be reached"`
	Force bool   `long:"force" description:"Apply the change even if too little capacity stays in service"`
}

// hostOutCommand takes hosts or upstreams out of service.
type hostOutCommand struct {
	editOptions
	Args struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (hc *hostOutCommand) Execute([]string) error {
	return hc.run(editsFor(hc.Args.Names, bundle.Edit{Out: true}))
}

// hostInCommand puts hosts or upstreams back in service.
type hostInCommand struct {
	editOptions
	Args struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (hc *hostInCommand) Execute([]string) error {
	return hc.run(editsFor(hc.Args.Names, bundle.Edit{}))
}

// editsFor returns a copy of the edit for each name.
func editsFor(names []string, ed bundle.Edit) []bundle.Edit {
	var edits []bundle.Edit
	for _, name := range names {
		ed.Name = name
		edits = append(edits, ed)
	}
	return edits
}

// run reads the signing key, connects to the store and applies the edits.
func (eo *editOptions) run(edits []bundle.Edit) error {
	ky, err := keyfile.Read(eo.Key)
	if err != nil {
		return err
	}
	ctx, rp, closeStore := eo.connect()
	defer closeStore()
	return eo.apply(ctx, rp, ky, edits)
}

// apply edits the accepted bundle, prints the differences, and signs and accepts
// the result. Without Force it rejects edits that leave too little capacity.
func (eo *editOptions) apply(ctx context.Context, rp acceptance.Repository, ky keyfile.Key, edits []bundle.Edit) error {
	base, err := rp.Current(ctx)
	if err != nil {
		return err
	}
	body, err := bundle.ApplyAll(base.Seal.Body, edits)
	if err != nil {
		return err
	}
	next, err := bundle.Parse("edited bundle", body)
	if err != nil {
		return err
	}
	for _, line := range bundle.Diff(base.Bundle, next) {
		fmt.Println(line)
	}
	losses := bundle.Losses(base.Bundle, next)
	for _, ls := range losses {
		fmt.Println("too little capacity:", ls)
	}
	if len(losses) > 0 && !eo.Force {
		return eris.New("nothing was changed: less than half of the capacity would stay in service; use --force to do it anyway")
	}
	return acceptSeal(ctx, rp, bundle.Sign(next, body, ky.Name, ky.Private), eo.Wait)
}
