package strict

import (
	"strings"
	"testing"
)

func TestErrorsNameFileLineAndKey(t *testing.T) {
	type part struct {
		Size int `toml:"size"`
	}
	for _, tt := range []struct{ name, text, want string }{
		{"an unknown key", "name = 'x'\n[part]\nsise = 1\n", "f.toml: line 3: unknown key part.sise"},
		{"a wrong type", "name = 'x'\n[part]\nsize = 'big'\n", "f.toml: line 3: part.size"},
		{"invalid TOML", "name = \n", "f.toml: line 1"},
		{"a key twice", "name = 'x'\nname = 'y'\n", "f.toml: "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var v struct {
				Name string `toml:"name"`
				Part part   `toml:"part"`
			}
			err := Decode("f.toml", []byte(tt.text), &v)
			if err == nil || !strings.HasPrefix(err.Error(), tt.want) {
				t.Errorf("got %v, want %s", err, tt.want)
			}
		})
	}
}

func TestTable(t *testing.T) {
	raw := []byte("a = 1\n[[rule]]\nx = 1\n\n [[rule]] # second\nx = 2\n")
	if a, b, c := TableLine(raw, "rule", 0), TableLine(raw, "rule", 1), TableLine(raw, "rule", 2); a != 2 || b != 5 || c != 0 {
		t.Errorf("got %d, %d, %d", a, b, c)
	}
}
