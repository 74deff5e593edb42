// Package diameter implements the Diameter base protocol of RFC 6733: the encoding of messages and MaxAVPs, a
// dictionary, and the peer state machine. It does not depend on the agent.
//
//	Reader ─▶ Message (header, MaxAVPs that refer to the bytes read) ─▶ Dictionary.Check ─▶ Peer
//
// Decoding copies no data: an AVP's Data is a slice of the message's bytes and must not be changed. Grouped
// MaxAVPs are decoded only when AVP.Group is called. A protocol violation is returned as an *Error that holds
// the Result-Code of the RFC and the AVP for Failed-AVP.
//
// Limits bounds the size of a message, the number of its MaxAVPs and the nesting depth of groups.
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
	FlagRetransmitted = 0x10 // T: the request may have been sent before
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
	version    = 1         // of the protocol
	headerSize = 20        // bytes of a message's header
	maxLength  = 1<<24 - 1 // of a message or an AVP: the length field has three bytes
)

// Message is a Diameter request or answer.
type Message struct {
	Flags       uint8
	Command     uint32 // command code
	Application uint32 // application ID
	HopByHop    uint32 // Hop-by-Hop identifier, which relays replace
	EndToEnd    uint32 // End-to-End identifier, which relays keep
	AVPs        []AVP
}

// Request reports whether the message is a request.
func (m *Message) Request() bool { return m.Flags&FlagRequest != 0 }

// AVP is an attribute-value pair.
type AVP struct {
	Code   uint32
	Flags  uint8
	Vendor uint32 // set if Flags has AVPVendor
	Data   []byte // without padding
}

// key identifies an attribute by code and vendor.
type key struct{ code, vendor uint32 }

func (a *AVP) key() key { return key{a.Code, a.Vendor} }

// size returns the number of bytes of the encoded AVP, including padding.
func (a *AVP) size() int { return (a.headerLen() + len(a.Data) + 3) &^ 3 }

// headerLen returns the number of bytes before the AVP's data.
func (a *AVP) headerLen() int {
	if a.Flags&AVPVendor != 0 {
		return 12
	}
	return 8
}

// Limits bounds the messages that are decoded.
type Limits struct {
	MaxMessageBytes int // bytes of a message
	MaxAVPs         int // MaxAVPs in a message or a group
	MaxDepth        int // nesting depth of groups
}

// DefaultLimits returns limits that are sufficient for the base protocol, credit control and Sh.
func DefaultLimits() Limits { return Limits{MaxMessageBytes: 64 << 10, MaxAVPs: 512, MaxDepth: 8} }

// Error is a violation of the protocol by a received message.
type Error struct {
	Result uint32 // Result-Code of the answer
	Failed *AVP   // content of Failed-AVP; nil: none
	Fatal  bool   // the start of the next message can't be determined: the connection has to be closed
	Text   string // what was violated
}

func (e *Error) Error() string { return fmt.Sprintf("diameter: %s (%d)", e.Text, e.Result) }

// newError returns an Error that isn't fatal: the next message can be read.
func newError(result uint32, failed *AVP, format string, args ...any) *Error {
	return &Error{Result: result, Failed: failed, Text: fmt.Sprintf(format, args...)}
}

const (
	readerBytes    = 4 << 10 // buffer of a Reader, which each connection has
	firstPartBytes = 4 << 10 // of a message, for which memory is taken before they have arrived
)

// Reader reads messages from a stream.
type Reader struct {
	r      *bufio.Reader
	limits Limits
}

// NewReader returns a Reader that rejects messages beyond the limits.
func NewReader(r io.Reader, limits Limits) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readerBytes), limits: limits}
}

// Next returns the bytes of the next message. The error is io.EOF if the stream ends between two messages and
// io.ErrUnexpectedEOF if it ends within one. After a fatal *Error the stream can't be read any further.
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
	case length > r.limits.MaxMessageBytes:
		return nil, &Error{Result: InvalidMessageLength, Fatal: true, Text: fmt.Sprintf("message of %d bytes, %d are taken", length, r.limits.MaxMessageBytes)}
	}
	return r.readWhole(length)
}

// readWhole reads a message of that many bytes. Memory grows with what has arrived: the sender may stop half way.
func (r *Reader) readWhole(length int) ([]byte, error) {
	var raw []byte
	for len(raw) < length {
		part := min(length-len(raw), max(len(raw), firstPartBytes))
		grown := make([]byte, len(raw)+part)
		copy(grown, raw)
		if _, err := io.ReadFull(r.r, grown[len(raw):]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		raw = grown
	}
	return raw, nil
}

// Decode decodes a whole message. Together with an *Error it returns the part that could be decoded, at least
// the header if that is complete, so that the caller can build an answer.
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
	case length != len(raw) || length%4 != 0 || length > limits.MaxMessageBytes:
		return m, &Error{Result: InvalidMessageLength, Fatal: true, Text: fmt.Sprintf("message of %d bytes says %d", len(raw), length)}
	case m.Flags&flagsReserved != 0:
		return m, newError(InvalidHeaderBits, nil, "reserved bits of the command flags are set: %#x", m.Flags)
	case m.Request() && m.Flags&FlagError != 0:
		return m, newError(InvalidHeaderBits, nil, "a request with the E bit")
	case !m.Request() && m.Flags&FlagRetransmitted != 0:
		return m, newError(InvalidHeaderBits, nil, "an answer with the T bit")
	}
	var err error
	m.AVPs, err = decodeAVPs(raw[headerSize:], limits)
	return m, err
}

