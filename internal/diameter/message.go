// Package diameter is the Diameter base protocol of RFC 6733: messages and AVPs on the wire, a
// dictionary, and the peer state machine. It knows nothing of the agent.
//
//	Reader ─▶ Message (header, AVPs that point into the bytes read) ─▶ Dictionary.Check ─▶ Peer
//
// Decoding copies no data: an AVP's Data is a part of the message's bytes and must not be changed.
// Grouped AVPs are taken apart when they are asked for. What breaks a rule of the protocol comes
// back as an *Error with the Result-Code that the RFC wants and the AVP to name in Failed-AVP.
//
// Bounds: Limits hold a message's size, the number of its AVPs and the depth of groups.
package diameter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Command flags, RFC 6733 section 3.
const (
	FlagRequest       = 0x80 // R
	FlagProxiable     = 0x40 // P
	FlagError         = 0x20 // E: an answer with a protocol error
	FlagRetransmitted = 0x10 // T: possibly sent before
	flagsReserved     = 0x0f
)

// AVP flags, RFC 6733 section 4.1.
const (
	AVPVendor    = 0x80 // V
	AVPMandatory = 0x40 // M
	AVPProtected = 0x20 // P: reserved for end-to-end security
	avpReserved  = 0x1f
)

const (
	version    = 1
	headerSize = 20
	maxLength  = 1<<24 - 1 // of a message or an AVP: three bytes tell it
)

// Message is a request or an answer.
type Message struct {
	Flags       uint8
	Command     uint32
	Application uint32
	HopByHop    uint32
	EndToEnd    uint32
	AVPs        []AVP
}

// Request reports whether the message is one.
func (m *Message) Request() bool { return m.Flags&FlagRequest != 0 }

// AVP is an attribute and its value.
type AVP struct {
	Code   uint32
	Flags  uint8
	Vendor uint32 // with AVPVendor
	Data   []byte // without padding
}

// key tells an attribute.
type key struct{ code, vendor uint32 }

func (a *AVP) key() key { return key{a.Code, a.Vendor} }

// size is the number of bytes on the wire, padding included.
func (a *AVP) size() int { return (a.head() + len(a.Data) + 3) &^ 3 }

func (a *AVP) head() int {
	if a.Flags&AVPVendor != 0 {
		return 12
	}
	return 8
}

// Limits bound what a message may take.
type Limits struct {
	Message int // bytes
	AVPs    int // in a message or a group
	Depth   int // of groups within groups
}

// DefaultLimits are enough for base, credit control and Sh.
func DefaultLimits() Limits { return Limits{Message: 64 << 10, AVPs: 512, Depth: 8} }

// Error is a breach of the protocol.
type Error struct {
	Result uint32 // Result-Code for the answer
	Failed *AVP   // for Failed-AVP; nil: none
	Fatal  bool   // the place of the next message is not known: the connection ends
	Text   string
}

func (e *Error) Error() string { return fmt.Sprintf("diameter: %s (%d)", e.Text, e.Result) }

func fault(result uint32, failed *AVP, format string, args ...any) *Error {
	return &Error{Result: result, Failed: failed, Text: fmt.Sprintf(format, args...)}
}

// Reader reads messages from a stream.
type Reader struct {
	r      *bufio.Reader
	limits Limits
}

// NewReader returns a Reader with bounds.
func NewReader(r io.Reader, limits Limits) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 16<<10), limits: limits}
}

// Next reads one message's bytes. io.EOF: the stream ended between two; io.ErrUnexpectedEOF: within
// one. A fatal *Error says that the stream can't be read on.
func (r *Reader) Next() ([]byte, error) {
	head, err := r.r.Peek(4)
	if err != nil {
		if errors.Is(err, io.EOF) && len(head) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(head) & maxLength)
	switch {
	case head[0] != version:
		return nil, &Error{Result: UnsupportedVersion, Fatal: true, Text: fmt.Sprintf("version %d", head[0])}
	case length < headerSize || length%4 != 0:
		return nil, &Error{Result: InvalidMessageLength, Fatal: true, Text: fmt.Sprintf("message of %d bytes", length)}
	case length > r.limits.Message:
		return nil, &Error{Result: InvalidMessageLength, Fatal: true, Text: fmt.Sprintf("message of %d bytes, %d are taken", length, r.limits.Message)}
	}
	raw := make([]byte, length)
	if _, err := io.ReadFull(r.r, raw); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return raw, nil
}

// Decode reads a whole message. With an *Error the message holds what could be read, its header at
// least where that is whole, so that an answer can be made.
func Decode(raw []byte, limits Limits) (*Message, error) {
	if len(raw) < headerSize {
		return nil, &Error{Result: InvalidMessageLength, Fatal: true, Text: fmt.Sprintf("message of %d bytes", len(raw))}
	}
	m := &Message{Flags: raw[4], Command: binary.BigEndian.Uint32(raw[4:]) & maxLength, Application: binary.BigEndian.Uint32(raw[8:]),
		HopByHop: binary.BigEndian.Uint32(raw[12:]), EndToEnd: binary.BigEndian.Uint32(raw[16:])}
	length := int(binary.BigEndian.Uint32(raw) & maxLength)
	switch {
	case raw[0] != version:
		return m, &Error{Result: UnsupportedVersion, Fatal: true, Text: fmt.Sprintf("version %d", raw[0])}
	case length != len(raw) || length%4 != 0 || length > limits.Message:
		return m, &Error{Result: InvalidMessageLength, Fatal: true, Text: fmt.Sprintf("message of %d bytes says %d", len(raw), length)}
	case m.Flags&flagsReserved != 0:
		return m, fault(InvalidHeaderBits, nil, "reserved bits of the command flags are set: %#x", m.Flags)
	case m.Request() && m.Flags&FlagError != 0:
		return m, fault(InvalidHeaderBits, nil, "a request with the E bit")
	case !m.Request() && m.Flags&FlagRetransmitted != 0:
		return m, fault(InvalidHeaderBits, nil, "an answer with the T bit")
	}
	var err error
	m.AVPs, err = decodeAVPs(raw[headerSize:], limits)
	return m, err
}

