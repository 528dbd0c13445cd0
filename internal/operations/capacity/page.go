package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Marks between which the page's computed tables stand.
const (
	// BeginMark starts the computed part of the page.
	BeginMark = "<!-- computed: begin -->"
	// EndMark ends it.
	EndMark = "<!-- computed: end -->"
)

// ErrNoMarks says that a page has no place for the computed tables.
var ErrNoMarks = eris.New("capacity: the page lacks its marks")

// Line is one result of the page beside its limit.
type Line struct {
	Role      string
	What      string
	Formula   string
	Unit      Unit
	Value     float64
	Limit     float64
	Mechanism string
}

// Unit says how a result is written.
type Unit string

// Units of the page's results.
const (
	UnitBytes    Unit = "bytes"
	UnitBytesSec Unit = "bytes/s"
	UnitCore     Unit = "of a core"
	UnitSeconds  Unit = "s"
	UnitPerSec   Unit = "per s"
	UnitCount    Unit = "count"
	UnitShare    Unit = "of the slots"
)

// Fits tells whether the result keeps its limit; a line without one fits.
func (ln Line) Fits() bool {
	return ln.Limit == 0 || ln.Value <= ln.Limit
}

// Factor is how many times the result goes into its limit; below 1 it does not
// fit.
func (ln Line) Factor() float64 {
	if ln.Value == 0 {
		return math.Inf(1)
	}
	return ln.Limit / ln.Value
}

// write formats a value of the unit.
func (un Unit) write(value float64) string {
	switch un {
	case UnitBytes, UnitBytesSec:
		suffix := strings.TrimPrefix(string(un), "bytes")
		switch {
		case value >= 1<<20:
			return fmt.Sprintf("%.1f MB%s", value/(1<<20), suffix)
		case value >= 1<<10:
			return fmt.Sprintf("%.1f KB%s", value/(1<<10), suffix)
		default:
			return fmt.Sprintf("%.0f B%s", value, suffix)
		}
	case UnitCore:
		return fmt.Sprintf("%.2f%% of a core", 100*value)
	case UnitShare:
		return fmt.Sprintf("%.0f%% of the slots", 100*value)
	case UnitSeconds:
		return fmt.Sprintf("%.2f s", value)
	case UnitPerSec:
		return fmt.Sprintf("%.3g/s", value)
	default:
		return fmt.Sprintf("%.0f", value)
	}
}

// row is the line as a row of the page's table.
func (ln Line) row() string {
	limit, verdict := "—", "—"
	if ln.Limit > 0 {
		limit = ln.Unit.write(ln.Limit)
		verdict = fmt.Sprintf("fits, %.1f times", ln.Factor())
		if !ln.Fits() {
			verdict = fmt.Sprintf("**does not fit**, %.2f times", ln.Factor())
		}
	}
	return fmt.Sprintf("| %s | %s | `%s` | %s | %s | %s | %s |\n",
		ln.Role, ln.What, ln.Formula, ln.Unit.write(ln.Value), limit, verdict, ln.Mechanism)
}

// Render writes the computed part of the page from recorded slopes.
func Render(slopes []Slope) (string, error) {
	lines, err := Project(slopes, FullSize(), Assumed())
	if err != nil {
		return "", err
	}
	var sb strings.Builder
	renderLeast(&sb, lines)
	renderAssumed(&sb)
	renderDerived(&sb)
	renderLines(&sb, lines)
	if err := renderDoubling(&sb, slopes, lines); err != nil {
		return "", err
	}
	renderSlopes(&sb, slopes)
	return sb.String(), nil
}

// leastCount is how many of the lines that fit least stand at the page's head.
const leastCount = 2

// renderLeast names the lines that fit least, one for each role.
func renderLeast(sb *strings.Builder, lines []Line) {
	sorted := slices.SortedFunc(slices.Values(lines), func(left, right Line) int {
		return cmp.Compare(left.Factor(), right.Factor())
	})
	sb.WriteString("\n## The two parts that fit least\n\n")
	named := map[string]bool{}
	for _, ln := range sorted {
		if ln.Limit == 0 || named[ln.Role] || len(named) == leastCount {
			continue
		}
		named[ln.Role] = true
		fmt.Fprintf(sb, "%d. **%s, %s**: %s beside a limit of %s, %.2f times.\n",
			len(named), ln.Role, ln.What, ln.Unit.write(ln.Value), ln.Unit.write(ln.Limit), ln.Factor())
	}
}

// renderAssumed lists the assumptions.
func renderAssumed(sb *strings.Builder) {
	as := Assumed()
	sb.WriteString("\n## Assumptions\n\n| assumption | value |\n| --- | --- |\n")
	fmt.Fprintf(sb, "| mean service time | %.0f ms |\n", millisPerSecond*as.ServiceSeconds)
	fmt.Fprintf(sb, "| share of the slots in use | %.1f |\n", as.Load)
	fmt.Fprintf(sb, "| slots of an upstream | %.0f |\n", as.Slots)
	fmt.Fprintf(sb, "| upstreams in a pool (`poolUpstreams`) | %.0f |\n", as.PoolUpstreams)
	fmt.Fprintf(sb, "| slices for each upstream of a keyed service | %.0f |\n", as.SlicesPerUpstream)
	fmt.Fprintf(sb, "| services | %.0f |\n", as.Services)
	fmt.Fprintf(sb, "| share of requests for keyed services | %.1f |\n", as.KeyedShare)
	fmt.Fprintf(sb, "| cores of an entry host, for requests | %.0f |\n", FullSize().NodeCores)
	fmt.Fprintf(sb, "| writes that the table takes | %.0f/s |\n", FullSize().TableWrites)
}

