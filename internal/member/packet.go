package member

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"
)

// Tag is the first byte of each datagram of this protocol. The demand exchange between agents shares the
// socket and starts with other bytes; agents that know only that exchange drop datagrams with this tag.
const Tag = 0xd2

// MaxDatagram is the maximum size of a datagram between agents, in bytes.
const MaxDatagram = 256

const version = 1 // of the wire format

// Kinds of datagram. The numbers are part of the wire format.
const (
	kindGossip byte = iota
	kindPing        // answered by kindAck
	kindAck
	kindPingRequest // asks for an indirect probe of target
	kindRelayPing   // indirect probe on behalf of target, the agent that asked for it
	kindRelayAck    // answers kindRelayPing
	kindIndirectAck // target answered the requested indirect probe
	kindSync        // records that the receiver seems to lack; not gossiped on
	kindLastHeard   // answers kindPingRequest: the age of the last direct contact with target
	kindCount       // number of kinds
)

const ageUnit = 10 * time.Millisecond // unit of packet.age

const (
	buckets        = 16                    // number of groups of members, by ID; the records of a group share a digest
	headerBytes    = 1 + 1 + 2 + 1 + 4 + 4 // tag, version, fleet, kind, from, seq
	minRecordBytes = 1 + 4 + 4 + 2         // size of the smallest record, an end record
)

var (
	errForeign = errors.New("datagram of another fleet or protocol version")
	errGarbled = errors.New("garbled") // truncated or malformed datagram
)

// packet is the content of a datagram. Integers are big-endian; numbers are lengths in bytes.
//
//	tag 1, version 1, fleet 2, kind 1, from 4, seq 4
//	ping:                       16 digests of 2
//	ping request, relay ping:   target 4
//	relay ack, indirect ack:    target 4, hears 1
//	last heard:                 target 4, age 2 in units of 10 ms
//	then records: kind 1, id 4, start 4, incarnation 2
//	  full: version 4, flags 1 (1 doubt, 2 address, 4 note), [IPv4 4, port 2], [note 1+n],
//	        zone 1+n, name 1+n, entries 1, each id 4, mark 1, life tag 1
type packet struct {
	kind    byte // kindGossip to kindLastHeard
	from    ID
	seq     uint32          // number of the probe that the datagram belongs to; 0 if it belongs to none
	digests [buckets]uint16 // the lower halves of the sender's digests
	target  ID
	hears   bool   // the sender (relay ack) or target (indirect ack) receives the datagrams of the agent that asked directly
	age     uint16 // time since the last direct contact with target, in ageUnit
	records []record
}

// size returns the number of bytes that append adds for r.
func (r *record) size() int {
	n := 11
	if r.kind == kindFull {
		n += 4 + 1 + 1 + len(r.zone) + 1 + len(r.name) + 1 + 6*len(r.list)
		if r.addr.IsValid() {
			n += 6
		}
		if r.note != "" {
			n += 1 + len(r.note)
		}
	}
	return n
}

// append appends r to b in the wire format.
func (r *record) append(b []byte) []byte {
	b = append(b, r.kind)
	b = binary.BigEndian.AppendUint32(b, uint32(r.id))
	b = binary.BigEndian.AppendUint32(b, r.start)
	b = binary.BigEndian.AppendUint16(b, r.incarnation)
	if r.kind != kindFull {
		return b
	}
	b = binary.BigEndian.AppendUint32(b, r.version)
	var flags byte
	if r.doubt {
		flags |= 1
	}
	if r.addr.IsValid() {
		flags |= 2
	}
	if r.note != "" {
		flags |= 4
	}
	b = append(b, flags)
	if r.addr.IsValid() {
		a := r.addr.Addr().As4()
		b = append(b, a[:]...)
		b = binary.BigEndian.AppendUint16(b, r.addr.Port())
	}
	if r.note != "" {
		b = append(append(b, byte(len(r.note))), r.note...)
	}
	b = append(append(b, byte(len(r.zone))), r.zone...)
	b = append(append(b, byte(len(r.name))), r.name...)
	b = append(b, byte(len(r.list)))
	for _, e := range r.list {
		b = binary.BigEndian.AppendUint32(b, uint32(e.id))
		b = append(b, byte(e.mark), e.lifeTag)
	}
	return b
}

