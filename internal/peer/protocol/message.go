// Package protocol defines the messages between the hosts of chervilwalk and
// encodes each as one datagram.
//
//	datagram := protocol.Encode(protocol.Ask{Ticket: 7, Service: "lookup", Key: 4711, Keyed: true})
//	msg, err := protocol.Decode(datagram)
package protocol

import "fmt"

// version is the first byte of each datagram; other versions are rejected.
const version = 1

// Msg is a message between hosts; number identifies its type in the datagram.
type Msg interface{ number() uint8 }

// The numbers of the messages are the second byte of a datagram: append only.
const (
	statusNumber = iota + 1
	heartbeatNumber
	assignmentNumber
	askNumber
	permitNumber
	refusalNumber
	queuedNumber
	doneNumber
	doneAckNumber
	rosterNumber
	rosterDeltaNumber
	assignmentDeltaNumber
	reportNumber
	recoveringNumber
	leavingNumber
	pauseNumber
	limitsNumber
	suspectsNumber
	operatorRowsNumber
	memberDeltaNumber
	packedRosterNumber
	uncertainNumber
)

func (Status) number() uint8     { return statusNumber }
func (Assignment) number() uint8 { return assignmentNumber }
func (Ask) number() uint8        { return askNumber }
func (Permit) number() uint8     { return permitNumber }
func (Refusal) number() uint8    { return refusalNumber }
func (Queued) number() uint8     { return queuedNumber }
func (Done) number() uint8       { return doneNumber }
func (Roster) number() uint8     { return rosterNumber }
func (DoneAck) number() uint8    { return doneAckNumber }

// number of a recovering or uncertain heartbeat is another one, so that builds that do not know it
// take it for no confirmation.
func (ms Heartbeat) number() uint8 {
	switch {
	case ms.Recovering:
		return recoveringNumber
	case ms.Uncertain:
		return uncertainNumber
	default:
		return heartbeatNumber
	}
}

func (Leaving) number() uint8     { return leavingNumber }
func (Pause) number() uint8       { return pauseNumber }
func (Limits) number() uint8      { return limitsNumber }
func (Suspects) number() uint8    { return suspectsNumber }
func (Report) number() uint8      { return reportNumber }
func (RosterDelta) number() uint8 { return rosterDeltaNumber }

// Encode returns a message as a datagram.
func Encode(msg Msg) []byte {
	cd := &codec{buf: []byte{version, msg.number()}}
	switch ms := msg.(type) {
	case Status:
		ms.code(cd)
	case Heartbeat:
		ms.codeAlone(cd)
	case Report:
		ms.code(cd)
	case Leaving:
		ms.code(cd)
	case Pause:
		ms.code(cd)
	case Limits:
		ms.code(cd)
	case Suspects:
		ms.code(cd)
	case OperatorRows:
		ms.code(cd)
	case PackedRoster:
		ms.code(cd)
	case Assignment:
		ms.code(cd)
	case Ask:
		ms.code(cd)
	case Permit:
		ms.code(cd)
	case Refusal:
		ms.code(cd)
	case Queued:
		ms.code(cd)
	case Done:
		ms.code(cd)
	case DoneAck:
		ms.code(cd)
	case Roster:
		ms.code(cd)
	case RosterDelta:
		ms.code(cd)
	case AssignmentDelta:
		ms.code(cd, ms.Delta.ChangesMembers())
	}
	return cd.buf
}

// Decode returns a datagram's message. It fails if the datagram is truncated or
// has an unknown version or message number.
func Decode(datagram []byte) (Msg, error) {
	if len(datagram) < 2 || datagram[0] != version {
		return nil, errMalformed
	}
	cd := &codec{buf: datagram[2:], reading: true}
	var msg Msg
	switch datagram[1] {
	case statusNumber:
		msg = decode(cd, func(ms *Status) { ms.code(cd) })
	case heartbeatNumber:
		msg = decode(cd, func(ms *Heartbeat) { ms.codeAlone(cd) })
	case recoveringNumber:
		msg = decode(cd, func(ms *Heartbeat) {
			ms.codeAlone(cd)
			ms.Recovering = true
		})
	case uncertainNumber:
		msg = decode(cd, func(ms *Heartbeat) {
			ms.codeAlone(cd)
			ms.Uncertain = true
		})
	case leavingNumber:
		msg = decode(cd, func(ms *Leaving) { ms.code(cd) })
	case pauseNumber:
		msg = decode(cd, func(ms *Pause) { ms.code(cd) })
	case limitsNumber:
		msg = decode(cd, func(ms *Limits) { ms.code(cd) })
	case suspectsNumber:
		msg = decode(cd, func(ms *Suspects) { ms.code(cd) })
	case operatorRowsNumber:
		msg = decode(cd, func(ms *OperatorRows) { ms.code(cd) })
	case packedRosterNumber:
		msg = decode(cd, func(ms *PackedRoster) { ms.code(cd) })
	case reportNumber:
		msg = decode(cd, func(ms *Report) { ms.code(cd) })
	case assignmentNumber:
		msg = decode(cd, func(ms *Assignment) { ms.code(cd) })
	case askNumber:
		msg = decode(cd, func(ms *Ask) { ms.code(cd) })
	case permitNumber:
		msg = decode(cd, func(ms *Permit) { ms.code(cd) })
	case refusalNumber:
		msg = decode(cd, func(ms *Refusal) { ms.code(cd) })
	case queuedNumber:
		msg = decode(cd, func(ms *Queued) { ms.code(cd) })
	case doneNumber:
		msg = decode(cd, func(ms *Done) { ms.code(cd) })
	case doneAckNumber:
		msg = decode(cd, func(ms *DoneAck) { ms.code(cd) })
	case rosterNumber:
		msg = decode(cd, func(ms *Roster) { ms.code(cd) })
	case rosterDeltaNumber:
		msg = decode(cd, func(ms *RosterDelta) { ms.code(cd) })
	case assignmentDeltaNumber:
		msg = decode(cd, func(ms *AssignmentDelta) { ms.code(cd, false) })
	case memberDeltaNumber:
		msg = decode(cd, func(ms *AssignmentDelta) { ms.code(cd, true) })
	default:
		return nil, fmt.Errorf("protocol: unknown message %d", datagram[1])
	}
	return msg, cd.err
}

// decode reads one message of type T.
func decode[T Msg](cd *codec, read func(*T)) T {
	var msg T
	if cd.err == nil {
		read(&msg)
	}
	return msg
}
