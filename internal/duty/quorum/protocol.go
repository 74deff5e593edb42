package quorum

import (
	"time"

	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

// Kinds of frames between voters, and between clients and voters.
const (
	frameRaft         = transport.KindHello + 1 + iota // a raft message, between voters
	frameCheckIn                                       // a starting voter asks what it had promised under its identity
	frameCheckInReply                                  // the reply to it
	frameCommand                                       // a command, from a client
	frameCommandReply                                  // the command's result
	frameTableRequest                                  // asks for the table as the voter knows it
	frameTableReply                                    // the reply to it
	frameJoin                                          // a voter under a new identity asks to be admitted
	frameKindCount
)

const (
	magic       = "lemonrail duties 1" // name and version of the protocol
	idleTimeout = 30 * time.Second     // after which a connection on which nothing is received is closed
)

// frameOfVoterKind maps the kinds of the voter's messages to kinds of frames.
var frameOfVoterKind = map[voter.Kind]transport.Kind{
	voter.KindRaft:         frameRaft,
	voter.KindCheckIn:      frameCheckIn,
	voter.KindCheckInReply: frameCheckInReply,
	voter.KindJoin:         frameJoin,
}

// voterKindOf returns the kind of the voter's message in a frame; false: the frame carries none.
func voterKindOf(frame transport.Kind) (voter.Kind, bool) {
	for kind, of := range frameOfVoterKind {
		if of == frame {
			return kind, true
		}
	}
	return 0, false
}

// protocol returns the protocol of the connections between an agent and the voters.
func protocol(s *Settings, name string) transport.Protocol {
	return transport.Protocol{Magic: magic, Group: s.Fleet, Name: name, KindCount: frameKindCount, SilenceTimeout: idleTimeout}
}
