package main

import (
	"os"

	"chervilwalk/internal/operations/capacity"
)

// pageCommand writes the computed part of the capacity page.
type pageCommand struct {
	Record string `long:"record" default:"docs/slopes.json" description:"File that 'slopes --record' wrote"`
	Page   string `long:"page" default:"docs/CAPACITY.md" description:"Page with the marks"`
}

// Execute implements flags.Commander.
func (pc *pageCommand) Execute([]string) error {
	record, err := os.ReadFile(pc.Record)
	if err != nil {
		return err
	}
	list, err := capacity.Decode(record)
	if err != nil {
		return err
	}
	computed, err := capacity.Render(list)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(pc.Page)
	if err != nil {
		return err
	}
	written, err := capacity.Replace(string(page), computed)
	if err != nil {
		return err
	}
	return os.WriteFile(pc.Page, []byte(written), 0o644)
}
