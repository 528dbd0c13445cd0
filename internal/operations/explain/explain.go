// Package explain finds out from the logs of several hosts how one request
// ended, why, and what state the hosts were in at that time.
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
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/operations/eventlog"
)

const (
	// maxLineBytes is the length of the longest line that Read accepts.
	maxLineBytes = 1 << 20
	// movesBefore and movesAfter are how long before the start and after the end
	// of a request the moves of its key are reported. A move that has to wait for
	// a grant to expire takes seven seconds.
	movesBefore = 10 * time.Second
	movesAfter  = time.Second
	clockLayout = "15:04:05.000" // times in the report
)

// causeDescriptions describes each cause that the log line at a request's end may
// name.
var causeDescriptions = map[string]string{
	"answered":           "an upstream answered it",
	"upstreamFailed":     "the upstream answered with an error of its own, which was passed on",
	"callerLeft":         "its caller disconnected before it was answered",
	"malformed":          "its header fields could not be parsed; nothing was sent",
	"noRoute":            "no route of the desired state in force matches it; nothing was sent",
	"noKey":              "its service is divided by key, but the request has none; nothing was sent",
	"bodyTooLarge":       "its body is larger than the route allows; nothing was sent",
	"bodyRejected":       "the rest of its body was larger than the limit (413), malformed (400) or too slow (408), while an upstream read it; it may have run",
	"noDesiredState":     "the host had no desired state yet; nothing was sent",
	"stopping":           "it arrived when the host had stopped taking requests; nothing was sent",
	"noRoomInTime":       "the holder expected no free slot for it in time and refused at once; it did not run",
	"keyTooBusy":         "its key alone was asked for more than the key's owner can run; it was refused at once and did not run",
	"waitedTooLong":      "it waited for a slot until it could no longer be answered in time; it did not run",
	"noUpstream":         "no upstream could run it: none is listed, or its key had no owner; it did not run",
	"noAnswerFromHolder": "no holder answered the request for a permit; it did not run",
	"unreached":          "no connection to the upstream could be opened; it did not run",
	"refused":            "the upstream refused it and reported so; it did not run",
	"disowned":           "the upstream did not hold the key; it did not run",
	"broken":             "it was sent, but the connection broke or the answer was not valid; it may have run",
	"timedOut":           "it was sent, but no answer came in time; it may have run",
	"unsignedAnswer":     "the answer lacked the upstream's signature; it may have run",
	"upstreamPaused":     "the only upstream that could run it wanted no request from this host; it did not run",
	"domainUnreached":    "this host's failure domain was cut off from that of the only upstream that could run it; it did not run",
	"requestQuarantined": "upstreams have crashed under it, here or at other hosts, and its next trial was not due; it did not run",
	"requestSuspected":   "upstreams have crashed under it, and another run of it was under way; it did not run",
	"routeMalformed":     "its route in the desired state could not be read; nothing was sent",
	"outOfTime":          "its deadline passed before it could be sent again",
}

// notRunCauses are the causes that say of the last attempt that it did not run.
var notRunCauses = map[string]bool{
	"noRoomInTime": true, "keyTooBusy": true, "waitedTooLong": true, "noUpstream": true, "noAnswerFromHolder": true, "unreached": true, "refused": true, "disowned": true,
	"upstreamPaused": true, "domainUnreached": true, "outOfTime": true, "requestQuarantined": true, "requestSuspected": true,
}

// stateEvents report a change of a host's state or of what it knows.
var stateEvents = map[string]bool{
	"start": true, "stopping": true, "stop": true, "desiredState": true, "desiredStateMalformed": true, "bundleOpened": true, "leader": true,
	"leading": true, "storeLost": true, "storeRegained": true, "storeEra": true, "assignmentRecovered": true, "desiredStateSourceLost": true, "desiredStateSourceRegained": true,
	"domainEvacuated": true, "domainTakenBack": true, "memberLost": true, "linesDropped": true,
}

// upstreamEvents report the state of an upstream.
var upstreamEvents = map[string]bool{"upstream": true, "upstreamUnreached": true, "renewalFailed": true, "upstreamPaused": true}

// moveEvents report how moves of keys proceed.
var moveEvents = map[string]bool{"movePlanned": true, "moved": true, "grantLapsed": true, "stepFailed": true}

// Collector collects the log lines that explain one request.
type Collector struct {
	id string
	// requestLines are the lines that name the request, contextLines those of events
	// that may have affected it.
	requestLines []eventlog.Line
	contextLines []eventlog.Line
}

// New returns a collector for the request with the given ID.
func New(id string) *Collector { return &Collector{id: id} }

// Read reads a log. It skips lines that are not log lines or not relevant. It
// fails when reading fails or a line is longer than 1 MiB.
func (cl *Collector) Read(from io.Reader) error {
	sc := bufio.NewScanner(from)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		ln, ok := eventlog.ParseLine(sc.Text())
		switch {
		case !ok:
		case ln.Fields["request"] == cl.id:
			cl.requestLines = append(cl.requestLines, ln)
		case stateEvents[ln.Event], upstreamEvents[ln.Event], moveEvents[ln.Event], ln.Event == "holderSilent":
			cl.contextLines = append(cl.contextLines, ln)
		}
	}
	return eris.Wrap(sc.Err(), "log")
}

