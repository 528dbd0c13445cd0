package eventlog

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log, as it was read back.
type Line struct {
	At     time.Time
	Host   string
	Event  string
	Fields map[string]string
	// Text is the line without its time and host.
	Text string
}

// Int is a field that holds a whole number; 0 where it does not.
func (ln *Line) Int(name string) int {
	number, err := strconv.Atoi(ln.Fields[name])
	if err != nil {
		return 0
	}
	return number
}

// timeLayout is how lines begin.
const timeLayout = "2006-01-02T15:04:05.000Z"

// ParseLine reads a line; what a collector wrote before its time is passed over.
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

// cutField reads the first name=value of a text.
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
