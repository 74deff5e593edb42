package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestBadEnvironment(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	if err := run(); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("got %v", err)
	}
	t.Setenv("LB_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	if err := run(); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("got %v", err)
	}
}

// The program starts with discovery down, and a SIGTERM ends it without an error.
func TestStartAndStop(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"memory_mb":192,"sockets":1024},
	 "settings":{"Balancers":1,"Profiles":[{"Name":"read","AimMs":100,"DeadlineMs":200,"Semantics":"repeatable"}]}}`, addr, addr)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	for begun := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Since(begun) > 20*time.Second {
			t.Fatal("never ready")
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("still there")
	}
}
