// Package transport carries frames between processes over TCP: each frame has a length, a checksum and a kind, what waits
// to be sent is bounded, and a connection begins with a hello of both sides.
//
//	frame   length 4, CRC-32C 4 (over kind and content), kind 1, content
//	hello   JSON: magic of the protocol, group, name; a connection of another protocol or group is closed
//
// A frame that can't be decoded ends its connection. Frames are lost when the queue of a connection is full or the connection ends;
// the protocols above are made for that.
package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Kind says what a frame holds. A protocol numbers its own kinds from 1.
type Kind byte

// Kinds of every protocol.
const (
	KindHello Kind = 0
	KindPing  Kind = 255 // keeps a connection from counting as silent; not handed on
)

const (
	contentLimit = 8 << 20 // bytes of a frame's content; a snapshot is the longest
	headBytes    = 4 + 4 + 1
	readStep     = 64 << 10 // bytes that are made room for at a time while content comes
)

// ErrFrame says that what came was no frame of the protocol.
var ErrFrame = errors.New("invalid frame")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends a frame to b.
func AppendFrame(b []byte, kind Kind, content []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = append(b, byte(kind))
	b = append(b, content...)
	binary.BigEndian.PutUint32(b[start+4:], crc32.Checksum(b[start+8:], castagnoli))
	return b
}

// ReadFrame reads a frame. It makes room as content comes, not as the length announces it.
func ReadFrame(r *bufio.Reader) (kind Kind, content []byte, err error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	kind = Kind(head[8])
	length := binary.BigEndian.Uint32(head[:])
	if length > contentLimit {
		return 0, nil, fmt.Errorf("%w: kind %d, %d bytes", ErrFrame, kind, length)
	}
	for len(content) < int(length) {
		part := min(int(length)-len(content), readStep)
		start := len(content)
		content = append(content, make([]byte, part)...)
		if _, err := io.ReadFull(r, content[start:]); err != nil {
			return 0, nil, errors.Join(ErrFrame, err)
		}
	}
	sum := crc32.Update(crc32.Checksum(head[8:], castagnoli), castagnoli, content)
	if sum != binary.BigEndian.Uint32(head[4:]) {
		return 0, nil, fmt.Errorf("%w: checksum %08x", ErrFrame, sum)
	}
	return kind, content, nil
}

// DecodeFrame is ReadFrame for a frame in memory.
func DecodeFrame(frame []byte) (Kind, []byte, error) {
	return ReadFrame(bufio.NewReader(bytes.NewReader(frame)))
}
