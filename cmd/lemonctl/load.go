package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"lemonrail/internal/load"
)

// sourceFlags are the flags that select the recordings to read and their format.
type sourceFlags struct {
	Files   []string          `arg:"" name:"file" help:"HAR files and access logs, plain or compressed with gzip or zstd; - for standard input. Several files are merged by time."`
	Format  string            `enum:"auto,har,json,common,combined,vhost_combined,custom" default:"auto" help:"Format of the files (${enum}); auto detects it from their first bytes."`
	Nginx   []string          `sep:"none" placeholder:"FORMAT" help:"An nginx log_format string or directive, tried first."`
	Apache  []string          `sep:"none" placeholder:"FORMAT" help:"An Apache LogFormat string or directive, tried first."`
	Member  map[string]string `placeholder:"WHAT=NAME" help:"Name of the member of a JSON line that holds the time, client, method, target, query, host, status, request or body."`
	Map     string            `placeholder:"FILE" help:"TOML file with the rules that map entries to requests; see load rules."`
	Reorder time.Duration     `default:"5s" help:"Maximum time by which an entry may be out of order in a file."`
	MaxGap  time.Duration     `placeholder:"TIME" help:"Shorten gaps between requests that are longer than this."`
}

// plan opens the files as one sequence of requests. The caller closes it.
func (f *sourceFlags) plan(s streams) (*load.Plan, error) {
	mapping := load.DefaultMapping()
	if f.Map != "" {
		var err error
		if mapping, err = load.ReadMapping(f.Map); err != nil {
			return nil, err
		}
	}
	names := load.DefaultJSONNames()
	for what, member := range f.Member {
		if err := names.Set(what, member); err != nil {
			return nil, fmt.Errorf("--member: %w", err)
		}
	}
	return load.NewPlan(f.Files, load.Options{Format: f.Format, Nginx: f.Nginx, Apache: f.Apache, JSON: &names, Stdin: s.in},
		load.OrderOptions{Window: f.Reorder, MaxGap: f.MaxGap}, mapping)
}

// inspectCmd summarises recordings without playing them.
type inspectCmd struct {
	sourceFlags
	Window float64 `default:"10" help:"Length of a window in seconds."`
	JSON   bool    `name:"json" help:"Print one JSON object."`
}

// Run reads the recordings, with progress on standard error if this takes longer than 2 s, and prints the summary.
func (c *inspectCmd) Run(ctx context.Context, s streams) error {
	if !(c.Window >= 0.001) || c.Window > 1e6 {
		return fmt.Errorf("--window: %v seconds is not within 0.001 and 1000000", c.Window)
	}
	p, err := c.plan(s)
	if err != nil {
		return err
	}
	defer p.Close()
	start := time.Now()
	in, err := load.Inspect(p, time.Duration(c.Window*float64(time.Second)), func(n int64) error {
		if time.Since(start) > 2*time.Second {
			fmt.Fprintf(s.err, "\r%d requests, %.0f a second ", n, float64(n)/time.Since(start).Seconds())
		}
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, in)
	}
	return in.Text(s.out)
}

// playCmd plays recordings against agents.
type playCmd struct {
	sourceFlags
	Target   []string      `required:"" placeholder:"ADDR" help:"Loopback address and port of an agent; several agents share the load."`
	Speed    float64       `default:"1" help:"Playback speed as a multiple of the recorded speed."`
	Loop     int           `default:"1" help:"Number of times that the recording is played."`
	Limit    int64         `placeholder:"N" help:"Maximum number of requests to play."`
	For      time.Duration `placeholder:"TIME" help:"Stop after this time."`
	InFlight int           `default:"4096" help:"Maximum number of requests in flight; requests above it count as unsent."`
	Seed     uint64        `default:"1" help:"Random seed of the correlation ids."`
	Marks    bool          `help:"Mark repeats with X-Repeat: 1."`
	reportFlags
}

// reportFlags are the flags that select the format of a load report.
type reportFlags struct {
	Window float64 `default:"10" help:"Length of the report's windows in seconds."`
	JSON   bool    `name:"json" help:"Print one JSON object."`
	HTML   string  `name:"html" placeholder:"FILE" help:"Write the report as one HTML page with plots."`
}

// window returns the length of the report's windows, or an error if it is out of range.
func (f *reportFlags) window() (time.Duration, error) {
	if !(f.Window >= 0.01) || f.Window > 1e6 {
		return 0, fmt.Errorf("--window: %v seconds is not within 0.01 and 1000000", f.Window)
	}
	return time.Duration(f.Window * float64(time.Second)), nil
}

// write writes the report to standard output and to the page of --html, in the formats that the flags select.
func (f *reportFlags) write(s streams, r *load.Report, title string) error {
	if f.HTML != "" {
		if err := writeFile(f.HTML, func(w io.Writer) error { return r.HTML(w, title) }); err != nil {
			return err
		}
	}
	if f.JSON {
		return r.JSON(s.out)
	}
	return r.Text(s.out)
}