// Report explains how a request ended.
type Report struct {
	ID string
	// Outcomes holds one outcome for each time the caller sent the request, the
	// oldest first.
	Outcomes []Outcome
}

// Outcome is how a request ended, with the log lines that explain it.
type Outcome struct {
	// Line is the line at the request's end, or its last line if that is missing.
	Line eventlog.Line
	// Description describes the cause in words.
	Description string
	// Steps are the lines about the request. Moves are the lines about moves of
	// its key. State holds the newest line of each kind from the hosts involved,
	// and every holderSilent line during the request.
	Steps, Moves, State []eventlog.Line
}

// Report builds the report from the lines read; false means that no line names
// the request.
func (cl *Collector) Report() (Report, bool) {
	byTime := func(left, right eventlog.Line) int { return left.At.Compare(right.At) }
	slices.SortStableFunc(cl.requestLines, byTime)
	slices.SortStableFunc(cl.contextLines, byTime)
	rp := Report{ID: cl.id}
	var steps []eventlog.Line
	for _, ln := range cl.requestLines {
		steps = append(steps, ln)
		if ln.Event == "request" {
			rp.Outcomes = append(rp.Outcomes, cl.outcome(ln, steps))
			steps = nil
		}
	}
	if len(steps) > 0 {
		// The line at the request's end was dropped or is in a log that was not read.
		rp.Outcomes = append(rp.Outcomes, cl.outcome(steps[len(steps)-1], steps))
	}
	return rp, len(rp.Outcomes) > 0
}

// outcome collects the lines that explain one outcome. steps ends with last, the
// line at the request's end.
func (cl *Collector) outcome(last eventlog.Line, steps []eventlog.Line) Outcome {
	oc := Outcome{Line: last, Steps: steps, Description: causeDescriptions[last.Fields["cause"]]}
	if oc.Description == "" {
		oc.Description = "these logs do not show how it ended"
	}
	if status := last.Int("status"); notRunCauses[last.Fields["cause"]] && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout) {
		// Only an attempt that may have run makes these statuses of such a cause.
		oc.Description = "an earlier attempt may have run; then " + strings.Replace(oc.Description, "it did not run", "it was not run again", 1)
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
	for _, ln := range cl.contextLines {
		switch {
		case moveEvents[ln.Event]:
			if keyed && affectsKey(ln, last.Fields["service"], key) && ln.At.After(began.Add(-movesBefore)) && ln.At.Before(last.At.Add(movesAfter)) {
				oc.Moves = append(oc.Moves, ln)
			}
		case ln.At.After(last.At):
		case ln.Event == "holderSilent":
			if hosts[ln.Host] && ln.At.After(began) {
				oc.State = append(oc.State, ln)
			}
		case upstreamEvents[ln.Event]:
			if upstreams[ln.Fields["upstream"]] && hosts[ln.Host] {
				newest[ln.Host+ln.Event+ln.Fields["upstream"]] = ln
			}
		case hosts[ln.Host]:
			newest[ln.Host+stateKind(ln.Event)] = ln
		}
	}
	for _, ln := range newest {
		oc.State = append(oc.State, ln)
	}
	slices.SortFunc(oc.State, func(left, right eventlog.Line) int { return left.At.Compare(right.At) })
	return oc
}

// stateKind returns the same kind for events that replace each other, such as
// storeLost and storeRegained, because only the newest of them still holds.
func stateKind(event string) string {
	for _, pair := range [][2]string{
		{"Lost", ""}, {"Regained", ""}, {"leading", "leader"}, {"stopping", "start"}, {"stop", "start"}, {"TakenBack", "Evacuated"},
	} {
		event = strings.Replace(event, pair[0], pair[1], 1)
	}
	return event
}

// affectsKey reports whether a move includes the key of a service.
func affectsKey(ln eventlog.Line, service string, key int) bool {
	if named, has := ln.Fields["service"]; has && service != "" && named != service {
		return false
	}
	return ln.Int("from") <= key && key <= ln.Int("to")
}

// Write writes the report as text.
func (rp *Report) Write(to io.Writer) error {
	var sb strings.Builder
	for _, oc := range rp.Outcomes {
		fields := oc.Line.Fields
		fmt.Fprintf(&sb, "request %s at %s: status %s, cause %s, %s ms\n", rp.ID, oc.Line.Host, orNone(fields["status"]), orNone(fields["cause"]), orNone(fields["tookMs"]))
		fmt.Fprintf(&sb, "  %s\n", oc.Description)
		writeSection(&sb, "log lines of the request", oc.Steps)
		writeSection(&sb, "moves of its key", oc.Moves)
		writeSection(&sb, "state of the hosts involved", oc.State)
	}
	_, err := io.WriteString(to, sb.String())
	return eris.Wrap(err, "report")
}

// orNone returns the text, or "none" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// writeSection writes lines under a title, or nothing if there are none.
func writeSection(sb *strings.Builder, title string, lines []eventlog.Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(sb, "  %s\n", title)
	for _, ln := range lines {
		fmt.Fprintf(sb, "    %s %s %s\n", ln.At.Format(clockLayout), ln.Host, ln.Text)
	}
}
