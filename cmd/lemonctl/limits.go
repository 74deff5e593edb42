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
	Files  []string `arg:"" name:"file" help:"Notes that agents wrote (lemonrail -explain), or logs with notes among them; - for standard input."`
	Window float64  `default:"1" help:"Length of a window in seconds."`
	JSON   bool     `name:"json" help:"Print one JSON object."`
	HTML   string   `name:"html" placeholder:"FILE" help:"Write the report as one page with plots."`
}

func (c *limitsCmd) Run(s streams) error {
	if !(c.Window >= 0.05) || c.Window > 1e6 {
		return fmt.Errorf("--window: %v makes no sense", c.Window)
	}
	sum := explain.NewSummary(c.Window)
	for _, name := range c.Files {
		if err := readInto(sum.Read, name, s.in); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	r := sum.Report()
	if len(r.Agents) == 0 {
		return fmt.Errorf("no notes in %d lines: agents write them when started with -explain", r.Others)
	}
	if c.HTML != "" {
		if err := writeFile(c.HTML, func(w io.Writer) error { return r.HTML(w, "Limits on attempts in flight") }); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(s.out, r)
	}
	return r.Text(s.out)
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
