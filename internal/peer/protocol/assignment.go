package protocol

import (
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
)

// AssignmentDelta carries the changes of the assignment.
type AssignmentDelta struct {
	Heartbeat
	Delta assignment.Delta
}

// number of a delta with the members that have changed is another one, so that builds that do not
// know it do not keep the members that they have.
func (ms AssignmentDelta) number() uint8 {
	if ms.Delta.ChangesMembers() {
		return memberDeltaNumber
	}
	return assignmentDeltaNumber
}

// EncodedDelta is an assignment delta that is sent to many members, each with a heartbeat of its
// own.
type EncodedDelta struct {
	number uint8
	body   []byte
}

// EncodeDelta encodes a delta.
func EncodeDelta(dl assignment.Delta) EncodedDelta {
	cd := &codec{}
	codeDelta(cd, &dl, dl.ChangesMembers())
	return EncodedDelta{AssignmentDelta{Delta: dl}.number(), cd.buf}
}

// Datagram returns the datagram with the delta and a heartbeat.
func (ed EncodedDelta) Datagram(hb Heartbeat) []byte {
	cd := &codec{buf: append(make([]byte, 0, len(ed.body)+heartbeatBytes), version, ed.number)}
	hb.code(cd)
	return append(cd.buf, ed.body...)
}

// heartbeatBytes is more than an encoded heartbeat usually takes.
const heartbeatBytes = 128

// Assignment carries one part of the encoded assignment, numbered as in Roster.
type Assignment struct {
	Heartbeat
	Part, Parts int
	Body        string
}

// Report carries one part of the encoded assignment that a member remembers, as the
// reply to a recovering heartbeat.
type Report struct {
	Host        ident.Host
	Revision    assignment.Revision
	Part, Parts int
	Body        string
}

func (ms *Assignment) code(cd *codec) {
	ms.Heartbeat.code(cd)
	count(cd, &ms.Part)
	count(cd, &ms.Parts)
	text(cd, &ms.Body)
}

func (ms *AssignmentDelta) code(cd *codec, changesMembers bool) {
	ms.Heartbeat.code(cd)
	codeDelta(cd, &ms.Delta, changesMembers)
}

// codeDelta codes a delta with the members that have changed, or with all of them if any has.
func codeDelta(cd *codec, dl *assignment.Delta, changesMembers bool) {
	numbered(cd, &dl.Base)
	numbered(cd, &dl.Revision)
	numbered(cd, &dl.LastEpoch)
	if changesMembers {
		list(cd, &dl.Changed, func(mb *assignment.Member) { codeMember(cd, mb) })
		list(cd, &dl.Left, func(host *ident.Host) { text(cd, host) })
	} else {
		list(cd, &dl.Members, func(mb *assignment.Member) { codeMember(cd, mb) })
	}
	list(cd, &dl.Dropped, func(ss *assignment.ShareStart) {
		text(cd, &ss.Service)
		varint(cd, &ss.From)
	})
	list(cd, &dl.Added, func(sh *assignment.Share) {
		text(cd, &sh.Service)
		varint(cd, &sh.From)
		varint(cd, &sh.To)
		if cd.reading && sh.To < sh.From {
			cd.err, cd.buf = errMalformed, nil
		}
		codeClaim(cd, &sh.Owner)
		codeClaim(cd, &sh.Next)
		numbered(cd, &sh.Fence)
	})
}

func codeClaim(cd *codec, cl *assignment.Claim) {
	text(cd, &cl.Upstream)
	varint(cd, &cl.Incarnation)
	numbered(cd, &cl.Epoch)
}

func (ms *Report) code(cd *codec) {
	text(cd, &ms.Host)
	numbered(cd, &ms.Revision)
	count(cd, &ms.Part)
	count(cd, &ms.Parts)
	text(cd, &ms.Body)
}
