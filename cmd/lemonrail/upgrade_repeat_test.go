package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// Guards against an id that runs twice: its client leaves while the process that is replaced has it, and comes back with it to
// the new process. A request that has not run is run there.
func TestRequestOfALeftClientDoesNotRunAtTheSuccessor(t *testing.T) {
	for name, tt := range map[string]struct {
		leaves bool // the client closes its connection before the first attempt ends
		signal syscall.Signal
	}{"client left, planned stop": {true, syscall.SIGTERM}, "client stays, process killed": {false, syscall.SIGKILL}} {
		t.Run(name, func(t *testing.T) {
			recorder := &attemptRecorder{attempts: map[string]int{}, arrived: make(chan string, 10), finish: make(chan func(net.Conn))}
			closeFinish := sync.OnceFunc(func() { close(recorder.finish) })
			t.Cleanup(closeFinish)
			p := newPlatform(t, recorder.backend(t), recorder.backend(t))
			p.config = p.configWith(`"Profiles":[`, `"Profiles":[{"Name":"claim","AimMs":1000,"DeadlineMs":3000,"Worth":1,"Semantics":"once"},`)
			old := p.start(p.config).awaitReady()
			nc, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			request := "POST /claim HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: claim\r\nX-Time-Left: 3000m\r\nContent-Length: 1\r\n\r\nx"
			io.WriteString(nc, request)
			scripted.Await(t, recorder.arrived)
			p.start(p.config).awaitReady()
			if tt.leaves {
				nc.Close()
			}
			old.cmd.Process.Signal(tt.signal)
			for begun := time.Now(); tt.signal == syscall.SIGTERM && !strings.Contains(old.log.String(), "a successor serves"); time.Sleep(time.Millisecond) {
				if time.Since(begun) > scripted.WaitTimeout {
					t.Fatal("the process doesn't stop accepting")
				}
			}
			if tt.signal == syscall.SIGKILL {
				scripted.Await(t, old.done)
			}
			answer, err := p.exchangeOnce(strings.Replace(request, "\r\n\r\nx", "\r\nConnection: close\r\n\r\nx", 1))
			if len(answer) < 12 || string(answer[9:12]) != "400" {
				t.Errorf("the repeat got %q, %v", fmt.Sprintf("%.40s", answer), err)
			}
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			if n := recorder.attempts["claim"]; n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
	}
}
