package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestInvalidCommandLines(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "control.toml")
	if err := os.WriteFile(bad, []byte("name = 'a1'\ntock_ms = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name string
		args []string
		want string
	}{
		{"no file", nil, "usage"},
		{"two files", []string{bad, bad}, "usage"},
		{"a missing file", []string{bad + "x"}, "no such file"},
		{"an unknown key", []string{bad}, bad + ": line 2: unknown key tock_ms"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var log bytes.Buffer
			if code := run(context.Background(), tt.args, &log); code != exitUsage || !strings.Contains(log.String(), tt.want) {
				t.Errorf("code %d: %s, want %s", code, log.String(), tt.want)
			}
		})
	}
}

func TestListenAddressFails(t *testing.T) {
	file := filepath.Join(t.TempDir(), "control.toml")
	text := `name = "a1"
region = "a"
address = "256.0.0.1:1"
folder = "` + t.TempDir() + `"
tick_ms = 20
[[machine]]
name = "a1"
region = "a"
address = "127.0.0.1:1"
[machine.groups]
fleet = "127.0.0.1:2"
region-a = "127.0.0.1:3"
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	if code := run(context.Background(), []string{file}, &log); code != exitFailed || !strings.Contains(log.String(), "address") {
		t.Errorf("code %d: %s", code, log.String())
	}
}
