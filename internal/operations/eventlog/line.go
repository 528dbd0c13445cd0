package eventlog

import (
	"strconv"
	"strings"
	"time"
)

// Line is a parsed log line.
type Line struct {
	At     time.Time
	Host   string
	Event  string
	Fields map[string]string
	// Text is the line's unparsed text after its time and host.
	Text string
}

// Int returns a field's integer value, or 0 if the field is missing or not an
// integer.
func (ln *Line) Int(name string) int {
	number, err := strconv.Atoi(ln.Fields[name])
	if err != nil {
		return 0
	}
	return number
}

// timeLayout is the format of the time at the start of a line, in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

// ParseLine parses a line. It skips anything that a log collector put before
// the time; false means that the text is not a log line.
func ParseLine(text string) (Line, bool) {
	before, rest, found := strings.Cut(strings.TrimSpace(text), " host=")
	if !found {
		return Line{}, false
	}
	at, err := time.Parse(timeLayout, before[strings.LastIndexByte(before, ' ')+1:])
	if err != nil {
		return Line{}, false
	}
	ln := Line{At: at, Fields: map[string]string{}}
	rest = "host=" + rest
	for rest != "" {
		name, value, tail, ok := cutField(rest)
		if !ok {
			return Line{}, false
		}
		switch name {
		case "host":
			ln.Host, ln.Text = value, tail
		case "event":
			ln.Event = value
		default:
			ln.Fields[name] = value
		}
		rest = tail
	}
	return ln, ln.Event != ""
}

// cutField splits the first name=value pair off a text and unquotes its value.
func cutField(text string) (name, value, rest string, ok bool) {
	name, rest, ok = strings.Cut(text, "=")
	if !ok {
		return "", "", "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, rest, _ = strings.Cut(rest, " ")
		return name, value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return "", "", "", false
	}
	rest = strings.TrimPrefix(rest[len(quoted):], " ")
	value, err = strconv.Unquote(quoted)
	return name, value, rest, err == nil
}
