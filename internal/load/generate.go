package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"
)

// GenerateOptions describe a synthetic log.
type GenerateOptions struct {
	Shape   string  // steady; bursty: twice the rate for 2 s of every 8; monsoon: a ramp to 2.5 times the rate and back
	Rate    float64 // mean requests per second of the steady shape
	Seconds float64
	Format  string  // combined (whole seconds), json (with milliseconds and keys), har
	Share   float64 // share of point-read requests; 0 for 0.57
	Repeats float64 // share of requests that are sent a second time, as by a client that retries
	Clients int     // number of values of the last octet of client addresses; 0 for 200
	Seed    uint64
	Start   time.Time
}

// Generated counts the requests that Generate wrote.
type Generated struct {
	Requests, Repeats int64            // requests, repeats included, and the repeats among them
	Classes           map[string]int64 // requests by class
}

// Generate writes a synthetic log to w. The same options give the same bytes.
func Generate(w io.Writer, o GenerateOptions) (Generated, error) {
	if !(o.Rate > 0) || !(o.Seconds > 0) || math.IsInf(o.Rate*o.Seconds, 0) {
		return Generated{}, fmt.Errorf("rate %v and seconds %v must be positive and finite", o.Rate, o.Seconds)
	}
	if o.Share == 0 {
		o.Share = 0.57
	}
	if o.Clients == 0 {
		o.Clients = 200
	}
	if o.Start.IsZero() {
		o.Start = time.Date(2026, 7, 14, 4, 30, 0, 0, time.UTC)
	}
	rateFactor := func(s float64) float64 { // factor on Rate at s seconds
		switch o.Shape {
		case "steady", "":
			return 1
		case "bursty":
			if math.Mod(s, 8) < 2 {
				return 2
			}
			return 2.0 / 3
		case "monsoon":
			x := s / o.Seconds
			return 1 + 1.5*max(0, 1-math.Abs(x-0.6)/0.4)
		}
		return 0
	}
	if rateFactor(0) == 0 {
		return Generated{}, fmt.Errorf("unknown shape %q; want steady, bursty or monsoon", o.Shape)
	}
	var write func(g *generatedRequest) error
	out := bufio.NewWriterSize(w, 1<<16)
	trailer := ""
	switch o.Format {
	case "combined", "":
		write = func(g *generatedRequest) error { return g.combined(out) }
	case "json":
		write = func(g *generatedRequest) error { return g.json(out) }
	case "har":
		io.WriteString(out, `{"log":{"version":"1.2","creator":{"name":"lemonctl","version":"1"},"entries":[`)
		first := true
		write = func(g *generatedRequest) error {
			if !first {
				io.WriteString(out, ",\n")
			}
			first = false
			return g.har(out)
		}
		trailer = "]}}\n"
	default:
		return Generated{}, fmt.Errorf("unknown format %q; want combined, json or har", o.Format)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	totals := Generated{Classes: map[string]int64{}}
	var pendingRepeats []*generatedRequest // sorted by time
	emit := func(g *generatedRequest) error {
		totals.Requests++
		totals.Classes[g.class]++
		return write(g)
	}
	for s, n := 0.0, 0; ; n++ {
		s += rng.ExpFloat64() / (o.Rate * rateFactor(s))
		for len(pendingRepeats) > 0 && pendingRepeats[0].at.Before(o.Start.Add(time.Duration(s*1e9))) {
			totals.Repeats++
			if err := emit(pendingRepeats[0]); err != nil {
				return totals, err
			}
			pendingRepeats = pendingRepeats[1:]
		}
		if s >= o.Seconds {
			break
		}
		g := &generatedRequest{at: o.Start.Add(time.Duration(s * 1e9)).Truncate(time.Millisecond), class: "alert-sub", method: "POST",
			client: fmt.Sprintf("10.%d.%d.%d", rng.IntN(200), rng.IntN(250), 1+rng.IntN(o.Clients)), key: fmt.Sprintf("%016x", rng.Uint64()), status: 200}
		if rng.Float64() < o.Share {
			g.class, g.method = "point-read", "GET"
		} else {
			g.idempotencyKey = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
		}
		if rng.Float64() < o.Repeats {
			g.status = 503
			r := *g
			r.at, r.status = g.at.Add(time.Duration(15+rng.IntN(105))*time.Millisecond), 200
			i := len(pendingRepeats)
			for i > 0 && pendingRepeats[i-1].at.After(r.at) {
				i--
			}
			pendingRepeats = append(pendingRepeats[:i], append([]*generatedRequest{&r}, pendingRepeats[i:]...)...)
		}
		if err := emit(g); err != nil {
			return totals, err
		}
	}
	if _, err := io.WriteString(out, trailer); err != nil {
		return totals, err
	}
	return totals, out.Flush()
}

// generatedRequest is one request of a synthetic log.
type generatedRequest struct {
	at                                         time.Time
	class, method, client, key, idempotencyKey string
	status                                     int
}

// combined writes the request as a line in Apache's combined format.
func (g *generatedRequest) combined(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s - - [%s] \"%s /%s?key=%s HTTP/1.1\" %d 312 \"-\" \"advisory/4.2\"\n", g.client, g.at.Format("02/Jan/2006:15:04:05 -0700"), g.method, g.class, g.key, g.status)
	return err
}

// json writes the request as a line of JSON.
func (g *generatedRequest) json(w io.Writer) error {
	_, err := fmt.Fprintf(w, "{\"time\":%q,\"remote_addr\":%q,\"method\":%q,\"uri\":\"/%s?key=%s\",\"status\":%d", g.at.Format("2006-01-02T15:04:05.000Z07:00"), g.client, g.method, g.class, g.key, g.status)
	if g.idempotencyKey != "" {
		fmt.Fprintf(w, ",\"http_idempotency_key\":%q", g.idempotencyKey)
	}
	if err == nil {
		_, err = io.WriteString(w, "}\n")
	}
	return err
}

// har writes the request as an entry of a HAR file.
func (g *generatedRequest) har(w io.Writer) error {
	headers := []harPair{{"X-Forwarded-For", g.client}}
	request := map[string]any{"method": g.method, "url": "http://api.internal/" + g.class + "?key=" + g.key, "httpVersion": "HTTP/1.1", "bodySize": 0}
	if g.idempotencyKey != "" {
		headers = append(headers, harPair{"Idempotency-Key", g.idempotencyKey})
		body := fmt.Sprintf(`{"district":%q}`, g.key)
		request["bodySize"] = len(body)
		request["postData"] = map[string]any{"mimeType": "application/json", "text": body}
	}
	request["headers"] = headers
	raw, err := json.Marshal(map[string]any{"startedDateTime": g.at.Format("2006-01-02T15:04:05.000Z07:00"), "time": 40, "request": request,
		"response": map[string]any{"status": g.status}, "timings": map[string]any{"send": 0, "wait": 40, "receive": 0}})
	if err != nil {
		return err
	}
	_, err = w.Write(raw)
	return err
}
