package main

import (
	"os"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/operations/explain"
)

// explainCommand reports what happened to one request, from the hosts' logs.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"The request's id"`
		Files []string `positional-arg-name:"FILE" description:"Log files of the hosts; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (ec *explainCommand) Execute([]string) error {
	cl := explain.New(ec.Args.ID)
	if len(ec.Args.Files) == 0 {
		if err := cl.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range ec.Args.Files {
		if err := readLog(cl, path); err != nil {
			return err
		}
	}
	report, found := cl.Report()
	if !found {
		return eris.Errorf("no log line mentions request %q: give the logs of all hosts", ec.Args.ID)
	}
	return report.Write(os.Stdout)
}

// readLog passes a log file to the collector.
func readLog(cl *explain.Collector, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return cl.Read(file)
}
