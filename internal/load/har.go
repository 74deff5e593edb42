package load

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// MaxEntry is the maximum size of one entry of a HAR file, in bytes.
const MaxEntry = 32 << 20

// harSource reads the entries of a HAR file (HTTP Archive 1.1 and 1.2) one at a time.
type harSource struct {
	file        string // name of the file, for errors and entries
	closer      io.Closer
	limit       *entryLimit // bounds the bytes that the decoder reads for one entry
	dec         *json.Decoder
	entryNumber int64 // number of the current entry, from 1
	started     bool  // the decoder is inside of log.entries
	done        bool  // the file has ended, or no further entry can be found in it
}

// entryLimit is a reader that fails after remaining bytes. It bounds the memory that one entry takes.
type entryLimit struct {
	r         io.Reader
	remaining int64
	exceeded  bool
}

var errEntryTooLarge = errors.New("entry too large")

func (b *entryLimit) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		b.exceeded = true
		return 0, errEntryTooLarge
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	return n, err
}

// NewHARSource returns a Source for a HAR file. Open has already removed a byte order mark.
func NewHARSource(file string, r io.Reader) Source {
	s := &harSource{file: file, limit: &entryLimit{r: r, remaining: MaxEntry}}
	s.dec = json.NewDecoder(s.limit)
	if c, ok := r.(io.Closer); ok {
		s.closer = c
	}
	return s
}

func (s *harSource) Close() error {
	if s.closer == nil {
		return nil
	}
	return s.closer.Close()
}

// harEntry holds the members of a HAR entry that are used.
type harEntry struct {
	StartedDateTime string      `json:"startedDateTime"`
	Connection      string      `json:"connection"`
	ServerIP        string      `json:"serverIPAddress"`
	PageRef         string      `json:"pageref"`
	ResourceType    string      `json:"_resourceType"`
	WebSocket       any         `json:"_webSocketMessages"`
	Request         *harRequest `json:"request"`
	Response        *struct {
		Status json.Number `json:"status"`
	} `json:"response"`
	Timings *struct {
		Send float64 `json:"send"`
		Wait float64 `json:"wait"`
	} `json:"timings"`
}

type harRequest struct {
	Method   string    `json:"method"`
	URL      string    `json:"url"`
	Headers  []harPair `json:"headers"`
	BodySize *int64    `json:"bodySize"`
	PostData *struct {
		MimeType string    `json:"mimeType"`
		Text     *string   `json:"text"`
		Params   []harPair `json:"params"`
		Encoding string    `json:"encoding"`
		Encoded  string    `json:"_encoding"`
		Size     *int64    `json:"size"`
	} `json:"postData"`
}

// harPair is a header or a parameter.
type harPair struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// skip returns the error for the current entry.
func (s *harSource) skip(reason, detail string) *Skip {
	return &Skip{Reason: reason, File: s.file, Line: s.entryNumber, Detail: detail}
}

func (s *harSource) Next() (*Entry, error) {
	if s.done {
		return nil, io.EOF
	}
	if !s.started {
		s.started = true
		if err := s.seekFirstEntry(); err != nil {
			s.done = true
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, s.skip(ReasonFileCut, "before the first entry")
			}
			return nil, s.skip(ReasonInvalidEntry, err.Error())
		}
	}
	s.limit.remaining = MaxEntry
	if !s.dec.More() {
		s.done = true
		if t, err := s.dec.Token(); err != nil || t != json.Delim(']') {
			s.entryNumber++
			return nil, s.skip(ReasonFileCut, "the list of entries has no end")
		}
		return nil, io.EOF
	}
	s.entryNumber++
	var raw json.RawMessage
	if err := s.dec.Decode(&raw); err != nil {
		s.done = true // the start of the next entry cannot be found
		switch {
		case s.limit.exceeded:
			return nil, s.skip(ReasonTooLarge, fmt.Sprintf("an entry of over %d bytes; what follows is lost", MaxEntry))
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return nil, s.skip(ReasonFileCut, "")
		}
		return nil, s.skip(ReasonInvalidEntry, err.Error()+"; what follows is lost")
	}
	var h harEntry
	if err := json.Unmarshal(raw, &h); err != nil {
		return nil, s.skip(ReasonInvalidEntry, err.Error())
	}
	return s.entry(&h)
}

