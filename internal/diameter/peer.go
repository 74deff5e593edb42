package diameter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// State is the state of a peer's connections, RFC 6733 section 5.6. I is the connection that this node
// initiated, R the one that the peer initiated.
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

// Health is the watchdog's status of an open peer, RFC 3539 section 3.4.1.
type Health uint8

const (
	Initial Health = iota // the peer has not been open yet
	Okay                  // requests may be sent
	Suspect               // a watchdog was not answered in time: pending requests may fail over, no new ones are sent
	Down                  // the connection was closed or lost
	Reopen                // reconnected: three watchdog answers are needed before requests are sent again
)

var healthNames = []string{"INITIAL", "OKAY", "SUSPECT", "DOWN", "REOPEN"}

func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return fmt.Sprintf("Health(%d)", uint8(h))
}

// Side identifies one of the two connections to a peer.
type Side uint8

const (
	NoSide    Side = iota
	Initiator      // I
	Responder      // R
)

// String returns the connection's letter in RFC 6733, or a hyphen.
func (s Side) String() string { return []string{"-", "I", "R"}[min(s, 2)] }

// Input is the kind of an Event.
type Input uint8

const (
	Start      Input = iota // the application wants a connection to the peer
	Stop                    // the application wants the connection closed; Event.Cause holds the Disconnect-Cause
	ConnUp                  // the initiated connection is established
	ConnFailed              // the initiated connection could not be established
	GotCER                  // a CER arrived on a new connection from the peer
	GotCEA                  // a CEA arrived on the initiated connection; Event.Result holds its Result-Code
	GotDWR                  // a DWR arrived on Event.Side; so for the next three
	GotDWA
	GotDPR
	GotDPA
	GotOther         // any other message arrived on Event.Side
	PeerDisconnected // the connection of Event.Side ended
	Tick             // the time returned by Peer.Due has come
)

// Rebooting is the Disconnect-Cause by which a peer announces that it will accept a connection again soon
// (RFC 6733, 5.4.3).
const Rebooting = 0

// Event is an input to the state machine with its parameters.
type Event struct {
	Input  Input
	Side   Side
	Host   string // Origin-Host, for GotCER
	Result uint32 // Result-Code, for GotCEA
	Cause  uint32 // Disconnect-Cause, for Stop
}

// ActionKind is an operation that the caller has to carry out for a peer.
type ActionKind uint8

const (
	Connect ActionKind = iota // initiate a connection
	SendCER                   // on the initiated connection
	SendCEA                   // on the peer's connection, with DIAMETER_SUCCESS
	SendDWR                   // on Action.Side; so for the next three
	SendDWA
	SendDPR
	SendDPA
	Disconnect // close the connection of Action.Side
	Reject     // close the new connection from the peer: another one is already in use
	Deliver    // pass the message to the application
	Opened     // requests may be sent on Action.Side
	Failover   // send no new requests; pending ones may be sent to another peer with the T bit
	Failback   // resume sending requests
	Lost       // no connection is left: pending requests will not be answered
)

var actionNames = []string{"Connect", "SendCER", "SendCEA", "SendDWR", "SendDWA", "SendDPR", "SendDPA", "Disconnect", "Reject", "Deliver", "Opened", "Failover", "Failback", "Lost"}

// String returns the constant's name.
func (a ActionKind) String() string { return actionNames[a] }

// Action is an operation and the connection that it applies to.
type Action struct {
	Kind ActionKind
	Side Side
}

func (a Action) String() string {
	if a.Side == NoSide {
		return a.Kind.String()
	}
	return a.Kind.String() + "(" + a.Side.String() + ")"
}

// PeerConfig holds the timing parameters of a peer.
type PeerConfig struct {
	Watchdog       time.Duration // Tw; RFC 3539 recommends 30 s and requires at least 6 s
	WatchdogJitter time.Duration // largest deviation from Tw in both directions; RFC 3539: 2 s
	AnswerTimeout  time.Duration // for a connection attempt, a CEA or a DPA
	ReconnectBase  time.Duration // upper bound of the first random delay before reconnecting, doubled with each attempt
	ReconnectMax   time.Duration // upper bound of the delay after all doublings
	Persistent     bool          // reconnect after a started peer's connection has ended
}

// DefaultPeerConfig returns the values of RFC 6733 section 12 and RFC 3539.
func DefaultPeerConfig() PeerConfig {
	return PeerConfig{Watchdog: 30 * time.Second, WatchdogJitter: 2 * time.Second, AnswerTimeout: 10 * time.Second,
		ReconnectBase: time.Second, ReconnectMax: 30 * time.Second, Persistent: true}
}

