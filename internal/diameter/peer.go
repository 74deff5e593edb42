package diameter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// State is where a peer stands, RFC 6733 section 5.6. I is the connection that we began, R the one
// that the peer began.
type State uint8

const (
	Closed State = iota
	WaitConnAck
	WaitICEA
	WaitConnAckElect
	WaitReturns
	IOpen
	ROpen
	Closing
)

var stateNames = []string{"Closed", "Wait-Conn-Ack", "Wait-I-CEA", "Wait-Conn-Ack/Elect", "Wait-Returns", "I-Open", "R-Open", "Closing"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Health is what the watchdog makes of an open peer, RFC 3539 section 3.4.1.
type Health uint8

const (
	Initial Health = iota // never open so far
	Okay                  // takes requests
	Suspect               // silent for too long: what is out may fail over, nothing new is sent
	Down                  // its connection was closed for that
	Reopen                // open again, and has yet to answer three watchdogs
)

var healthNames = []string{"INITIAL", "OKAY", "SUSPECT", "DOWN", "REOPEN"}

func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return fmt.Sprintf("Health(%d)", uint8(h))
}

// Side tells a peer's two connections apart.
type Side uint8

const (
	NoSide    Side = iota
	Initiator      // I
	Responder      // R
)

func (s Side) String() string { return []string{"-", "I", "R"}[min(s, 2)] }

// Input is what happens to a peer.
type Input uint8

const (
	Start      Input = iota // we want to talk to it
	Stop                    // and no longer; Cause tells why
	ConnUp                  // our connection is up
	ConnFailed              // it could not be made
	GotCER                  // on a new connection of the peer's
	GotCEA                  // on ours; Result tells
	GotDWR                  // on Side
	GotDWA
	GotDPR
	GotDPA
	GotOther // any other message on Side
	PeerGone // Side's connection ended
	Tick     // time has passed: see Peer.Due
)

// Rebooting is the Disconnect-Cause that lets a peer come back soon (RFC 6733, 5.4.3).
const Rebooting = 0

// Event is an input with what belongs to it.
type Event struct {
	Input  Input
	Side   Side
	Host   string // Origin-Host, with GotCER
	Result uint32 // with GotCEA
	Cause  uint32 // with Stop
}

// Act is what is to be done for a peer.
type Act uint8

const (
	Connect Act = iota // begin our connection
	SendCER            // on I
	SendCEA            // on R, with success
	SendDWR            // on Side
	SendDWA
	SendDPR
	SendDPA
	Disconnect // close Side's connection
	Reject     // close the new connection of the peer's: there is one already
	Deliver    // pass the message on
	Opened     // requests may be sent on Side
	Failover   // send nothing new; what is out may go elsewhere, with the T bit
	Failback   // send again
	Lost       // no connection is left: what is out has no answer to come
)

var actNames = []string{"Connect", "SendCER", "SendCEA", "SendDWR", "SendDWA", "SendDPR", "SendDPA", "Disconnect", "Reject", "Deliver", "Opened", "Failover", "Failback", "Lost"}

func (a Act) String() string { return actNames[a] }

// Action is an Act with the connection that it is for.
type Action struct {
	Act  Act
	Side Side
}

func (a Action) String() string {
	if a.Side == NoSide {
		return a.Act.String()
	}
	return a.Act.String() + "(" + a.Side.String() + ")"
}

// PeerConfig are a peer's times.
type PeerConfig struct {
	Watchdog     time.Duration // Tw; RFC 3539 asks for 30 s, and for 6 s at least
	Jitter       time.Duration // of Tw, both ways; RFC 3539: 2 s
	Answer       time.Duration // to wait for a connection, a CEA or a DPA
	Reconnect    time.Duration // first wait before another try, doubled each time
	ReconnectMax time.Duration
	Persistent   bool // we connect, and connect again
}

// DefaultPeerConfig follows RFC 6733 section 12 and RFC 3539.
func DefaultPeerConfig() PeerConfig {
	return PeerConfig{Watchdog: 30 * time.Second, Jitter: 2 * time.Second, Answer: 10 * time.Second,
		Reconnect: time.Second, ReconnectMax: 30 * time.Second, Persistent: true}
}

// Peer is the state machine of one peer. It has no clock, sockets or goroutine: Step takes what
// happened and returns what to do, Due says when to come back with a Tick.
type Peer struct {
	cfg   PeerConfig
	local string // our Origin-Host, in lower case
	rng   *rand.Rand

	state   State
	health  Health
	pending bool // a DWR has no answer yet
	dwas    int  // answered since it was opened again
	remote  string
	wanted  bool
	tries   int
	answer  time.Duration // when we give up waiting; 0: not waiting
	watch   time.Duration // when the watchdog expires; 0: not watching
	again   time.Duration // when to connect again; 0: not
	closing Side
}

// NewPeer returns the machine of a closed peer; rng draws jitter.
func NewPeer(local string, cfg PeerConfig, rng *rand.Rand) *Peer {
	return &Peer{cfg: cfg, local: strings.ToLower(local), rng: rng}
}

