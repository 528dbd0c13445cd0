// Package explain reports on one request from the log lines of several
// hosts: what became of it, why, and what the hosts believed meanwhile.
//
//	cl := explain.New("cb4920573ed3d158")
//	err := cl.Read(file)
//	report, found := cl.Report()
//	report.Write(os.Stdout)
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/operations/eventlog"
)

const (
	// maxLineBytes is the longest line that is read.
	maxLineBytes = 1 << 20
	// movesBefore and movesAfter are how long before and after a request moves
	// of its key are looked for: a grant that has to run out takes seven seconds.
	movesBefore = 10 * time.Second
	movesAfter  = time.Second
	clockLayout = "15:04:05.000"
)

// descriptions say what each cause of a request's end is.
var descriptions = map[string]string{
	"answered":           "an upstream answered it",
	"upstreamFailed":     "the upstream answered with a failure of its own, which was passed on",
	"callerLeft":         "its caller left before it was answered",
	"malformed":          "its header fields could not be read; nothing was sent",
	"noRoute":            "the desired state in force has no route for it; nothing was sent",
	"noKey":              "its service is divided by key and it carried none; nothing was sent",
	"bodyTooLarge":       "its body is larger than the route takes; nothing was sent",
	"noDesiredState":     "the host knew no desired state yet; nothing was sent",
	"noRoomInTime":       "the holder expected no slot in time for it and refused at once; it did not run",
	"waitedTooLong":      "it waited for a slot until it could no longer be answered in time; it did not run",
	"noUpstream":         "no upstream could run it: none is listed, or its key had no owner; it did not run",
	"noAnswerFromHolder": "no holder answered the ask for a permit; it did not run",
	"unreached":          "no connection to the upstream could be opened; it did not run",
	"refused":            "the upstream said that it did not run it",
	"disowned":           "the upstream did not hold the key; it did not run",
	"broken":             "it was sent and the connection ended without an answer; it may have run",
	"timedOut":           "it was sent and no answer came in time; it may have run",
	"unsignedAnswer":     "what came back lacked the upstream's signature; it may have run",
	"outOfTime":          "its time had passed before it could be sent again",
}

// stateEvents change what a host takes for true.
var stateEvents = map[string]bool{
	"start": true, "stopping": true, "stop": true, "desiredState": true, "desiredStateMalformed": true, "bundleOpened": true, "leader": true,
	"leading": true, "storeLost": true, "storeRegained": true, "desiredStateSourceLost": true, "desiredStateSourceRegained": true,
	"domainEvacuated": true, "domainTakenBack": true, "memberLost": true, "linesDropped": true,
}

// upstreamEvents tell how an upstream is.
var upstreamEvents = map[string]bool{"upstream": true, "upstreamUnreached": true, "renewalFailed": true}

// moveEvents tell how keys move.
var moveEvents = map[string]bool{"movePlanned": true, "moved": true, "grantLapsed": true, "stepFailed": true}

// Collector collects what belongs to one request.
type Collector struct {
	id    string
	own   []eventlog.Line
	other []eventlog.Line
}

// New makes the collector of a request.
func New(id string) *Collector { return &Collector{id: id} }

// Read takes the lines of a log; other lines in it are passed over.
func (cl *Collector) Read(from io.Reader) error {
	sc := bufio.NewScanner(from)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		ln, ok := eventlog.ParseLine(sc.Text())
		switch {
		case !ok:
		case ln.Fields["request"] == cl.id:
			cl.own = append(cl.own, ln)
		case stateEvents[ln.Event], upstreamEvents[ln.Event], moveEvents[ln.Event], ln.Event == "holderSilent":
			cl.other = append(cl.other, ln)
		}
	}
	return eris.Wrap(sc.Err(), "log")
}

// Report is what became of a request.
type Report struct {
	ID string
	// Ends are its ends, more than one where its caller came again.
	Ends []End
}

// End is one end of a request with what led to it.
type End struct {
	Line eventlog.Line
	// Meaning says in words what the cause is.
	Meaning string
	// Steps are the request's lines, Moves those of its key, State the newest of
	// each kind from the hosts on its way.
	Steps, Moves, State []eventlog.Line
}