// Peer is the state machine of one peer. It has no clock, sockets or goroutines: Step takes an event and
// returns the actions to carry out, Due returns when the next Tick has to be passed to Step.
type Peer struct {
	cfg   PeerConfig
	local string // Origin-Host of this node, in lower case
	rng   *rand.Rand

	state           State
	health          Health
	dwrPending      bool          // a DWR has not been answered yet
	dwaCount        int           // DWAs received in Reopen (NumDWA of RFC 3539), from -1; at 2 the peer is Okay
	remote          string        // Origin-Host of the peer's CER, in lower case
	started         bool          // Start was called, and no Stop since
	connectAttempts int           // failed or ended connections since the peer was last open
	answerDue       time.Duration // when waiting for the peer ends; 0: not waiting
	watchdogDue     time.Duration // when the watchdog timer expires; 0: not running
	reconnectDue    time.Duration // when to connect again; 0: no reconnect is planned
	closingSide     Side          // the connection that is being closed in state Closing
}

// NewPeer returns the state machine of a closed peer. rng is the source of jitter.
func NewPeer(local string, cfg PeerConfig, rng *rand.Rand) *Peer {
	return &Peer{cfg: cfg, local: strings.ToLower(local), rng: rng}
}

// State returns the state of the peer's connections.
func (p *Peer) State() State { return p.state }

// Health returns the status of the watchdog.
func (p *Peer) Health() Health { return p.health }

// Usable reports whether new requests may be sent, and on which connection.
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

