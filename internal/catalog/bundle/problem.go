package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"
)

// Problem is one fault of a bundle's text, with its place and its remedy.
type Problem struct {
	// Line and Column count from 1; 0 when the place is not known.
	Line   int
	Column int
	Text   string
	// Remedy tells the operator what to write instead.
	Remedy string
}

// Problems is the error of Parse: every fault of one text, in its order.
type Problems struct {
	Name string
	List []Problem
}

// Error gives one line for each problem: file:line:column: text: remedy.
func (ps *Problems) Error() string {
	lines := make([]string, 0, len(ps.List))
	for _, pr := range ps.List {
		lines = append(lines, fmt.Sprintf("%s:%d:%d: %s: %s", ps.Name, pr.Line, pr.Column, pr.Text, pr.Remedy))
	}
	return strings.Join(lines, "\n")
}

// reader walks the nodes of one text and collects its problems.
type reader struct {
	problems []Problem
	claimed  map[string]int
}

func newReader() *reader {
	return &reader{claimed: map[string]int{}}
}

func (rd *reader) add(nd *yaml.Node, remedy, format string, args ...any) {
	rd.problems = append(rd.problems, Problem{
		Line: nd.Line, Column: nd.Column, Text: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// claim notes a name or an address that only one entry may have.
func (rd *reader) claim(nd *yaml.Node, kind, value string) {
	if value == "" {
		return
	}
	id := kind + " " + value
	if line, taken := rd.claimed[id]; taken {
		rd.add(nd, "give each its own", "duplicate %s %q, first used at line %d", kind, value, line)
		return
	}
	rd.claimed[id] = nd.Line
}

// err returns the problems in the order of the text; nil without any.
func (rd *reader) err(name string) error {
	if len(rd.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(rd.problems, func(left, right Problem) int {
		return cmp.Or(cmp.Compare(left.Line, right.Line), cmp.Compare(left.Column, right.Column))
	})
	return &Problems{Name: name, List: rd.problems}
}