// decodeAVPs decodes a sequence of MaxAVPs. With an error it also returns the MaxAVPs before the invalid one.
func decodeAVPs(raw []byte, limits Limits) ([]AVP, error) {
	var list []AVP
	for len(raw) > 0 {
		if len(list) >= limits.MaxAVPs {
			return list, newError(InvalidMessageLength, nil, "more than %d AVPs", limits.MaxAVPs)
		}
		if len(raw) < 8 {
			// RFC 6733 section 7.1.5: a truncated AVP header is padded with zeros.
			full := append(append([]byte(nil), raw...), make([]byte, 8)...)
			a := AVP{Code: binary.BigEndian.Uint32(full)}
			return list, newError(InvalidAVPLength, &a, "%d bytes left for an AVP's header", len(raw))
		}
		a := AVP{Code: binary.BigEndian.Uint32(raw), Flags: raw[4]}
		length, head := int(binary.BigEndian.Uint32(raw[4:])&maxLength), a.headerLen()
		if length < head || length > len(raw) || head > len(raw) {
			if head == 12 && len(raw) >= 12 {
				a.Vendor = binary.BigEndian.Uint32(raw[8:])
			}
			return list, newError(InvalidAVPLength, &AVP{Code: a.Code, Flags: a.Flags, Vendor: a.Vendor}, "AVP %d of %d bytes with %d left", a.Code, length, len(raw))
		}
		if head == 12 {
			a.Vendor = binary.BigEndian.Uint32(raw[8:])
		}
		a.Data = raw[head:length:length]
		list = append(list, a)
		// Some senders omit the padding of the last AVP in a group.
		raw = raw[min((length+3)&^3, len(raw)):]
	}
	return list, nil
}

// Group decodes the members of a Grouped AVP. depth is the AVP's nesting depth, 0 directly in a message.
func (a *AVP) Group(limits Limits, depth int) ([]AVP, error) {
	if depth >= limits.MaxDepth {
		return nil, newError(InvalidAVPValue, a, "groups deeper than %d", limits.MaxDepth)
	}
	return decodeAVPs(a.Data, limits)
}

// Size returns the number of bytes of the encoded message.
func (m *Message) Size() int {
	n := headerSize
	for i := range m.AVPs {
		n += m.AVPs[i].size()
	}
	return n
}

// ErrTooLong is returned for a message whose size doesn't fit into the three bytes of the length field.
var ErrTooLong = errors.New("diameter: longer than 16 MiB")

// Append appends the encoded message to buf.
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

// AppendAVPs appends the encoded MaxAVPs to buf. The result is also the Data of a Grouped AVP.
func AppendAVPs(buf []byte, list []AVP) []byte {
	for i := range list {
		a := &list[i]
		buf = binary.BigEndian.AppendUint32(buf, a.Code)
		buf = binary.BigEndian.AppendUint32(buf, uint32(a.Flags)<<24|uint32(a.headerLen()+len(a.Data))&maxLength)
		if a.Flags&AVPVendor != 0 {
			buf = binary.BigEndian.AppendUint32(buf, a.Vendor)
		}
		buf = append(buf, a.Data...)
		for range a.size() - a.headerLen() - len(a.Data) {
			buf = append(buf, 0)
		}
	}
	return buf
}

// SetHopByHop overwrites the Hop-by-Hop identifier in an encoded message. It is the only field of an answer
// that a relay changes.
func SetHopByHop(raw []byte, id uint32) { binary.BigEndian.PutUint32(raw[12:], id) }

// Find returns the first AVP with the given code and vendor (0: no vendor), or nil if there is none.
func Find(list []AVP, code, vendor uint32) *AVP {
	for i := range list {
		if list[i].Code == code && list[i].Vendor == vendor {
			return &list[i]
		}
	}
	return nil
}

// Result returns the Result-Code of an answer, or 0 if it has none.
func (m *Message) Result() uint32 {
	if a := Find(m.AVPs, CodeResultCode, 0); a != nil {
		if v, err := a.Uint32(); err == nil {
			return v
		}
	}
	return 0
}

// Answer returns an answer to a request with its header set according to RFC 6733 section 6.2 and without
// MaxAVPs.
func (m *Message) Answer() *Message {
	return &Message{Flags: m.Flags & FlagProxiable, Command: m.Command, Application: m.Application, HopByHop: m.HopByHop, EndToEnd: m.EndToEnd}
}
