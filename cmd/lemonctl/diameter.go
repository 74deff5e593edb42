package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"lemonrail/internal/diameter"
)

// diameterDecodeCmd prints captured Diameter messages as trees.
type diameterDecodeCmd struct {
	File       string   `arg:"" help:"File of raw messages, concatenated as on a connection; - for standard input."`
	Dictionary []string `placeholder:"FILE" help:"TOML files that add commands and attributes."`
	JSON       bool     `name:"json" help:"Print one JSON object for each message."`
}

// decodedMessage is a message as a tree, with the error of its check against the dictionary.
type decodedMessage struct {
	Offset int64 `json:"at"` // of the first byte, from the start of the file
	diameter.Tree
	Invalid string `json:"wrong,omitempty"` // error of the check against the dictionary; empty: none
}

// Run decodes the messages in order and stops at the first one that cannot be decoded.
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
	for offset := int64(0); ; {
		raw, err := messages.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: at byte %d: %w", c.File, offset, err)
		}
		m, err := diameter.Decode(raw, limits)
		if err != nil {
			return fmt.Errorf("%s: at byte %d: %w", c.File, offset, err)
		}
		d := decodedMessage{Offset: offset, Tree: dict.Tree(m, limits)}
		if err := dict.Check(m, limits); err != nil {
			d.Invalid = err.Error()
		}
		offset += int64(len(raw))
		if c.JSON {
			if err := printJSON(s.out, d); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(s.out, "at byte %d: %s", d.Offset, d.Tree)
		if d.Invalid != "" {
			fmt.Fprintf(s.out, "  wrong: %s\n", d.Invalid)
		}
	}
}
