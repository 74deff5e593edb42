package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"lemonrail/internal/diameter"
)

type diameterDecodeCmd struct {
	File       string   `arg:"" help:"Raw messages, one behind the other, as on a connection; - for standard input."`
	Dictionary []string `placeholder:"FILE" help:"TOML files that add commands and attributes."`
	JSON       bool     `name:"json" help:"Print one JSON object a message."`
}

// decoded is a message, with what the dictionary finds wrong with it.
type decoded struct {
	At int64 `json:"at"` // bytes into the file
	diameter.Tree
	Wrong string `json:"wrong,omitempty"`
}

func (c *diameterDecodeCmd) Run(s streams) error {
	dict, err := diameter.NewDictionary(c.Dictionary...)
	if err != nil {
		return err
	}
	in := s.in
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	limits := diameter.DefaultLimits()
	messages := diameter.NewReader(in, limits)
	for at := int64(0); ; {
		raw, err := messages.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: at byte %d: %w", c.File, at, err)
		}
		m, err := diameter.Decode(raw, limits)
		if err != nil {
			return fmt.Errorf("%s: at byte %d: %w", c.File, at, err)
		}
		d := decoded{At: at, Tree: dict.Tree(m, limits)}
		if err := dict.Check(m, limits); err != nil {
			d.Wrong = err.Error()
		}
		at += int64(len(raw))
		if c.JSON {
			if err := printJSON(s.out, d); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(s.out, "at byte %d: %s", d.At, d.Tree)
		if d.Wrong != "" {
			fmt.Fprintf(s.out, "  wrong: %s\n", d.Wrong)
		}
	}
}