// loopPlans plays the same recording several times in a row: next returns the requests of each round, with
// times that continue those of the previous round, and io.EOF after the last round. open opens the recording
// anew for each round. closePlan closes the plan that is open, and currentPlan returns it (nil: none).
func loopPlans(rounds int, open func() (*load.Plan, error)) (next func() (*load.Request, error), closePlan func() error, currentPlan func() *load.Plan) {
	var p *load.Plan
	var shift, end time.Duration
	round, n := 0, 0
	return func() (*load.Request, error) {
			for {
				if p == nil {
					var err error
					if p, err = open(); err != nil {
						return nil, err
					}
				}
				q, err := p.Next()
				if errors.Is(err, io.EOF) && round+1 < rounds && n > 0 {
					round++
					// The gap between two rounds is the mean gap between the requests of a round.
					shift, n = end+(end-shift)/time.Duration(max(n-1, 1)), 0
					if err := p.Close(); err != nil {
						return nil, err
					}
					p = nil
					continue
				}
				if err != nil {
					return nil, err
				}
				n++
				q.Offset += shift
				end = q.Offset
				return q, nil
			}
		}, func() error {
			if p == nil {
				return nil
			}
			return p.Close()
		}, func() *load.Plan { return p }
}

// sourceReport returns what p has read from the named files so far: numbers of entries that were read,
// skipped or matched no rule; nil if p is nil.
func sourceReport(files []string, p *load.Plan) *load.SourceReport {
	if p == nil {
		return nil
	}
	return &load.SourceReport{Files: files, Read: p.Counts.Read, Unmatched: p.Mapper.Unmatched, Skipped: p.Counts.Skipped, Repairs: p.Counts.Repairs, Examples: p.Counts.SkipExamples}
}

// Run plays the recordings and prints a report, also of a run that was interrupted.
func (c *playCmd) Run(ctx context.Context, s streams) error {
	window, err := c.window()
	if err != nil {
		return err
	}
	o := load.PlayOptions{Speed: c.Speed, MaxRequests: c.Limit, MaxDuration: c.For, MaxInFlight: c.InFlight, Seed: c.Seed, MarkRepeats: c.Marks}
	for _, t := range c.Target {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return fmt.Errorf("--target: %w", err)
		}
		o.Targets = append(o.Targets, a)
	}
	if c.Loop < 1 || c.Loop > 1 && len(c.Files) == 1 && c.Files[0] == "-" {
		return errors.New("--loop: must be at least 1, and exactly 1 for standard input")
	}
	next, closePlan, currentPlan := loopPlans(c.Loop, func() (*load.Plan, error) { return c.plan(s) })
	rec := load.NewRecorder(window)
	progress := newProgress(s.err)
	o.Done = func(x *load.Sample) {
		rec.Add(x)
		progress.add(x)
	}
	tot, err := load.Play(ctx, next, o)
	progress.end()
	r := rec.Report(tot)
	r.Source = sourceReport(c.Files, currentPlan())
	return errors.Join(err, closePlan(), c.write(s, r, "Load played"))
}

// progress prints one line about a recording that is being played, and updates it once a second.
type progress struct {
	w                    io.Writer // standard error
	startedAt, printedAt time.Time // when playing began, and when the line was last updated
	requests, notServed  int64     // requests that have ended, and those of them that were not served
	printed              bool      // the line was printed at least once
}

func newProgress(w io.Writer) *progress {
	now := time.Now()
	return &progress{w: w, startedAt: now, printedAt: now}
}

// add counts a request that has ended, and updates the line if a second has passed.
func (p *progress) add(s *load.Sample) {
	p.requests++
	if s.Outcome != load.Served {
		p.notServed++
	}
	if time.Since(p.printedAt) >= time.Second {
		p.printedAt = time.Now()
		p.printed = true
		fmt.Fprintf(p.w, "\r%6.0f s  %d requests, %d not served ", time.Since(p.startedAt).Seconds(), p.requests, p.notServed)
	}
}

// end ends the line.
func (p *progress) end() {
	if p.printed {
		fmt.Fprintln(p.w)
	}
}

// generateCmd writes a generated log.
type generateCmd struct {
	Shape   string  `enum:"steady,bursty,monsoon" default:"steady" help:"Shape of the request rate over time (${enum})."`
	Format  string  `enum:"combined,json,har" default:"combined" help:"Format of the log (${enum})."`
	Rate    float64 `default:"50" help:"Requests a second."`
	Seconds float64 `default:"60" help:"Length of the log in seconds."`
	Repeats float64 `default:"0.03" help:"Share of requests that clients repeat."`
	Seed    uint64  `default:"1" help:"The same seed gives the same log."`
	Out     string  `short:"o" placeholder:"FILE" help:"Output file; standard output if omitted."`
}

// Run writes the log, and its totals to standard error.
func (c *generateCmd) Run(s streams) error {
	w, closeOutput := s.out, func() error { return nil }
	if c.Out != "" {
		f, err := os.Create(c.Out)
		if err != nil {
			return err
		}
		w, closeOutput = f, f.Close
	}
	buf := bufio.NewWriter(w)
	g, err := load.Generate(buf, load.GenerateOptions{Shape: c.Shape, Format: c.Format, Rate: c.Rate, Seconds: c.Seconds, Repeats: c.Repeats, Seed: c.Seed})
	if err := errors.Join(err, buf.Flush(), closeOutput()); err != nil {
		return err
	}
	fmt.Fprintf(s.err, "%d requests, %d of them repeats\n", g.Requests, g.Repeats)
	return nil
}

// rulesCmd prints the default mapping rules.
type rulesCmd struct{}

// Run prints the rules as TOML.
func (rulesCmd) Run(s streams) error {
	_, err := io.WriteString(s.out, load.DefaultMappingText())
	return err
}
