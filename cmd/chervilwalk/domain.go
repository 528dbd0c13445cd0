package main

import (
	"github.com/jessevdk/go-flags"

	"chervilwalk/internal/catalog/bundle"
)

// addDomainCommands registers the commands that take failure domains out of
// service and put them back in.
func addDomainCommands(pr *flags.Parser) {
	group := mustAddGroup(pr, "domain", "Take failure domains out of service or put them back in")
	mustAddSubcommand(group, "out", "Take a failure domain out of service", &domainOutCommand{})
	mustAddSubcommand(group, "in", "Put a failure domain back in service", &domainInCommand{})
}

// domainOutCommand takes a failure domain out of service.
type domainOutCommand struct {
	editOptions
	Args struct {
		Name string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (dc *domainOutCommand) Execute([]string) error {
	return dc.run([]bundle.Edit{{Kind: bundle.DomainEntry, Name: dc.Args.Name, Out: true}})
}

// domainInCommand puts a failure domain back in service.
type domainInCommand struct {
	editOptions
	Args struct {
		Name string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (dc *domainInCommand) Execute([]string) error {
	return dc.run([]bundle.Edit{{Kind: bundle.DomainEntry, Name: dc.Args.Name}})
}
