package exchange

import (
	"time"

	"rattanline.example/rattanline/quarantine"
)

// The crash marks of a daemon pass to the others in two ways. The newest ones are in each message
// to a daemon that isn't known to have them, so that all daemons have them within a round. A
// daemon that missed them, because it started later or was cut off, is recognised by the digest of
// its marks, and gets those that it lacks. Messages between daemons with the same marks carry the
// digest alone.

const (
	// markRelayPeriod is how long after a crash its mark is sent to peers that may lack it.
	markRelayPeriod = 5 * time.Second
	// maxSentMarks bounds the marks in one message in addition to the newest ones. A mark takes
	// about 50 bytes.
	maxSentMarks = 1024
)

// knownMarks is what a peer last stated about its crash marks.
type knownMarks struct {
	stated  bool // whether it sent a message
	digest  uint64
	digests *quarantine.Digests // nil if not stated
}

// knownMarks returns what the sender of the message states about its crash marks.
func (m *Message) knownMarks() knownMarks {
	return knownMarks{stated: true, digest: m.MarksDigest, digests: m.MarkDigests}
}

// addMarks adds crash marks to the message to the peer, which may be nil. The peer gets those that it
// lacks as soon as it has stated which ones it has.
func (x *Exchange) addMarks(m *Message, p *Peer) {
	now := time.Now()
	digests := x.Marks.Digests(now)
	m.MarksDigest = digests.Sum()
	isStated := p != nil && p.marks.stated
	if isStated && p.marks.digest == m.MarksDigest {
		return
	}
	m.Marks = x.Marks.Recent(now, markRelayPeriod)
	if !isStated {
		return
	}
	if m.MarksDigest != 0 {
		m.MarkDigests = &digests
	}
	switch known := p.marks; {
	case known.digest == 0:
		m.Marks = append(m.Marks, x.Marks.Missing(now, quarantine.Digests{}, maxSentMarks)...)
	case known.digests != nil:
		m.Marks = append(m.Marks, x.Marks.Missing(now, *known.digests, maxSentMarks)...)
	}
}
