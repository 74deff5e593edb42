package seat

import (
	"time"

	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

// Frames of the seats and of those that ask them.
const (
	frameRaft      = transport.KindHello + 1 + iota // a message of the agreement, between seats
	frameCheckIn                                    // what was promised under an identity?
	frameCheckedIn                                  // the answer
	frameAsk                                        // a command, and back what came of it
	frameAnswer
	frameLook // the table, as a seat has it
	frameTable
	frameJoin // a seat under a new identity asks to be let in
	frameKinds
)

const (
	magic       = "lemonrail duties 1"
	silentLimit = 30 * time.Second // a connection on which nothing comes is closed
)

// frameOf is the kind of a voter's message.
var frameOf = map[voter.Kind]transport.Kind{
	voter.KindRaft:         frameRaft,
	voter.KindCheckIn:      frameCheckIn,
	voter.KindCheckInReply: frameCheckedIn,
	voter.KindJoin:         frameJoin,
}

// kindOf is the voter's message in a frame; false: it is none.
func kindOf(frame transport.Kind) (voter.Kind, bool) {
	for kind, of := range frameOf {
		if of == frame {
			return kind, true
		}
	}
	return 0, false
}

// protocol is how an agent talks with seats.
func protocol(s *Settings, name string) transport.Protocol {
	return transport.Protocol{Magic: magic, Group: s.Fleet, Name: name, Kinds: frameKinds, Silence: silentLimit}
}
