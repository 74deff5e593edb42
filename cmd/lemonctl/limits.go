package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"lemonrail/internal/explain"
)

// limitsCmd reports from agents' notes why requests were refused or failed and why limits were cut.
type limitsCmd struct {
	Files []string `arg:"" name:"file" help:"Files of agents' notes (lemonrail -explain), or logs that contain notes; - for standard input."`
	noteFlags
}

// noteFlags are the flags of commands that summarise agents' notes.
type noteFlags struct {
	Window float64 `default:"1" help:"Length of a window in seconds."`
	JSON   bool    `name:"json" help:"Print one JSON object."`
	HTML   string  `name:"html" placeholder:"FILE" help:"Write the report as one HTML page with plots."`
}

func (f *noteFlags) checkWindow() error {
	if !(f.Window >= 0.05) || f.Window > 1e6 {
		return fmt.Errorf("--window: %v seconds is not within 0.05 and 1000000", f.Window)
	}
	return nil
}

// noteReport is a summary of notes that can be printed as text or as an HTML page.
type noteReport interface {
	Text(io.Writer) error
	HTML(w io.Writer, title string) error
}

// print writes a report in the formats that the flags select. agents is the number of agents in the notes, others the
// number of lines that were no notes; without agents the result is an error.
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

// Run summarises the notes in the files and prints the report.
func (c *limitsCmd) Run(s streams) error {
	if err := c.checkWindow(); err != nil {
		return err
	}
	sum := explain.NewSummary(c.Window)
	for _, name := range c.Files {
		if err := readFile(sum.Read, name, s.in); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	r := sum.Report()
	return c.print(s, r, "Limits on attempts in flight", len(r.Agents), r.OtherLines)
}

// writeFile creates a file, passes it to write and closes it.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}