// seekFirstEntry advances the decoder to the first entry of log.entries.
func (s *harSource) seekFirstEntry() error {
	for _, want := range []string{"log", "entries"} {
		if t, err := s.dec.Token(); err != nil {
			return err
		} else if t != json.Delim('{') {
			return errors.New("not a HAR file: no object where " + want + " is looked for")
		}
		for {
			if !s.dec.More() {
				if _, err := s.dec.Token(); err != nil {
					return err
				}
				return errors.New("not a HAR file: no " + want)
			}
			key, err := s.dec.Token()
			if err != nil {
				return err
			}
			if key == want {
				break
			}
			if err := s.skipValue(); err != nil {
				return err
			}
		}
	}
	if t, err := s.dec.Token(); err != nil {
		return err
	} else if t != json.Delim('[') {
		return errors.New("not a HAR file: entries is no list")
	}
	return nil
}

// skipValue reads one value and discards it.
func (s *harSource) skipValue() error {
	for depth := 0; ; {
		t, err := s.dec.Token()
		if err != nil {
			return err
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		s.limit.remaining = MaxEntry
		if depth == 0 {
			return nil
		}
	}
}

// entry converts a HAR entry, or returns a *Skip if it holds no request that can be sent.
func (s *harSource) entry(h *harEntry) (*Entry, error) {
	r := h.Request
	if r == nil || r.URL == "" {
		return nil, s.skip(ReasonInvalidEntry, "no request")
	}
	scheme, _, _ := strings.Cut(strings.ToLower(r.URL), ":")
	status := 0
	if h.Response != nil {
		if n, err := h.Response.Status.Int64(); err == nil && n > 0 && n <= 999 {
			status = int(n)
		}
	}
	switch {
	case scheme == "data" || scheme == "blob" || scheme == "about" || scheme == "chrome-extension":
		return nil, s.skip(ReasonData, "")
	case scheme == "ws" || scheme == "wss" || h.WebSocket != nil || strings.EqualFold(h.ResourceType, "websocket") || status == 101:
		return nil, s.skip(ReasonSocket, "")
	case status == 0 && !h.wasSent():
		return nil, s.skip(ReasonAborted, "")
	}
	e := &Entry{File: s.file, Line: s.entryNumber, Method: r.Method, Target: r.URL, Status: status, BodySize: -1}
	if t, err := parseISOTime(h.StartedDateTime); err == nil {
		e.Time, e.Coarse = t, !strings.ContainsAny(h.StartedDateTime, ".,")
	}
	for _, p := range r.Headers[:min(len(r.Headers), maxFields)] {
		name := strings.ToLower(strings.TrimPrefix(p.Name, ":"))
		if name == "host" || p.Name == ":authority" {
			e.Host = p.Value
		}
		e.Fields = append(e.Fields, Field{"header." + name, p.Value})
	}
	// Without X-Forwarded-For, which a recording proxy adds, the whole file comes from one browser.
	if e.Client = e.Fields.Get("header.x-forwarded-for"); e.Client == "" {
		e.Client = s.file
	}
	s.setBody(r, e)
	return e, nil
}

// wasSent reports whether a request without a status had been sent: the recorder then knows the server's
// address, or how long it waited for the answer.
func (h *harEntry) wasSent() bool {
	return h.Timings != nil && h.Timings.Send >= 0 && h.Timings.Wait > 0 || h.Connection != "" && h.ServerIP != ""
}

// setBody copies the recorded body of a request to e, and sets BodyCut if the body is incomplete.
func (s *harSource) setBody(r *harRequest, e *Entry) {
	recordedSize := int64(-1)
	if r.BodySize != nil && *r.BodySize >= 0 {
		recordedSize = *r.BodySize
	}
	e.BodySize = recordedSize
	p := r.PostData
	if p == nil {
		e.BodyCut = recordedSize > 0
		return
	}
	if p.Size != nil && *p.Size > recordedSize {
		recordedSize = *p.Size
	}
	switch {
	case p.Text != nil && strings.EqualFold(p.Encoding+p.Encoded, "base64"):
		raw, err := base64.StdEncoding.DecodeString(*p.Text)
		if err != nil {
			e.BodyCut = true // the bytes before the invalid one are kept
		}
		e.Body = raw
	case p.Text != nil:
		e.Body = []byte(*p.Text)
	case len(p.Params) > 0:
		var parts []string
		for _, x := range p.Params {
			parts = append(parts, x.Name+"="+x.Value)
		}
		e.Body = []byte(strings.Join(parts, "&"))
	}
	if recordedSize < 0 {
		recordedSize = int64(len(e.Body))
	}
	e.BodySize = max(recordedSize, int64(len(e.Body)))
	e.BodyCut = e.BodyCut || int64(len(e.Body)) < recordedSize
}

// sortedKeys returns the keys of a map in sorted order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
