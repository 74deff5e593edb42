package load

import (
	"errors"
	"io"
	"time"
)

// Plan is the stream of requests, in order of time, that a Mapping makes of the entries of recorded files.
type Plan struct {
	Counts  *Counts
	Mapper  *Mapper
	Repeats *Repeats

	src   Source    // entries of all files, in order of time
	first time.Time // time of the first request
}

// NewPlan opens the files. Each file is sorted by time separately, then all are merged by time. A nil mapping
// stands for DefaultMapping.
func NewPlan(files []string, o Options, order OrderOptions, m *Mapping) (*Plan, error) {
	if len(files) == 0 {
		return nil, errors.New("no files")
	}
	if m == nil {
		m = DefaultMapping()
	}
	p := &Plan{Counts: NewCounts(), Repeats: NewRepeats(m)}
	p.Mapper = NewMapper(m, p.Counts)
	var sources []Source
	for _, f := range files {
		src, err := Open(f, o, p.Counts)
		if err != nil {
			for _, s := range sources {
				s.Close()
			}
			return nil, err
		}
		sources = append(sources, Order(src, order, p.Counts))
	}
	p.src = Merge(sources...)
	return p, nil
}

// Close closes the files.
func (p *Plan) Close() error { return p.src.Close() }

// Next returns the next request, or io.EOF at the end. Skipped input is counted in Counts.
func (p *Plan) Next() (*Request, error) {
	for {
		e, err := p.src.Next()
		if err != nil {
			if p.Counts.Skip(err) {
				continue
			}
			return nil, err
		}
		p.Counts.Read++
		q, err := p.Mapper.Map(e)
		if err != nil {
			if p.Counts.Skip(err) {
				continue
			}
			return nil, err
		}
		if q == nil {
			continue
		}
		p.Repeats.Identify(q)
		if p.first.IsZero() {
			p.first = q.Time
		}
		q.Offset = q.Time.Sub(p.first)
		return q, nil
	}
}

// Window counts the requests of one time window of a recorded plan.
type Window struct {
	T        float64          `json:"t"` // start, in seconds since the first request
	Requests int64            `json:"requests"`
	Classes  map[string]int64 `json:"classes"`
}

// Inspection summarises the requests of a plan, without playing it.
type Inspection struct {
	Requests  int64            `json:"requests"` // repeats included
	Repeats   int64            `json:"repeats"`
	Unmatched int64            `json:"unmatched"`  // entries that match no rule
	Skipped   map[string]int64 `json:"skipped"`    // by reason
	Repairs   map[string]int64 `json:"notes"`      // repairs, by kind
	First     string           `json:"first"`      // time of the first request (RFC 3339)
	Last      string           `json:"last"`       // time of the last request
	SpanS     float64          `json:"span_s"`     // time from the first to the last request, in seconds
	RatePerS  float64          `json:"rate_per_s"` // mean requests per second
	Classes   map[string]int64 `json:"classes"`
	WindowS   float64          `json:"window_s"` // length of a window, in seconds
	Windows   []Window         `json:"windows"`

	Examples          []string `json:"skipped_examples"`
	UnmatchedExamples []string `json:"unmatched_examples"`
}

// maxWindows is the maximum number of windows of an Inspection; requests after the last one are counted in it.
const maxWindows = 200_000

// Inspect reads a plan to its end. progress, if not nil, is called every 65536 requests; an error from it ends
// the inspection.
func Inspect(p *Plan, window time.Duration, progress func(requests int64) error) (*Inspection, error) {
	in := &Inspection{Classes: map[string]int64{}, WindowS: window.Seconds(), Windows: []Window{}}
	var first, last time.Time
	for {
		q, err := p.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if in.Requests++; in.Requests&0xffff == 0 && progress != nil {
			if err := progress(in.Requests); err != nil {
				return nil, err
			}
		}
		if first.IsZero() {
			first = q.Time
		}
		last = q.Time
		in.Classes[q.Class]++
		in.addRequest(q, window)
	}
	in.Repeats, in.Unmatched, in.Skipped, in.Repairs = p.Repeats.Found, p.Mapper.Unmatched, p.Counts.Skipped, p.Counts.Repairs
	in.Examples, in.UnmatchedExamples = p.Counts.SkipExamples, p.Mapper.UnmatchedExamples
	if in.Requests > 0 {
		in.First, in.Last = first.UTC().Format(time.RFC3339Nano), last.UTC().Format(time.RFC3339Nano)
		in.SpanS = last.Sub(first).Seconds()
		if in.SpanS > 0 {
			in.RatePerS = float64(in.Requests) / in.SpanS
		}
	}
	return in, nil
}

func (in *Inspection) addRequest(q *Request, window time.Duration) {
	i := min(int(q.Offset/window), maxWindows-1)
	for len(in.Windows) <= i {
		in.Windows = append(in.Windows, Window{T: float64(len(in.Windows)) * window.Seconds(), Classes: map[string]int64{}})
	}
	in.Windows[i].Requests++
	in.Windows[i].Classes[q.Class]++
}
