// Command 10 is a case of the second review: claim.txt has the claim.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"lemonrail/review/lab2"
)

const dutiesFile = `
fleet = ""
folder = %q
voters = 1
drift = 0.01
act_ms = 200
tick_ms = 50
replace_s = 0
fallback_s = 15
[[seat]]
name = "n0"
address = %q
[[duty]]
name = "notes"
lease_ms = 3000
`

const membersFile = `
listen = %q
[[member]]
name = "n0"
zone = "gandhinagar"
address = %q
`

// ready asks a process for its readiness.
func ready(control string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + control + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func main() {
	c := lab2.Begin()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Need(err, "backend")
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "served") }))
	hosts := []lab2.Host{{Host: "s1", Dial: ln.Addr().String(), Site: "gandhinagar", Class: "fast-4", Health: "ready", Share: 1}}
	d := c.StartDiscovery(hosts)

	// The platform holds the clients' listening socket, and the shared $TMPDIR.
	clients, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Need(err, "clients")
	socket, err := clients.(*net.TCPListener).File()
	c.Need(err, "clients")
	listen := clients.Addr().String()
	tmp, folder := filepath.Join(c.Dir, "tmp"), filepath.Join(c.Dir, "lasting")
	c.Need(os.Mkdir(tmp, 0o700), "tmp")
	c.Need(os.Mkdir(folder, 0o700), "folder")
	udp := c.FreeAddr()
	config := c.Write("n0.json", c.AgentConfig("n0", listen, d.Addr, hosts, lab2.Settings(), 128, 512))
	args := "-members " + c.Write("members.toml", fmt.Sprintf(membersFile, udp, udp)) +
		" -duties " + c.Write("duties.toml", fmt.Sprintf(dutiesFile, folder, c.FreeAddr()))
	start := func(name string) (*lab2.Process, string) {
		control := c.FreeAddr()
		return c.StartWith(name, []*os.File{socket}, c.RunLine(args), "LB_CONFIG="+config, "LB_FD=3", "LB_CONTROL="+control, "TMPDIR="+tmp), control
	}
	first, control := start("first")
	for end := time.Now().Add(10 * time.Second); !ready(control); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || first.Wait(0) {
			c.End(lab2.Unknown, "the first process is not ready: %s", c.LogText("first"))
		}
	}
	time.Sleep(5 * time.Second) // the seat votes, and the agent holds the duty
	if !c.Trouble {
		if first.Wait(6*time.Second) || !ready(control) {
			c.End(lab2.Broken, "the process ended by itself or is not ready")
		}
		c.End(lab2.Held, "the process serves")
	}
	second, control := start("second")
	begun := time.Now()
	yes := false
	for time.Since(begun) < 6*time.Second && !yes && !second.Wait(0) {
		yes = ready(control)
		time.Sleep(20 * time.Millisecond)
	}
	c.Logf("the second process said yes: %v, %.3f s after its start", yes, time.Since(begun).Seconds())
	if yes {
		first.Signal(syscall.SIGTERM)
		c.Logf("the first process ended by itself: %v", first.Wait(3700*time.Millisecond))
		second.Wait(3 * time.Second)
	}
	ended := second.Wait(0)
	for _, name := range []string{"first", "second"} {
		for line := range strings.Lines(c.LogText(name)) {
			c.Logf("%s: %s", name, strings.TrimSpace(line))
		}
	}
	switch {
	case ended:
		c.End(lab2.Broken, "the new process ended by itself, with exit code %d", second.ExitCode())
	case !yes:
		c.End(lab2.Broken, "the new process did not say yes within 6 s")
	}
	c.End(lab2.Held, "the new process serves")
}
