package main

import (
	"github.com/jessevdk/go-flags"

	"chervilwalk/internal/catalog/bundle"
)

// addDomain registers the commands that take failure domains out and in.
func addDomain(pr *flags.Parser) {
	group := mustGroup(pr, "domain", "Take failure domains out of service and back in")
	mustAddTo(group, "out", "Take a failure domain out of service", &domainOutCommand{})
	mustAddTo(group, "in", "Take a failure domain back in", &domainInCommand{})
}

// domainOutCommand takes a domain out.
type domainOutCommand struct {
	editOption
	Args struct {
		Name string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (dc *domainOutCommand) Execute([]string) error {
	return dc.run([]bundle.Edit{{Target: bundle.DomainTarget, Name: dc.Args.Name, Out: true}})
}

// domainInCommand takes a domain back in.
type domainInCommand struct {
	editOption
	Args struct {
		Name string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (dc *domainInCommand) Execute([]string) error {
	return dc.run([]bundle.Edit{{Target: bundle.DomainTarget, Name: dc.Args.Name}})
}
