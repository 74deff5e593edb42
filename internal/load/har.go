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

// MaxEntry is the most bytes of a HAR file that one entry may take.
const MaxEntry = 32 << 20

// harSource reads the entries of a HAR file (HTTP Archive 1.1 and 1.2) one by one.
type harSource struct {
	file   string
	closer io.Closer
	limit  *budget
	dec    *json.Decoder
	n      int64
	begun  bool
	done   bool
}

// budget fails a reader that takes more than is left: a bound on what one entry may hold.
type budget struct {
	r    io.Reader
	left int64
	over bool
}

var errBudget = errors.New("entry too large")

func (b *budget) Read(p []byte) (int, error) {
	if b.left <= 0 {
		b.over = true
		return 0, errBudget
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	return n, err
}

// NewHARSource reads a HAR file. A byte order mark is passed over by Open.
func NewHARSource(file string, r io.Reader) Source {
	s := &harSource{file: file, limit: &budget{r: r, left: MaxEntry}}
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

// harEntry is what is used of an entry.
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

type harPair struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func (s *harSource) skip(reason, detail string) *Skip {
	return &Skip{Reason: reason, File: s.file, Line: s.n, Detail: detail}
}

func (s *harSource) Next() (*Entry, error) {
	if s.done {
		return nil, io.EOF
	}
	if !s.begun {
		s.begun = true
		if err := s.seek(); err != nil {
			s.done = true
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, s.skip(ReasonFileCut, "before the first entry")
			}
			return nil, s.skip(ReasonEntry, err.Error())
		}
	}
	s.limit.left = MaxEntry
	if !s.dec.More() {
		s.done = true
		if t, err := s.dec.Token(); err != nil || t != json.Delim(']') {
			s.n++
			return nil, s.skip(ReasonFileCut, "the list of entries has no end")
		}
		return nil, io.EOF
	}
	s.n++
	var raw json.RawMessage
	if err := s.dec.Decode(&raw); err != nil {
		s.done = true // what follows can't be found
		switch {
		case s.limit.over:
			return nil, s.skip(ReasonTooLarge, fmt.Sprintf("an entry of over %d bytes; what follows is lost", MaxEntry))
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return nil, s.skip(ReasonFileCut, "")
		}
		return nil, s.skip(ReasonEntry, err.Error()+"; what follows is lost")
	}
	var h harEntry
	if err := json.Unmarshal(raw, &h); err != nil {
		return nil, s.skip(ReasonEntry, err.Error())
	}
	return s.entry(&h)
}

// seek goes to the first entry of log.entries.
func (s *harSource) seek() error {
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
			if err := s.passOver(); err != nil {
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

// passOver reads a value without keeping it.
func (s *harSource) passOver() error {
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
		s.limit.left = MaxEntry
		if depth == 0 {
			return nil
		}
	}
}

// entry checks what was recorded and takes what is of use.
func (s *harSource) entry(h *harEntry) (*Entry, error) {
	r := h.Request
	if r == nil || r.URL == "" {
		return nil, s.skip(ReasonEntry, "no request")
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
	e := &Entry{File: s.file, Line: s.n, Method: r.Method, Target: r.URL, Status: status, BodySize: -1}
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
	// One browser wrote the file, unless a proxy did, which says for whom.
	if e.Client = e.Fields.Get("header.x-forwarded-for"); e.Client == "" {
		e.Client = s.file
	}
	s.body(r, e)
	return e, nil
}

// wasSent reports whether a request without a status had gone out: the recorder then knows the
// server, or for how long it waited.
func (h *harEntry) wasSent() bool {
	return h.Timings != nil && h.Timings.Send >= 0 && h.Timings.Wait > 0 || h.Connection != "" && h.ServerIP != ""
}

// body takes what was recorded of the request's body, and notes whether that is all of it.
func (s *harSource) body(r *harRequest, e *Entry) {
	told := int64(-1)
	if r.BodySize != nil && *r.BodySize >= 0 {
		told = *r.BodySize
	}
	e.BodySize = told
	p := r.PostData
	if p == nil {
		e.BodyCut = told > 0
		return
	}
	if p.Size != nil && *p.Size > told {
		told = *p.Size
	}
	switch {
	case p.Text != nil && strings.EqualFold(p.Encoding+p.Encoded, "base64"):
		raw, err := base64.StdEncoding.DecodeString(*p.Text)
		if err != nil {
			e.BodyCut = true // what could be read up to the fault stays
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
	if told < 0 {
		told = int64(len(e.Body))
	}
	e.BodySize = max(told, int64(len(e.Body)))
	e.BodyCut = e.BodyCut || int64(len(e.Body)) < told
}

// sortedKeys are a map's keys in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
