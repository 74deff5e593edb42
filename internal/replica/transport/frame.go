// Package transport carries frames between processes over TCP. Each frame has a length, a checksum and a kind, the send
// queue of a connection is bounded, and both ends begin a connection with a hello.
//
//	frame   length 4, CRC-32C 4 (over kind and content), kind 1, content
//	hello   JSON: magic of the protocol, group, name; a connection of another protocol or group is closed
//
// A frame that can't be decoded ends its connection. Frames are lost when the queue of a connection is full or the
// connection ends; the protocols above this package must tolerate that.
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

// Kind is the type of a frame's content. A protocol numbers its own kinds from 1.
type Kind byte

// Kinds that every protocol has.
const (
	KindHello Kind = 0   // the first frame in each direction, see hello
	KindPing  Kind = 255 // shows that an idle connection is alive; not passed to the handler
)

const (
	maxContentBytes = 8 << 20   // of one frame; snapshots are the largest frames
	headerBytes     = 4 + 4 + 1 // length, checksum, kind
	readChunkBytes  = 64 << 10  // memory that is allocated at a time while content arrives
)

// ErrInvalidFrame reports that the received bytes are not a valid frame of the protocol.
var ErrInvalidFrame = errors.New("invalid frame")

// castagnoli is the table for the CRC-32C of the frames.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends an encoded frame to b.
func AppendFrame(b []byte, kind Kind, content []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = append(b, byte(kind))
	b = append(b, content...)
	binary.BigEndian.PutUint32(b[start+4:], crc32.Checksum(b[start+8:], castagnoli))
	return b
}

// ReadFrame reads a frame. It allocates memory as content arrives, so that a large announced length alone costs nothing.
func ReadFrame(r *bufio.Reader) (kind Kind, content []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	kind = Kind(header[8])
	length := binary.BigEndian.Uint32(header[:])
	if length > maxContentBytes {
		return 0, nil, fmt.Errorf("%w: kind %d, %d bytes, more than the maximum", ErrInvalidFrame, kind, length)
	}
	for len(content) < int(length) {
		chunk := min(int(length)-len(content), readChunkBytes)
		start := len(content)
		content = append(content, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, content[start:]); err != nil {
			return 0, nil, errors.Join(ErrInvalidFrame, err)
		}
	}
	checksum := crc32.Update(crc32.Checksum(header[8:], castagnoli), castagnoli, content)
	if checksum != binary.BigEndian.Uint32(header[4:]) {
		return 0, nil, fmt.Errorf("%w: checksum %08x doesn't match the header", ErrInvalidFrame, checksum)
	}
	return kind, content, nil
}

// DecodeFrame reads a frame from memory, like ReadFrame.
func DecodeFrame(frame []byte) (Kind, []byte, error) {
	return ReadFrame(bufio.NewReader(bytes.NewReader(frame)))
}