// State is where the peer stands.
func (p *Peer) State() State { return p.state }

// Health is what the watchdog makes of it.
func (p *Peer) Health() Health { return p.health }

// Usable reports whether new requests may be sent, and on which side.
func (p *Peer) Usable() (Side, bool) {
	if p.health != Okay {
		return NoSide, false
	}
	switch p.state {
	case IOpen:
		return Initiator, true
	case ROpen:
		return Responder, true
	}
	return NoSide, false
}

// Due is when a Tick is wanted; 0: not at all.
func (p *Peer) Due() (at time.Duration) {
	for _, t := range []time.Duration{p.answer, p.watch, p.again} {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

// Step takes one event at a time that never runs backwards, and is above 0.
func (p *Peer) Step(now time.Duration, e Event) (acts []Action) {
	do := func(a Act, s Side) { acts = append(acts, Action{a, s}) }
	switch e.Input {
	case Start:
		p.wanted = true
		if p.state == Closed && p.again == 0 {
			p.connect(now, do)
		}
	case Stop:
		p.stop(now, do)
	case Tick:
		p.tick(now, do)
	case GotCER:
		p.gotCER(now, e, do)
	case ConnUp:
		switch p.state {
		case WaitConnAck:
			do(SendCER, Initiator)
			p.state, p.answer = WaitICEA, now+p.cfg.Answer
		case WaitConnAckElect:
			do(SendCER, Initiator)
			p.elect(now, do)
		case Closed, ROpen, Closing:
			do(Disconnect, Initiator) // one that we no longer wait for
		}
	case ConnFailed:
		switch p.state {
		case WaitConnAck:
			p.close(now, false, do)
		case WaitConnAckElect:
			do(SendCEA, Responder)
			p.open(now, ROpen, do)
		}
	case GotCEA:
		p.gotCEA(now, e, do)
	case PeerGone:
		p.gone(now, e.Side, do)
	case GotDWR, GotDWA, GotDPR, GotDPA, GotOther:
		p.message(now, e, do)
	}
	return acts
}

func (p *Peer) side() Side {
	switch p.state {
	case IOpen:
		return Initiator
	case ROpen:
		return Responder
	case Closing:
		return p.closing
	}
	return NoSide
}

func (p *Peer) connect(now time.Duration, do func(Act, Side)) {
	p.again = 0
	do(Connect, Initiator)
	p.state, p.answer = WaitConnAck, now+p.cfg.Answer
}

// open begins an open state: the watchdog starts, and a peer that was down has to show that it is well.
func (p *Peer) open(now time.Duration, s State, do func(Act, Side)) {
	p.state, p.answer, p.tries, p.again, p.pending = s, 0, 0, 0, false
	p.setWatch(now)
	if p.health == Down || p.health == Reopen {
		p.health, p.dwas, p.pending = Reopen, -1, true
		do(SendDWR, p.side())
		return
	}
	p.health = Okay
	do(Opened, p.side())
}

func (p *Peer) setWatch(now time.Duration) {
	p.watch = now + max(p.cfg.Watchdog+time.Duration((2*p.rng.Float64()-1)*float64(p.cfg.Jitter)), time.Millisecond)
}

// close ends all; failed: the watchdog found the peer down.
func (p *Peer) close(now time.Duration, failed bool, do func(Act, Side)) {
	was := p.state
	p.state, p.answer, p.watch, p.pending, p.closing = Closed, 0, 0, false, NoSide
	if was == IOpen || was == ROpen || was == Closing {
		do(Lost, NoSide)
		// RFC 3539: a connection that ends leaves the peer down. One that a side ended on purpose, by a
		// DPR, tells nothing against it.
		if p.health = Initial; failed || was != Closing {
			p.health = Down
		}
	}
	if p.wanted && p.cfg.Persistent {
		wait := min(float64(p.cfg.ReconnectMax), float64(p.cfg.Reconnect)*math.Exp2(float64(min(p.tries, 30))))
		p.tries++
		p.again = now + time.Duration(p.rng.Float64()*wait) + time.Millisecond
	}
}

func (p *Peer) stop(now time.Duration, do func(Act, Side)) {
	p.wanted, p.again = false, 0
	switch p.state {
	case IOpen, ROpen:
		s := p.side()
		do(SendDPR, s)
		p.state, p.closing, p.answer, p.watch = Closing, s, now+p.cfg.Answer, 0
	case WaitConnAck, WaitICEA:
		do(Disconnect, Initiator)
		p.close(now, false, do)
	case WaitConnAckElect, WaitReturns:
		do(Disconnect, Initiator)
		do(Disconnect, Responder)
		p.close(now, false, do)
	}
}

func (p *Peer) gotCER(now time.Duration, e Event, do func(Act, Side)) {
	host := strings.ToLower(e.Host)
	switch p.state {
	case Closed:
		p.remote = host
		do(SendCEA, Responder)
		p.open(now, ROpen, do)
	case WaitConnAck:
		p.remote = host
		p.state = WaitConnAckElect
	case WaitICEA:
		p.remote = host
		p.elect(now, do)
	default:
		do(Reject, Responder)
	}
}

// elect decides between two connections that crossed: the peer with the higher name keeps the one
// that the other began. RFC 6733 section 5.6.4.
func (p *Peer) elect(now time.Duration, do func(Act, Side)) {
	p.state, p.answer = WaitReturns, now+p.cfg.Answer
	if p.local > p.remote {
		do(Disconnect, Initiator)
		do(SendCEA, Responder)
		p.open(now, ROpen, do)
	}
}

func (p *Peer) gotCEA(now time.Duration, e Event, do func(Act, Side)) {
	switch p.state {
	case WaitICEA, WaitReturns:
		if e.Result != Success && e.Result != LimitedSuccess {
			do(Disconnect, Initiator)
			if p.state == WaitReturns {
				do(SendCEA, Responder)
				p.open(now, ROpen, do)
				return
			}
			p.close(now, false, do)
			return
		}
		if p.state == WaitReturns {
			do(Disconnect, Responder)
		}
		p.open(now, IOpen, do)
	}
}

func (p *Peer) gone(now time.Duration, s Side, do func(Act, Side)) {
	switch {
	case p.state == WaitConnAck && s == Initiator, p.state == WaitICEA && s == Initiator:
		p.close(now, false, do)
	case p.state == WaitConnAckElect && s == Responder:
		p.state = WaitConnAck
	case p.state == WaitConnAckElect && s == Initiator, p.state == WaitReturns && s == Initiator:
		do(SendCEA, Responder)
		p.open(now, ROpen, do)
	case p.state == WaitReturns && s == Responder:
		p.state = WaitICEA
	case p.side() == s && s != NoSide:
		do(Disconnect, s)
		p.close(now, false, do)
	}
}

// message takes a message on an open connection.
func (p *Peer) message(now time.Duration, e Event, do func(Act, Side)) {
	if p.state == WaitICEA && e.Side == Initiator || p.state == WaitReturns && e.Side == Initiator {
		do(Disconnect, Initiator) // anything but a CEA
		if p.state == WaitReturns {
			do(SendCEA, Responder)
			p.open(now, ROpen, do)
			return
		}
		p.close(now, false, do)
		return
	}
	if p.side() != e.Side || e.Side == NoSide {
		return
	}
	if p.state == Closing {
		switch e.Input {
		case GotDPA:
			do(Disconnect, e.Side)
			p.close(now, false, do)
		case GotDPR:
			do(SendDPA, e.Side)
		case GotOther:
			do(Deliver, e.Side) // answers that are still owed
		}
		return
	}
	p.heard(now, e.Input == GotDWA, do)
	switch e.Input {
	case GotDWR:
		do(SendDWA, e.Side)
	case GotOther:
		do(Deliver, e.Side)
	case GotDPR:
		// It wants nothing new; answers that it owes may still come until it closes.
		do(SendDPA, e.Side)
		p.state, p.closing, p.answer, p.watch = Closing, e.Side, now+p.cfg.Answer, 0
	}
}

// heard is the watchdog's view of a message.
func (p *Peer) heard(now time.Duration, dwa bool, do func(Act, Side)) {
	if dwa {
		p.pending = false
	}
	switch p.health {
	case Okay:
		p.setWatch(now)
	case Suspect:
		p.health = Okay
		p.setWatch(now)
		do(Failback, p.side())
	case Reopen:
		if !dwa {
			return
		}
		p.setWatch(now)
		if p.dwas++; p.dwas >= 2 {
			p.health = Okay
			do(Opened, p.side())
		}
	}
}

func (p *Peer) tick(now time.Duration, do func(Act, Side)) {
	if p.again > 0 && now >= p.again && p.state == Closed {
		p.connect(now, do)
		return
	}
	if p.answer > 0 && now >= p.answer {
		switch p.state {
		case WaitConnAck, WaitICEA:
			do(Disconnect, Initiator)
			p.close(now, false, do)
		case WaitConnAckElect, WaitReturns:
			do(Disconnect, Initiator)
			do(Disconnect, Responder)
			p.close(now, false, do)
		case Closing:
			do(Disconnect, p.closing)
			p.close(now, false, do)
		}
		return
	}
	if p.watch == 0 || now < p.watch {
		return
	}
	switch p.health {
	case Okay:
		if p.pending {
			p.health = Suspect
			do(Failover, p.side())
		} else {
			p.pending = true
			do(SendDWR, p.side())
		}
		p.setWatch(now)
	case Suspect:
		do(Disconnect, p.side())
		p.close(now, true, do)
	case Reopen:
		switch {
		case !p.pending:
			p.pending = true
			do(SendDWR, p.side())
			p.setWatch(now)
		case p.dwas < 0:
			do(Disconnect, p.side())
			p.close(now, true, do)
		default:
			p.dwas = -1
			p.setWatch(now)
		}
	}
}
