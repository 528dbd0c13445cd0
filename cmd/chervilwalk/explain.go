package main

import (
	"os"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/operations/explain"
)

// explainCommand tells one request's story from logs.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"The request's id"`
		Files []string `positional-arg-name:"FILE" description:"Logs of the hosts; standard input without any"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (ec *explainCommand) Execute([]string) error {
	tl := explain.New(ec.Args.ID)
	if len(ec.Args.Files) == 0 {
		if err := tl.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range ec.Args.Files {
		if err := readLog(tl, path); err != nil {
			return err
		}
	}
	story, found := tl.Story()
	if !found {
		return eris.Errorf("no line of these logs is about request %q: read the logs of all hosts", ec.Args.ID)
	}
	return story.Write(os.Stdout)
}

func readLog(tl *explain.Teller, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return tl.Read(file)
}
