package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"
)

// Problem is one error in a bundle's text, with its position and a hint.
type Problem struct {
	// Line and Column count from 1; 0 if the position is not known.
	Line   int
	Column int
	// Text says what is wrong.
	Text string
	// Hint tells the operator how to fix it.
	Hint string
}

// Problems is the error of Parse: every problem of one text, by position.
type Problems struct {
	// Name is the file name.
	Name string
	List []Problem
}

// Error returns one line for each problem: name:line:column: text: hint.
func (ps *Problems) Error() string {
	lines := make([]string, 0, len(ps.List))
	for _, pr := range ps.List {
		lines = append(lines, fmt.Sprintf("%s:%d:%d: %s: %s", ps.Name, pr.Line, pr.Column, pr.Text, pr.Hint))
	}
	return strings.Join(lines, "\n")
}

// reader walks the nodes of one text and collects its problems.
type reader struct {
	problems []Problem
	// firstLines holds the line where each unique value was first used, by kind
	// and value.
	firstLines map[string]int
}

// newReader returns a reader without problems.
func newReader() *reader {
	return &reader{firstLines: map[string]int{}}
}

// add reports a problem at a node's position; the format and its arguments make
// the text.
func (rd *reader) add(nd *yaml.Node, hint, format string, args ...any) {
	rd.problems = append(rd.problems, Problem{
		Line: nd.Line, Column: nd.Column, Text: fmt.Sprintf(format, args...), Hint: hint,
	})
}

// requireUnique reports a value that an earlier entry of the same kind has.
// Empty values are ignored: their problem is reported elsewhere.
func (rd *reader) requireUnique(nd *yaml.Node, kind, value string) {
	if value == "" {
		return
	}
	key := kind + " " + value
	if line, duplicate := rd.firstLines[key]; duplicate {
		rd.add(nd, "use a different one for each", "duplicate %s %q, first used at line %d", kind, value, line)
		return
	}
	rd.firstLines[key] = nd.Line
}

// err returns the problems as a *Problems, sorted by position, or nil if there
// are none.
func (rd *reader) err(name string) error {
	if len(rd.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(rd.problems, func(left, right Problem) int {
		return cmp.Or(cmp.Compare(left.Line, right.Line), cmp.Compare(left.Column, right.Column))
	})
	return &Problems{Name: name, List: rd.problems}
}
