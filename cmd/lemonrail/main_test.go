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
	if err := run(nil, io.Discard, optionalFiles{}); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("got %v", err)
	}
	t.Setenv("LB_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	if err := run(nil, io.Discard, optionalFiles{}); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("got %v", err)
	}
}

// The program starts while discovery is down, reads its configuration again on SIGHUP, and ends without an error on
// SIGTERM.
func TestStartAndStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	const config = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
	 "limits":{"memory_mb":192,"sockets":1024},
	 "settings":{"Balancers":1,"Profiles":[{"Name":"read","AimMs":100,"DeadlineMs":200,"Semantics":"repeatable"}]}}`
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", path)
	hup := notifyHangup()
	log, w := io.Pipe()
	exited := make(chan error, 1)
	go func() {
		exited <- run(hup, w, optionalFiles{})
		w.Close()
	}()
	addr, reread, stopping := make(chan string, 1), make(chan bool, 3), make(chan bool, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); { // reads to the end, since the program blocks on writing its log
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
	timeout := time.After(20 * time.Second)
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
	case err := <-exited:
		t.Fatalf("ended with %v", err)
	case <-timeout:
		t.Fatal("never serving")
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-reread:
	case err := <-exited:
		t.Fatalf("ended with %v", err)
	case <-timeout:
		t.Fatal("the configuration was not read again")
	}
	extraSignals := make(chan os.Signal, 3) // catches signals that arrive after run has ended, which on a slow machine would end the test
	signal.Notify(extraSignals, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(extraSignals)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-stopping:
	case <-timeout:
		t.Fatal("the stop never began")
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} { // signals during the stop change nothing
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case err := <-exited:
		if err != nil {
			t.Error(err)
		}
	case <-timeout:
		t.Fatal("the program didn't end")
	}
}