// encode returns the datagram. Records that don't fit are left out.
func (p *packet) encode(fleet uint16) []byte {
	b := make([]byte, 0, MaxDatagram)
	b = append(b, Tag, version)
	b = binary.BigEndian.AppendUint16(b, fleet)
	b = append(b, p.kind)
	b = binary.BigEndian.AppendUint32(b, uint32(p.from))
	b = binary.BigEndian.AppendUint32(b, p.seq)
	switch p.kind {
	case kindPing:
		for _, d := range p.digests {
			b = binary.BigEndian.AppendUint16(b, d)
		}
	case kindPingRequest, kindRelayPing, kindRelayAck, kindIndirectAck, kindLastHeard:
		b = binary.BigEndian.AppendUint32(b, uint32(p.target))
		if p.kind == kindRelayAck || p.kind == kindIndirectAck {
			b = append(b, boolByte(p.hears))
		}
		if p.kind == kindLastHeard {
			b = binary.BigEndian.AppendUint16(b, p.age)
		}
	}
	for i := range p.records {
		if r := &p.records[i]; len(b)+r.size() <= MaxDatagram {
			b = r.append(b)
		}
	}
	return b
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// reader parses a datagram. After a read past the end or a bad value invalid is set; later reads return
// zeros.
type reader struct {
	b       []byte
	invalid bool
}

// bytes returns the next n bytes.
func (r *reader) bytes(n int) []byte {
	if r.invalid || len(r.b) < n {
		r.invalid, r.b = true, nil
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u8() byte    { return r.bytes(1)[0] }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.bytes(2)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.bytes(4)) }

// text returns a string with its length in a byte before it; one longer than maxLen is invalid.
func (r *reader) text(maxLen int) string {
	n := int(r.u8())
	if n > maxLen {
		r.invalid = true
		return ""
	}
	return string(r.bytes(n))
}

// decode parses a complete datagram; it returns no partial result.
func decode(data []byte, fleet uint16) (*packet, error) {
	if len(data) < headerBytes || len(data) > MaxDatagram || data[0] != Tag {
		return nil, errGarbled
	}
	if data[1] != version {
		return nil, errForeign
	}
	r := &reader{b: data[2:]}
	if r.u16() != fleet {
		return nil, errForeign
	}
	p := &packet{kind: r.u8(), from: ID(r.u32()), seq: r.u32()}
	switch p.kind {
	case kindPing:
		for i := range p.digests {
			p.digests[i] = r.u16()
		}
	case kindPingRequest, kindRelayPing, kindRelayAck, kindIndirectAck, kindLastHeard:
		p.target = ID(r.u32())
		if p.kind == kindRelayAck || p.kind == kindIndirectAck {
			p.hears = r.u8() == 1
		}
		if p.kind == kindLastHeard {
			p.age = r.u16()
		}
	}
	for len(r.b) > 0 && !r.invalid {
		p.records = append(p.records, r.record())
	}
	if r.invalid || p.kind >= kindCount || p.from == NoID {
		return nil, errGarbled
	}
	return p, nil
}

func (r *reader) record() (rec record) {
	rec.kind, rec.id, rec.start, rec.incarnation = r.u8(), ID(r.u32()), r.u32(), r.u16()
	if rec.kind > kindLeft || rec.id == NoID {
		r.invalid = true
	}
	if rec.kind != kindFull || r.invalid {
		return rec
	}
	rec.version = r.u32()
	flags := r.u8()
	rec.doubt = flags&1 != 0
	if flags&2 != 0 {
		ip := [4]byte(r.bytes(4))
		rec.addr = netip.AddrPortFrom(netip.AddrFrom4(ip), r.u16())
	}
	if flags&4 != 0 {
		rec.note = r.text(MaxNote)
	}
	rec.zone, rec.name = r.text(MaxZone), r.text(MaxName)
	n := int(r.u8())
	if n > maxListEntries {
		r.invalid = true
		return rec
	}
	for range n {
		rec.list = append(rec.list, listEntry{id: ID(r.u32()), mark: mark(r.u8()), lifeTag: r.u8()})
	}
	return rec
}