// Report puts the lines together; false means that none is about the request.
func (cl *Collector) Report() (Report, bool) {
	byTime := func(left, right eventlog.Line) int { return left.At.Compare(right.At) }
	slices.SortStableFunc(cl.own, byTime)
	slices.SortStableFunc(cl.other, byTime)
	rp := Report{ID: cl.id}
	var steps []eventlog.Line
	for _, ln := range cl.own {
		steps = append(steps, ln)
		if ln.Event == "request" {
			rp.Ends = append(rp.Ends, cl.end(ln, steps))
			steps = nil
		}
	}
	if len(steps) > 0 {
		// The line with its end was dropped or is in a log that was not read.
		rp.Ends = append(rp.Ends, cl.end(steps[len(steps)-1], steps))
	}
	return rp, len(rp.Ends) > 0
}

// end collects what led to an end.
func (cl *Collector) end(last eventlog.Line, steps []eventlog.Line) End {
	en := End{Line: last, Steps: steps, Meaning: descriptions[last.Fields["cause"]]}
	if en.Meaning == "" {
		en.Meaning = "its end is not in these logs"
	}
	began := last.At.Add(-time.Duration(last.Int("tookMs")) * time.Millisecond)
	hosts, upstreams := map[string]bool{}, map[string]bool{}
	key, keyed := 0, false
	for _, ln := range steps {
		hosts[ln.Host], hosts[ln.Fields["holder"]] = true, true
		upstreams[ln.Fields["upstream"]] = ln.Fields["upstream"] != ""
		if _, has := ln.Fields["key"]; has {
			key, keyed = ln.Int("key"), true
		}
	}
	newest := map[string]eventlog.Line{}
	for _, ln := range cl.other {
		switch {
		case moveEvents[ln.Event]:
			if keyed && concerns(ln, last.Fields["service"], key) && ln.At.After(began.Add(-movesBefore)) && ln.At.Before(last.At.Add(movesAfter)) {
				en.Moves = append(en.Moves, ln)
			}
		case ln.At.After(last.At):
		case ln.Event == "holderSilent":
			if hosts[ln.Host] && ln.At.After(began) {
				en.State = append(en.State, ln)
			}
		case upstreamEvents[ln.Event]:
			if upstreams[ln.Fields["upstream"]] && hosts[ln.Host] {
				newest[ln.Host+ln.Event+ln.Fields["upstream"]] = ln
			}
		case hosts[ln.Host]:
			newest[ln.Host+kindOf(ln.Event)] = ln
		}
	}
	for _, ln := range newest {
		en.State = append(en.State, ln)
	}
	slices.SortFunc(en.State, func(left, right eventlog.Line) int { return left.At.Compare(right.At) })
	return en
}

// kindOf puts events together of which only the newest counts.
func kindOf(event string) string {
	for _, pair := range [][2]string{
		{"Lost", ""}, {"Regained", ""}, {"leading", "leader"}, {"stopping", "start"}, {"stop", "start"}, {"TakenBack", "Evacuated"},
	} {
		event = strings.Replace(event, pair[0], pair[1], 1)
	}
	return event
}

// concerns tells whether a move is one of a key.
func concerns(ln eventlog.Line, service string, key int) bool {
	if named, has := ln.Fields["service"]; has && service != "" && named != service {
		return false
	}
	return ln.Int("from") <= key && key <= ln.Int("to")
}

// Write prints the report.
func (rp *Report) Write(to io.Writer) error {
	var sb strings.Builder
	for _, en := range rp.Ends {
		fields := en.Line.Fields
		fmt.Fprintf(&sb, "request %s at %s: status %s, cause %s, %s ms\n", rp.ID, en.Line.Host, orNone(fields["status"]), orNone(fields["cause"]), orNone(fields["tookMs"]))
		fmt.Fprintf(&sb, "  %s\n", en.Meaning)
		section(&sb, "what happened", en.Steps)
		section(&sb, "moves of its key", en.Moves)
		section(&sb, "state of the hosts on its way", en.State)
	}
	_, err := io.WriteString(to, sb.String())
	return eris.Wrap(err, "report")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func section(sb *strings.Builder, title string, lines []eventlog.Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(sb, "  %s\n", title)
	for _, ln := range lines {
		fmt.Fprintf(sb, "    %s %s %s\n", ln.At.Format(clockLayout), ln.Host, ln.Text)
	}
}
