package roster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// blank holds the white space of JSON, which between lists is a heartbeat.
const blank = " \t\r\n"

// listReader reads the lists of a watch one after the other, in any JSON layout: a list may span several
// lines, and a line may hold several lists. Blank lines between lists are heartbeats.
type listReader struct {
	source       io.Reader     // body of the watch's response
	maxDuration  time.Duration // maximum time for reading one list, from its first byte on
	onData       func()        // called whenever bytes have arrived
	decoder      *json.Decoder
	betweenLists bool      // no byte of the next list has arrived
	size         int       // bytes of the current list that have arrived
	startedAt    time.Time // when the first byte of the current list arrived
}

func newListReader(r io.Reader, maxDuration time.Duration, onData func()) *listReader {
	lr := &listReader{source: r, maxDuration: maxDuration, onData: onData, betweenLists: true}
	lr.decoder = json.NewDecoder(lr)
	return lr
}

// next returns the next list, or io.EOF if the watch has ended between two lists.
func (lr *listReader) next() (List, error) {
	var raw json.RawMessage
	if err := lr.decoder.Decode(&raw); err != nil {
		if errors.Is(err, io.EOF) {
			return List{}, err
		}
		return List{}, fmt.Errorf("list: %w", err)
	}
	rest, err := io.ReadAll(lr.decoder.Buffered())
	if err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	rest = bytes.TrimLeft(rest, blank)
	lr.betweenLists, lr.size, lr.startedAt = len(rest) == 0, len(rest), time.Now()
	return parseList(raw)
}

// timeLeft returns how long the next bytes may take. For a list that has begun, it is the rest of
// maxDuration.
func (lr *listReader) timeLeft() time.Duration {
	if lr.betweenLists {
		return lr.maxDuration
	}
	return max(0, lr.maxDuration-time.Since(lr.startedAt))
}

// Read skips the white space between lists. Otherwise the decoder would buffer heartbeats for as long as no
// list arrives.
func (lr *listReader) Read(p []byte) (int, error) {
	for {
		n, err := lr.source.Read(p)
		received := n > 0
		if lr.betweenLists {
			n = copy(p, bytes.TrimLeft(p[:n], blank))
			lr.betweenLists, lr.startedAt = n == 0, time.Now()
		}
		if received {
			lr.onData()
		}
		if lr.betweenLists && err == nil {
			continue
		}
		if lr.size += n; lr.size > maxListBytes {
			return n, fmt.Errorf("over %d bytes", maxListBytes)
		}
		// A list that trickles in resets the watchdog with every byte, yet is no better than silence.
		if !lr.betweenLists && time.Since(lr.startedAt) > lr.maxDuration {
			return n, fmt.Errorf("list not complete after %v", lr.maxDuration)
		}
		return n, err
	}
}

// parseList parses one list. It rejects a list without a version, and a whole list without the backends,
// which would mean that all of them are gone.
func parseList(raw []byte) (List, error) {
	var l struct {
		Seq   *int64  `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts *[]Host `json:"hosts"`
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	switch {
	case l.Seq == nil:
		return List{}, errors.New("list: seq: missing")
	case l.Whole && l.Hosts == nil:
		return List{}, errors.New("list: hosts: missing from a whole list")
	}
	list := List{Seq: *l.Seq, Whole: l.Whole}
	if l.Hosts != nil {
		list.Hosts = *l.Hosts
	}
	return list, nil
}

// UnmarshalJSON reads an entry. An entry with a field of the wrong type must not make the whole list invalid:
// it keeps its host and records the error.
func (h *Host) UnmarshalJSON(raw []byte) error {
	type plain Host
	var p plain
	if err := json.Unmarshal(raw, &p); err != nil {
		var name struct {
			Host string `json:"host"`
		}
		if json.Unmarshal(raw, &name) != nil { // the host can't be read either
			name.Host = ""
		}
		*h = Host{Host: name.Host, decodeErr: err}
		return nil
	}
	*h = Host(p)
	return nil
}