func renderDerived(sb *strings.Builder) {
	de := Derive(FullSize(), Assumed())
	sb.WriteString("\n## What follows from size and assumptions\n\n| count | value |\n| --- | --- |\n")
	for _, it := range []struct {
		name  string
		value float64
	}{
		{"upstreams", de.Upstreams},
		{"pools", de.Pools},
		{"pools held by a node", de.PoolsPerNode},
		{"upstreams behind a node", de.UpstreamsPerNode},
		{"slices of keyed services", de.Slices},
		{"keys in a slice", de.KeysPerSlice},
		{"nodes in a domain", de.NodesPerDomain},
		{"requests a second at a node", de.RequestsPerNode},
	} {
		fmt.Fprintf(sb, "| %s | %.4g |\n", it.name, it.value)
	}
}

func renderLines(sb *strings.Builder, lines []Line) {
	sb.WriteString("\n## Each role at full size\n\n")
	sb.WriteString("| role | what | formula | result | limit | verdict | mechanism |\n")
	sb.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, ln := range lines {
		sb.WriteString(ln.row())
	}
}

func renderSlopes(sb *strings.Builder, slopes []Slope) {
	sb.WriteString("\n## The slopes\n\n| slope | role | value | unit | intercept | residual | sizes |\n")
	sb.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, sl := range slopes {
		first, last := sl.Points[0].Size, sl.Points[len(sl.Points)-1].Size
		fmt.Fprintf(sb, "| %s | %s | %.4g | %s per %s | %.4g | %.1f%% | %d–%d |\n",
			sl.Name, sl.Role, sl.Value, sl.Unit, sl.Per, sl.Intercept, 100*sl.Residual, first, last)
	}
}

// doubling is one assumption that the page doubles.
type doubling struct {
	name   string
	value  func(as Assumptions) string
	change func(as *Assumptions)
}

func doublings() []doubling {
	return []doubling{
		{"service time", func(as Assumptions) string { return fmt.Sprintf("%.0f ms", 1000*as.ServiceSeconds) }, func(as *Assumptions) { as.ServiceSeconds *= 2 }},
		{"upstreams per pool", func(as Assumptions) string { return fmt.Sprintf("%.0f", as.PoolUpstreams) }, func(as *Assumptions) { as.PoolUpstreams *= 2 }},
		{"slots per upstream", func(as Assumptions) string { return fmt.Sprintf("%.0f", as.Slots) }, func(as *Assumptions) { as.Slots *= 2 }},
		{"slices per upstream", func(as Assumptions) string { return fmt.Sprintf("%.0f", as.SlicesPerUpstream) }, func(as *Assumptions) { as.SlicesPerUpstream *= 2 }},
		{"share of keyed requests", func(as Assumptions) string { return fmt.Sprintf("%.1f", as.KeyedShare) }, func(as *Assumptions) { as.KeyedShare = min(1, 2*as.KeyedShare) }},
		{"services", func(as Assumptions) string { return fmt.Sprintf("%.0f", as.Services) }, func(as *Assumptions) { as.Services *= 2 }},
	}
}

// renderDoubling shows which results move by a tenth or more when an
// assumption doubles, and which verdicts turn.
func renderDoubling(sb *strings.Builder, slopes []Slope, lines []Line) error {
	sb.WriteString("\n## When an assumption doubles\n\n| assumption | value | results that move by a tenth or more | verdicts that turn |\n| --- | --- | --- | --- |\n")
	for _, db := range doublings() {
		as := Assumed()
		value := db.value(as)
		db.change(&as)
		doubled, err := Project(slopes, FullSize(), as)
		if err != nil {
			return err
		}
		moved, turned := compare(lines, doubled)
		fmt.Fprintf(sb, "| %s | %s | %s | %s |\n", db.name, value, orNone(moved), orNone(turned))
	}
	return nil
}

func compare(lines, doubled []Line) (moved, turned []string) {
	const tenth = 0.1
	for ix, ln := range lines {
		after := doubled[ix]
		if ln.Value != 0 && math.Abs(after.Value/ln.Value-1) >= tenth {
			moved = append(moved, fmt.Sprintf("%s: %s ×%.2f", ln.Role, ln.What, after.Value/ln.Value))
		}
		if ln.Fits() != after.Fits() {
			word := "fits"
			if !after.Fits() {
				word = "does not fit"
			}
			turned = append(turned, fmt.Sprintf("%s: %s %s", ln.Role, ln.What, word))
		}
	}
	return moved, turned
}

func orNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, "; ")
}

// Replace puts the computed part between the marks of a page.
func Replace(page, computed string) (string, error) {
	before, rest, ok := strings.Cut(page, BeginMark)
	if !ok {
		return "", ErrNoMarks
	}
	_, after, ok := strings.Cut(rest, EndMark)
	if !ok {
		return "", ErrNoMarks
	}
	return before + BeginMark + "\n" + computed + EndMark + after, nil
}
