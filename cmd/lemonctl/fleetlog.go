package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"lemonrail/internal/explain"
)

// fleetLogCmd aggregates the notes and logs of all agents of a fleet.
type fleetLogCmd struct {
	Paths []string `arg:"" name:"path" help:"Directories with the agents' logs (*.log), or files of notes (lemonrail -explain); - for standard input."`
	noteFlags
}

// Run reads all files, with progress on standard error if there are many, and prints the report.
func (c *fleetLogCmd) Run(s streams) error {
	if err := c.checkWindow(); err != nil {
		return err
	}
	var files []string
	for _, path := range c.Paths {
		if info, err := os.Stat(path); path != "-" && err == nil && info.IsDir() {
			found, err := filepath.Glob(filepath.Join(path, "*.log"))
			if err != nil || len(found) == 0 {
				return fmt.Errorf("%s: contains no *.log files", path)
			}
			files = append(files, found...)
			continue
		}
		files = append(files, path)
	}
	fleet := explain.NewFleet(c.Window)
	for i, name := range files {
		if err := readFile(fleet.Read, name, s.in); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if len(files) > 20 && (i+1)%20 == 0 {
			fmt.Fprintf(s.err, "%d of %d files read\n", i+1, len(files))
		}
	}
	r := fleet.Report()
	return c.print(s, r, "The fleet", r.Agents, r.OtherLines)
}

// readFile opens the named file and passes it to read. For the name "-" it passes in instead, which is
// standard input.
func readFile(read func(io.Reader) error, name string, in io.Reader) error {
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