// Due returns the earliest time at which a Tick is needed, or 0 if none is.
func (p *Peer) Due() (at time.Duration) {
	for _, t := range []time.Duration{p.answerDue, p.watchdogDue, p.reconnectDue} {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

// Step processes one event. now must be above 0 and must not decrease from call to call.
func (p *Peer) Step(now time.Duration, e Event) (acts []Action) {
	do := func(a ActionKind, s Side) { acts = append(acts, Action{a, s}) }
	switch e.Input {
	case Start:
		p.started = true
		if p.state == Closed && p.reconnectDue == 0 {
			p.connect(now, do)
		}
	case Stop:
		p.stop(now, do)
	case Tick:
		p.handleTick(now, do)
	case GotCER:
		p.handleCER(now, e, do)
	case ConnUp:
		switch p.state {
		case WaitConnAck:
			do(SendCER, Initiator)
			p.state, p.answerDue = WaitICEA, now+p.cfg.AnswerTimeout
		case WaitConnAckElect:
			do(SendCER, Initiator)
			p.elect(now, do)
		case Closed, ROpen, Closing:
			do(Disconnect, Initiator) // this connection is no longer needed
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
		p.handleCEA(now, e, do)
	case PeerDisconnected:
		p.handleDisconnect(now, e.Side, do)
	case GotDWR, GotDWA, GotDPR, GotDPA, GotOther:
		p.handleMessage(now, e, do)
	}
	return acts
}

// side returns the connection that is open or being closed; NoSide: there is none.
func (p *Peer) side() Side {
	switch p.state {
	case IOpen:
		return Initiator
	case ROpen:
		return Responder
	case Closing:
		return p.closingSide
	}
	return NoSide
}

// connect makes the caller initiate a connection, and starts to wait for it.
func (p *Peer) connect(now time.Duration, do func(ActionKind, Side)) {
	p.reconnectDue = 0
	do(Connect, Initiator)
	p.state, p.answerDue = WaitConnAck, now+p.cfg.AnswerTimeout
}

// open enters an open state and starts the watchdog. A peer that was down has to answer watchdogs before it
// is used.
func (p *Peer) open(now time.Duration, s State, do func(ActionKind, Side)) {
	p.state, p.answerDue, p.connectAttempts, p.reconnectDue, p.dwrPending = s, 0, 0, 0, false
	p.resetWatchdog(now)
	if p.health == Down || p.health == Reopen {
		p.health, p.dwaCount, p.dwrPending = Reopen, -1, true
		do(SendDWR, p.side())
		return
	}
	p.health = Okay
	do(Opened, p.side())
}

// resetWatchdog restarts the watchdog timer: it expires after Tw plus jitter.
func (p *Peer) resetWatchdog(now time.Duration) {
	p.watchdogDue = now + max(p.cfg.Watchdog+time.Duration((2*p.rng.Float64()-1)*float64(p.cfg.WatchdogJitter)), time.Millisecond)
}

// close enters Closed and plans a reconnect. failed: the watchdog declared the peer down.
func (p *Peer) close(now time.Duration, failed bool, do func(ActionKind, Side)) {
	was := p.state
	p.state, p.answerDue, p.watchdogDue, p.dwrPending, p.closingSide = Closed, 0, 0, false, NoSide
	if was == IOpen || was == ROpen || was == Closing {
		do(Lost, NoSide)
		// RFC 3539: a lost connection leaves the peer Down. A connection that either side closed by a DPR
		// doesn't, since that says nothing about the peer's health.
		if p.health = Initial; failed || was != Closing {
			p.health = Down
		}
	}
	if p.started && p.cfg.Persistent {
		wait := min(float64(p.cfg.ReconnectMax), float64(p.cfg.ReconnectBase)*math.Exp2(float64(min(p.connectAttempts, 30))))
		p.connectAttempts++
		p.reconnectDue = now + time.Duration(p.rng.Float64()*wait) + time.Millisecond
	}
}

// stop begins to close an open connection by a DPR, ends attempts to connect, and plans no reconnect.
func (p *Peer) stop(now time.Duration, do func(ActionKind, Side)) {
	p.started, p.reconnectDue = false, 0
	switch p.state {
	case IOpen, ROpen:
		s := p.side()
		do(SendDPR, s)
		p.state, p.closingSide, p.answerDue, p.watchdogDue = Closing, s, now+p.cfg.AnswerTimeout, 0
	case WaitConnAck, WaitICEA:
		do(Disconnect, Initiator)
		p.close(now, false, do)
	case WaitConnAckElect, WaitReturns:
		do(Disconnect, Initiator)
		do(Disconnect, Responder)
		p.close(now, false, do)
	}
}

// handleCER accepts the peer's connection if this node isn't connecting itself, resolves the election between the
// two connections if it is, and rejects any further connection.
func (p *Peer) handleCER(now time.Duration, e Event, do func(ActionKind, Side)) {
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

// elect resolves the election between two connections that were initiated at the same time: the node with the
// higher identity keeps the connection that its peer initiated. RFC 6733 section 5.6.4.
func (p *Peer) elect(now time.Duration, do func(ActionKind, Side)) {
	p.state, p.answerDue = WaitReturns, now+p.cfg.AnswerTimeout
	if p.local > p.remote {
		do(Disconnect, Initiator)
		do(SendCEA, Responder)
		p.open(now, ROpen, do)
	}
}

// handleCEA opens the initiated connection if its CEA reports success, and closes it otherwise.
func (p *Peer) handleCEA(now time.Duration, e Event, do func(ActionKind, Side)) {
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

// handleDisconnect handles the end of a connection: the other connection goes on, if there is one, or the
// peer is closed.
func (p *Peer) handleDisconnect(now time.Duration, s Side, do func(ActionKind, Side)) {
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

// handleMessage processes a message on an open connection.
func (p *Peer) handleMessage(now time.Duration, e Event, do func(ActionKind, Side)) {
	if p.state == WaitICEA && e.Side == Initiator || p.state == WaitReturns && e.Side == Initiator {
		do(Disconnect, Initiator) // only a CEA is allowed here
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
			do(Deliver, e.Side) // answers to requests that are still pending
		}
		return
	}
	p.noteReceived(now, e.Input == GotDWA, do)
	switch e.Input {
	case GotDWR:
		do(SendDWA, e.Side)
	case GotOther:
		do(Deliver, e.Side)
	case GotDPR:
		// The peer accepts no new requests; it may still send answers until it closes the connection.
		do(SendDPA, e.Side)
		p.state, p.closingSide, p.answerDue, p.watchdogDue = Closing, e.Side, now+p.cfg.AnswerTimeout, 0
	}
}

// noteReceived updates the watchdog after a message was received. dwa: the message is a DWA.
func (p *Peer) noteReceived(now time.Duration, dwa bool, do func(ActionKind, Side)) {
	if dwa {
		p.dwrPending = false
	}
	switch p.health {
	case Okay:
		p.resetWatchdog(now)
	case Suspect:
		p.health = Okay
		p.resetWatchdog(now)
		do(Failback, p.side())
	case Reopen:
		if !dwa {
			return
		}
		p.resetWatchdog(now)
		if p.dwaCount++; p.dwaCount >= 2 {
			p.health = Okay
			do(Opened, p.side())
		}
	}
}

// handleTick handles the timers that have expired: reconnect, wait for the peer, watchdog.
func (p *Peer) handleTick(now time.Duration, do func(ActionKind, Side)) {
	if p.reconnectDue > 0 && now >= p.reconnectDue && p.state == Closed {
		p.connect(now, do)
		return
	}
	if p.answerDue > 0 && now >= p.answerDue {
		switch p.state {
		case WaitConnAck, WaitICEA:
			do(Disconnect, Initiator)
			p.close(now, false, do)
		case WaitConnAckElect, WaitReturns:
			do(Disconnect, Initiator)
			do(Disconnect, Responder)
			p.close(now, false, do)
		case Closing:
			do(Disconnect, p.closingSide)
			p.close(now, false, do)
		}
		return
	}
	if p.watchdogDue == 0 || now < p.watchdogDue {
		return
	}
	switch p.health {
	case Okay:
		if p.dwrPending {
			p.health = Suspect
			do(Failover, p.side())
		} else {
			p.dwrPending = true
			do(SendDWR, p.side())
		}
		p.resetWatchdog(now)
	case Suspect:
		do(Disconnect, p.side())
		p.close(now, true, do)
	case Reopen:
		switch {
		case !p.dwrPending:
			p.dwrPending = true
			do(SendDWR, p.side())
			p.resetWatchdog(now)
		case p.dwaCount < 0:
			do(Disconnect, p.side())
			p.close(now, true, do)
		default:
			p.dwaCount = -1
			p.resetWatchdog(now)
		}
	}
}
