// Package strict decodes TOML files that people write. Unknown keys and values of the wrong type are errors
// that name the file, the line and the key.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes the TOML text raw into the value that into points to. file is the file's name in errors.
func Decode(file string, raw []byte, into any) error {
	dec := toml.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		row, _ := missing.Errors[0].Position()
		return fmt.Errorf("%s: line %d: unknown key %s", file, row, strings.Join(missing.Errors[0].Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		if key := strings.Join(decode.Key(), "."); key != "" {
			return fmt.Errorf("%s: line %d: %s: %w", file, row, key, err)
		}
		return fmt.Errorf("%s: line %d: %w", file, row, err)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// DecodeFile decodes the TOML file at path into the value that into points to.
func DecodeFile(path string, into any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Decode(path, raw, into)
}

// TableLine returns the line number, from 1, of the nth [[name]] header in a TOML text, with n counted from 0; 0: there is no such
// header.
func TableLine(raw []byte, name string, n int) int {
	for i, line := range strings.Split(string(raw), "\n") {
		if head, _, _ := strings.Cut(strings.TrimSpace(line), "#"); strings.TrimSpace(head) == "[["+name+"]]" {
			if n == 0 {
				return i + 1
			}
			n--
		}
	}
	return 0
}

// KeyLine returns the line number, from 1, on which a key outside of all tables is set in a TOML text; 0 if it isn't set.
func KeyLine(raw []byte, key string) int {
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			return 0
		}
		if name, _, set := strings.Cut(line, "="); set && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}
