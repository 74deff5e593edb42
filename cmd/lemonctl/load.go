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

// sourceFlags say what is read and how.
type sourceFlags struct {
	Files   []string          `arg:"" name:"file" help:"HAR files and access logs, plain or compressed by gzip or zstd; - for standard input. Several are merged by time."`
	Format  string            `enum:"auto,har,json,common,combined,vhost_combined,custom" default:"auto" help:"What the files hold (${enum}); auto tells by their first bytes."`
	Nginx   []string          `sep:"none" placeholder:"FORMAT" help:"An nginx log_format string or directive, tried first."`
	Apache  []string          `sep:"none" placeholder:"FORMAT" help:"An Apache LogFormat string or directive, tried first."`
	Member  map[string]string `placeholder:"WHAT=NAME" help:"Which member of a JSON line holds what: time, client, method, target, query, host, status, request or body."`
	Map     string            `placeholder:"FILE" help:"TOML rules by which entries become requests; see load rules."`
	Reorder time.Duration     `default:"5s" help:"How much too late entries may stand in a file."`
	MaxGap  time.Duration     `placeholder:"TIME" help:"Shorten longer silences to this."`
}

// plan opens the files.
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

type inspectCmd struct {
	sourceFlags
	Window float64 `default:"10" help:"Length of a window in seconds."`
	JSON   bool    `name:"json" help:"Print one JSON object."`
}

func (c *inspectCmd) Run(ctx context.Context, s streams) error {
	if !(c.Window >= 0.001) || c.Window > 1e6 {
		return fmt.Errorf("--window: %v makes no sense", c.Window)
	}
	p, err := c.plan(s)
	if err != nil {
		return err
	}
	defer p.Close()
	begun := time.Now()
	in, err := load.Inspect(p, time.Duration(c.Window*float64(time.Second)), func(n int64) error {
		if time.Since(begun) > 2*time.Second {
			fmt.Fprintf(s.err, "\r%d requests, %.0f a second ", n, float64(n)/time.Since(begun).Seconds())
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

type playCmd struct {
	sourceFlags
	Target   []string      `required:"" placeholder:"ADDR" help:"Loopback address and port of an agent; several share the load."`
	Speed    float64       `default:"1" help:"How many times faster than recorded."`
	Loop     int           `default:"1" help:"Play so many times over."`
	Limit    int64         `placeholder:"N" help:"Play no more requests than this."`
	For      time.Duration `placeholder:"TIME" help:"End after so long."`
	InFlight int           `default:"4096" help:"Requests at a time at the most; what is beyond counts as unsent."`
	Seed     uint64        `default:"1" help:"Of the correlation ids."`
	Marks    bool          `help:"Mark repeats with X-Repeat: 1."`
	reportFlags
}

// reportFlags say what becomes of a report.
type reportFlags struct {
	Window float64 `default:"10" help:"Length of the report's windows in seconds."`
	JSON   bool    `name:"json" help:"Print one JSON object."`
	HTML   string  `name:"html" placeholder:"FILE" help:"Write the report as one page with plots."`
}

func (f *reportFlags) window() (time.Duration, error) {
	if !(f.Window >= 0.01) || f.Window > 1e6 {
		return 0, fmt.Errorf("--window: %v makes no sense", f.Window)
	}
	return time.Duration(f.Window * float64(time.Second)), nil
}

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

// looped yields a plan's requests so many times over, each round behind the one before.
func looped(times int, open func() (*load.Plan, error)) (next func() (*load.Request, error), closing func() error, last func() *load.Plan) {
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
				if errors.Is(err, io.EOF) && round+1 < times && n > 0 {
					round++
					// The gap between two rounds is the mean one.
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
				q.At += shift
				end = q.At
				return q, nil
			}
		}, func() error {
			if p == nil {
				return nil
			}
			return p.Close()
		}, func() *load.Plan { return p }
}

// sourceReport tells what reading came to.
func sourceReport(files []string, p *load.Plan) *load.SourceReport {
	if p == nil {
		return nil
	}
	return &load.SourceReport{Files: files, Read: p.Counts.Read, Unmatched: p.Mapper.Unmatched, Skipped: p.Counts.Skipped, Notes: p.Counts.Notes, Examples: p.Counts.First}
}

func (c *playCmd) Run(ctx context.Context, s streams) error {
	window, err := c.window()
	if err != nil {
		return err
	}
	o := load.PlayOptions{Speed: c.Speed, Limit: c.Limit, For: c.For, InFlight: c.InFlight, Seed: c.Seed, Marks: c.Marks}
	for _, t := range c.Target {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return fmt.Errorf("--target: %w", err)
		}
		o.Targets = append(o.Targets, a)
	}
	if c.Loop < 1 || c.Loop > 1 && len(c.Files) == 1 && c.Files[0] == "-" {
		return errors.New("--loop: at least 1, and standard input can be played once only")
	}
	next, closing, last := looped(c.Loop, func() (*load.Plan, error) { return c.plan(s) })
	rec := load.NewRecorder(window)
	show := newProgress(s.err)
	o.Done = func(x *load.Sample) {
		rec.Add(x)
		show.add(x)
	}
	tot, err := load.Play(ctx, next, o)
	show.end()
	r := rec.Report(tot)
	r.Source = sourceReport(c.Files, last())
	return errors.Join(err, closing(), c.write(s, r, "Load played"))
}

// progress says once a second how a play goes on.
type progress struct {
	w           io.Writer
	begun, said time.Time
	n, bad      int64
	printed     bool
}

func newProgress(w io.Writer) *progress {
	now := time.Now()
	return &progress{w: w, begun: now, said: now}
}

func (p *progress) add(s *load.Sample) {
	p.n++
	if s.Outcome != load.Served {
		p.bad++
	}
	if time.Since(p.said) >= time.Second {
		p.said = time.Now()
		p.printed = true
		fmt.Fprintf(p.w, "\r%6.0f s  %d requests, %d not served ", time.Since(p.begun).Seconds(), p.n, p.bad)
	}
}

func (p *progress) end() {
	if p.printed {
		fmt.Fprintln(p.w)
	}
}

type generateCmd struct {
	Shape   string  `enum:"steady,bursty,monsoon" default:"steady" help:"How the rate goes (${enum})."`
	Format  string  `enum:"combined,json,har" default:"combined" help:"What is written (${enum})."`
	Rate    float64 `default:"50" help:"Requests a second."`
	Seconds float64 `default:"60" help:"How long it lasts."`
	Repeats float64 `default:"0.03" help:"Share of requests that are sent once more."`
	Seed    uint64  `default:"1" help:"The same seed gives the same log."`
	Out     string  `short:"o" placeholder:"FILE" help:"Where it goes; standard output if left out."`
}

func (c *generateCmd) Run(s streams) error {
	w, closing := s.out, func() error { return nil }
	if c.Out != "" {
		f, err := os.Create(c.Out)
		if err != nil {
			return err
		}
		w, closing = f, f.Close
	}
	buf := bufio.NewWriter(w)
	g, err := load.Generate(buf, load.GenerateOptions{Shape: c.Shape, Format: c.Format, Rate: c.Rate, Seconds: c.Seconds, Repeats: c.Repeats, Seed: c.Seed})
	if err := errors.Join(err, buf.Flush(), closing()); err != nil {
		return err
	}
	fmt.Fprintf(s.err, "%d requests, %d of them repeats\n", g.Requests, g.Repeats)
	return nil
}

type rulesCmd struct{}

func (rulesCmd) Run(s streams) error {
	_, err := io.WriteString(s.out, load.DefaultMappingText())
	return err
}