// decodeAVPs reads what stands one behind the other. With an error come those before the fault.
func decodeAVPs(raw []byte, limits Limits) ([]AVP, error) {
	var list []AVP
	for len(raw) > 0 {
		if len(list) >= limits.AVPs {
			return list, fault(InvalidMessageLength, nil, "more than %d AVPs", limits.AVPs)
		}
		if len(raw) < 8 {
			// RFC 6733 section 7.1.5: a header that is cut off is filled up with zeros.
			full := append(append([]byte(nil), raw...), make([]byte, 8)...)
			a := AVP{Code: binary.BigEndian.Uint32(full)}
			return list, fault(InvalidAVPLength, &a, "%d bytes left for an AVP's header", len(raw))
		}
		a := AVP{Code: binary.BigEndian.Uint32(raw), Flags: raw[4]}
		length, head := int(binary.BigEndian.Uint32(raw[4:])&maxLength), a.head()
		if length < head || length > len(raw) || head > len(raw) {
			if head == 12 && len(raw) >= 12 {
				a.Vendor = binary.BigEndian.Uint32(raw[8:])
			}
			return list, fault(InvalidAVPLength, &AVP{Code: a.Code, Flags: a.Flags, Vendor: a.Vendor}, "AVP %d of %d bytes with %d left", a.Code, length, len(raw))
		}
		if head == 12 {
			a.Vendor = binary.BigEndian.Uint32(raw[8:])
		}
		a.Data = raw[head:length:length]
		list = append(list, a)
		// Guards against padding that is missing at the end of a group: senders leave it out.
		raw = raw[min((length+3)&^3, len(raw)):]
	}
	return list, nil
}

// Group takes a Grouped AVP apart. Depth is how deep it stands, 0 in a message itself.
func (a *AVP) Group(limits Limits, depth int) ([]AVP, error) {
	if depth >= limits.Depth {
		return nil, fault(InvalidAVPValue, a, "groups deeper than %d", limits.Depth)
	}
	return decodeAVPs(a.Data, limits)
}

// Size is the number of bytes that the message takes.
func (m *Message) Size() int {
	n := headerSize
	for i := range m.AVPs {
		n += m.AVPs[i].size()
	}
	return n
}

// ErrTooLong says that something doesn't fit the three bytes that tell its length.
var ErrTooLong = errors.New("diameter: longer than 16 MiB")

// Append writes the message behind what buf holds.
func (m *Message) Append(buf []byte) ([]byte, error) {
	size := m.Size()
	if size > maxLength {
		return buf, ErrTooLong
	}
	buf = binary.BigEndian.AppendUint32(buf, version<<24|uint32(size))
	buf = binary.BigEndian.AppendUint32(buf, uint32(m.Flags)<<24|m.Command&maxLength)
	buf = binary.BigEndian.AppendUint32(buf, m.Application)
	buf = binary.BigEndian.AppendUint32(buf, m.HopByHop)
	buf = binary.BigEndian.AppendUint32(buf, m.EndToEnd)
	return AppendAVPs(buf, m.AVPs), nil
}

// AppendAVPs writes AVPs behind what buf holds, as a group's Data.
func AppendAVPs(buf []byte, list []AVP) []byte {
	for i := range list {
		a := &list[i]
		buf = binary.BigEndian.AppendUint32(buf, a.Code)
		buf = binary.BigEndian.AppendUint32(buf, uint32(a.Flags)<<24|uint32(a.head()+len(a.Data))&maxLength)
		if a.Flags&AVPVendor != 0 {
			buf = binary.BigEndian.AppendUint32(buf, a.Vendor)
		}
		buf = append(buf, a.Data...)
		for range a.size() - a.head() - len(a.Data) {
			buf = append(buf, 0)
		}
	}
	return buf
}

// SetHopByHop overwrites the Hop-by-Hop identifier in a message's bytes: all that a relay changes of
// an answer.
func SetHopByHop(raw []byte, id uint32) { binary.BigEndian.PutUint32(raw[12:], id) }

// Find returns the first AVP with a code and vendor (0: none); nil if there is none.
func Find(list []AVP, code, vendor uint32) *AVP {
	for i := range list {
		if list[i].Code == code && list[i].Vendor == vendor {
			return &list[i]
		}
	}
	return nil
}

// Result is an answer's Result-Code; 0: it has none.
func (m *Message) Result() uint32 {
	if a := Find(m.AVPs, CodeResultCode, 0); a != nil {
		if v, err := a.Uint32(); err == nil {
			return v
		}
	}
	return 0
}

// Answer returns the beginning of an answer to a request: its header as RFC 6733 section 6.2 wants it.
func (m *Message) Answer() *Message {
	return &Message{Flags: m.Flags & FlagProxiable, Command: m.Command, Application: m.Application, HopByHop: m.HopByHop, EndToEnd: m.EndToEnd}
}
