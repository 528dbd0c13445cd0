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

// addHost registers the commands that take hosts and upstreams out and in.
func addHost(pr *flags.Parser) {
	group := mustGroup(pr, "host", "Take entry hosts and upstreams out of service and back in")
	mustAddTo(group, "out", "Take hosts or upstreams out of service", &hostOutCommand{})
	mustAddTo(group, "in", "Take hosts or upstreams back in", &hostInCommand{})
}

// editOption is how a command makes, signs and accepts the next bundle.
type editOption struct {
	platformOption
	Key   string `long:"key" env:"CHERVILWALK_KEY" required:"true" description:"File of the signing key"`
	Wait  bool   `long:"wait" description:"Return when every host that can be reached has it in force"`
	Force bool   `long:"force" description:"Go on although too little capacity would be left"`
}

// hostOutCommand takes hosts or upstreams out.
type hostOutCommand struct {
	editOption
	Args struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (hc *hostOutCommand) Execute([]string) error {
	return hc.run(editsOf(hc.Args.Names, bundle.Edit{Out: true}))
}

// hostInCommand takes hosts or upstreams back in.
type hostInCommand struct {
	editOption
	Args struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (hc *hostInCommand) Execute([]string) error {
	return hc.run(editsOf(hc.Args.Names, bundle.Edit{}))
}

// editsOf repeats an edit for each name.
func editsOf(names []string, ed bundle.Edit) []bundle.Edit {
	var edits []bundle.Edit
	for _, name := range names {
		ed.Name = name
		edits = append(edits, ed)
	}
	return edits
}

// run makes the next bundle from the accepted one, and accepts it.
func (eo *editOption) run(edits []bundle.Edit) error {
	ky, err := keyfile.Read(eo.Key)
	if err != nil {
		return err
	}
	ctx, shelf, done := eo.shelf()
	defer done()
	return eo.apply(ctx, shelf, ky, edits)
}

func (eo *editOption) apply(ctx context.Context, shelf acceptance.Repository, ky keyfile.Key, edits []bundle.Edit) error {
	base, err := shelf.Current(ctx)
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
		fmt.Println("too little left:", ls)
	}
	if len(losses) > 0 && !eo.Force {
		return eris.New("nothing was changed: this leaves less than half; --force does it all the same")
	}
	return acceptSeal(ctx, shelf, bundle.Sign(next, body, ky.Name, ky.Private), eo.Wait)
}
