package main

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestBadEnvironment(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	if err := run(nil, io.Discard, files{}); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("got %v", err)
	}
	t.Setenv("LB_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	if err := run(nil, io.Discard, files{}); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("got %v", err)
	}
}

// The program starts with discovery down, a SIGHUP makes it read its configuration again, and a
// SIGTERM ends it without an error.
func TestStartAndStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	const config = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
	 "limits":{"memory_mb":192,"sockets":1024},
	 "settings":{"Balancers":1,"Profiles":[{"Name":"read","AimMs":100,"DeadlineMs":200,"Semantics":"repeatable"}]}}`
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", path)
	hup := hangups()
	log, w := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- run(hup, w, files{})
		w.Close()
	}()
	addr, reread, stopping := make(chan string, 1), make(chan bool, 3), make(chan bool, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); { // to the end: the program waits for its log
			if _, rest, ok := strings.Cut(lines.Text(), "listen="); ok {
				listen, _, _ := strings.Cut(rest, " ")
				addr <- listen
			}
			if strings.Contains(lines.Text(), "read again") {
				reread <- true
			}
			if strings.Contains(lines.Text(), "msg=stopping") {
				stopping <- true
			}
		}
	}()
	limit := time.After(20 * time.Second)
	select {
	case a := <-addr:
		for status := 0; status != http.StatusOK; time.Sleep(time.Millisecond) {
			resp, err := http.Get("http://" + a + "/up")
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			status = resp.StatusCode
		}
	case err := <-ended:
		t.Fatalf("ended with %v", err)
	case <-limit:
		t.Fatal("never serving")
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-reread:
	case err := <-ended:
		t.Fatalf("ended with %v", err)
	case <-limit:
		t.Fatal("the configuration is not read again")
	}
	again := make(chan os.Signal, 3) // a slow machine may end the program before the second signal has come
	signal.Notify(again, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(again)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-stopping:
	case <-limit:
		t.Fatal("no stop begins")
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} { // they cross with the stop, and change nothing
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-limit:
		t.Fatal("still there")
	}
}
