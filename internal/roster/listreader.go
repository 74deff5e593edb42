package roster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

const blank = " \t\r\n"

// objects reads the lists of a watch one after the other, however they are laid out: one may stand over several
// lines, or several in one. Blank lines between them are heartbeats.
type objects struct {
	r     io.Reader
	most  time.Duration // for one object, from its first byte on
	fed   func()        // called whenever something has come
	d     *json.Decoder
	apart bool      // no byte of the next object has come
	bytes int       // of the object that is being read
	begun time.Time // when its first one came
}

func newObjects(r io.Reader, most time.Duration, fed func()) *objects {
	o := &objects{r: r, most: most, fed: fed, apart: true}
	o.d = json.NewDecoder(o)
	return o
}

// next returns the next list; io.EOF: the watch has ended between two.
func (o *objects) next() (List, error) {
	var raw json.RawMessage
	if err := o.d.Decode(&raw); err != nil {
		if errors.Is(err, io.EOF) {
			return List{}, err
		}
		return List{}, fmt.Errorf("list: %w", err)
	}
	rest, err := io.ReadAll(o.d.Buffered())
	if err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	rest = bytes.TrimLeft(rest, blank)
	o.apart, o.bytes, o.begun = len(rest) == 0, len(rest), time.Now()
	return parseList(raw)
}

// left is how long the next bytes may take: of an object that has begun, its rest.
func (o *objects) left() time.Duration {
	if o.apart {
		return o.most
	}
	return max(0, o.most-time.Since(o.begun))
}

// Read leaves out what stands between objects. Guards against heartbeats that the decoder would gather for as long
// as nothing changes.
func (o *objects) Read(p []byte) (int, error) {
	for {
		n, err := o.r.Read(p)
		came := n > 0
		if o.apart {
			n = copy(p, bytes.TrimLeft(p[:n], blank))
			o.apart, o.begun = n == 0, time.Now()
		}
		if came {
			o.fed()
		}
		if o.apart && err == nil {
			continue
		}
		if o.bytes += n; o.bytes > maxListBytes {
			return n, fmt.Errorf("over %d bytes", maxListBytes)
		}
		// Guards against a list that trickles in, which feeds the watchdog and is as good as silence.
		if !o.apart && time.Since(o.begun) > o.most {
			return n, fmt.Errorf("not whole after %v", o.most)
		}
		return n, err
	}
}

// parseList reads one list and refuses one that lacks what it can't go without: a version, and where it is whole the
// backends, of which there would be none.
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
		return List{}, errors.New("list: hosts: missing from a whole one")
	}
	list := List{Seq: *l.Seq, Whole: l.Whole}
	if l.Hosts != nil {
		list.Hosts = *l.Hosts
	}
	return list, nil
}

// UnmarshalJSON reads an entry. Guards against one with a field of the wrong kind that would take the whole list with
// it: it keeps its host, and the reason why it can't be used.
func (h *Host) UnmarshalJSON(raw []byte) error {
	type plain Host
	var p plain
	if err := json.Unmarshal(raw, &p); err != nil {
		var name struct {
			Host string `json:"host"`
		}
		if json.Unmarshal(raw, &name) != nil { // not even that is known
			name.Host = ""
		}
		*h = Host{Host: name.Host, bad: err}
		return nil
	}
	*h = Host(p)
	return nil
}
