package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"lemonrail/internal/explain"
)

type fleetLogCmd struct {
	Paths  []string `arg:"" name:"path" help:"Directories with agents' logs (*.log) or files of notes (lemonrail -explain); - for standard input."`
	Window float64  `default:"1" help:"Length of a window in seconds."`
	JSON   bool     `name:"json" help:"Print one JSON object."`
	HTML   string   `name:"html" placeholder:"FILE" help:"Write the report as one page with plots."`
}

func (c *fleetLogCmd) Run(s streams) error {
	if !(c.Window >= 0.05) || c.Window > 1e6 {
		return fmt.Errorf("--window: %v makes no sense", c.Window)
	}
	var files []string
	for _, path := range c.Paths {
		if info, err := os.Stat(path); path != "-" && err == nil && info.IsDir() {
			found, err := filepath.Glob(filepath.Join(path, "*.log"))
			if err != nil || len(found) == 0 {
				return fmt.Errorf("%s: no *.log in it", path)
			}
			files = append(files, found...)
			continue
		}
		files = append(files, path)
	}
	fleet := explain.NewFleet(c.Window)
	for i, name := range files {
		if err := readInto(fleet.Read, name, s.in); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if len(files) > 20 && (i+1)%20 == 0 {
			fmt.Fprintf(s.err, "%d of %d files read\n", i+1, len(files))
		}
	}
	r := fleet.Report()
	if r.Agents == 0 {
		return fmt.Errorf("no notes in %d lines: agents write them when started with -explain", r.Others)
	}
	if c.HTML != "" {
		if err := writeFile(c.HTML, func(w io.Writer) error { return r.HTML(w, "The fleet") }); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(s.out, r)
	}
	return r.Text(s.out)
}

// readInto has a file read, or standard input for -.
func readInto(read func(io.Reader) error, name string, in io.Reader) error {
	if name == "-" {
		return read(in)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return read(f)
}
