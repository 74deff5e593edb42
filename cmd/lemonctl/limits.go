package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"lemonrail/internal/explain"
)

type limitsCmd struct {
	Files []string `arg:"" name:"file" help:"Notes that agents wrote (lemonrail -explain), or logs with notes among them; - for standard input."`
	noteFlags
}

// noteFlags are those of the commands that sum up agents' notes.
type noteFlags struct {
	Window float64 `default:"1" help:"Length of a window in seconds."`
	JSON   bool    `name:"json" help:"Print one JSON object."`
	HTML   string  `name:"html" placeholder:"FILE" help:"Write the report as one page with plots."`
}

func (f *noteFlags) check() error {
	if !(f.Window >= 0.05) || f.Window > 1e6 {
		return fmt.Errorf("--window: %v makes no sense", f.Window)
	}
	return nil
}

// noteReport is what notes come to.
type noteReport interface {
	Text(io.Writer) error
	HTML(w io.Writer, title string) error
}

// print writes a report as the flags say; agents and others are the agents and the other lines in it.
func (f *noteFlags) print(s streams, r noteReport, title string, agents, others int) error {
	if agents == 0 {
		return fmt.Errorf("no notes in %d lines: agents write them when started with -explain", others)
	}
	if f.HTML != "" {
		if err := writeFile(f.HTML, func(w io.Writer) error { return r.HTML(w, title) }); err != nil {
			return err
		}
	}
	if f.JSON {
		return printJSON(s.out, r)
	}
	return r.Text(s.out)
}

func (c *limitsCmd) Run(s streams) error {
	if err := c.check(); err != nil {
		return err
	}
	sum := explain.NewSummary(c.Window)
	for _, name := range c.Files {
		if err := readInto(sum.Read, name, s.in); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	r := sum.Report()
	return c.print(s, r, "Limits on attempts in flight", len(r.Agents), r.Others)
}

// writeFile creates a file and has it written.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}
