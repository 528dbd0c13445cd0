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

func (ms *AssignmentDelta) code(cd *codec) {
	ms.Heartbeat.code(cd)
	dl := &ms.Delta
	numbered(cd, &dl.Base)
	numbered(cd, &dl.Revision)
	numbered(cd, &dl.LastEpoch)
	list(cd, &dl.Members, func(mb *assignment.Member) { codeMember(cd, mb) })
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
