package main

import (
	"bufio"
	"bytes"
	"debug/elf"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// builtProgram returns the path of the program, built once with the flags that the platform builds it with.
func builtProgram(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() { programPath = build(t) })
	if programPath == "" {
		t.Fatal("the program could not be built")
	}
	return programPath
}

var (
	buildOnce   sync.Once
	programPath string
)

func TestMain(m *testing.M) {
	code := m.Run()
	if programPath != "" {
		os.RemoveAll(filepath.Dir(programPath))
	}
	os.Exit(code)
}

// build builds the program into a new folder, with the flags of the build line in deploy/balancer.toml, and
// returns its path.
func build(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = ".*(CGO_ENABLED=1) go build (.*) -o bin/ `).FindSubmatch(raw)
	if line == nil {
		t.Fatal("the build line of deploy/balancer.toml doesn't have the expected form")
	}
	dir, err := os.MkdirTemp("", "lemonrail")
	if err != nil {
		t.Fatal(err)
	}
	bin := filepath.Join(dir, "lemonrail")
	build := exec.Command("go", append(append([]string{"build"}, strings.Fields(string(line[2]))...), "-o", bin, ".")...)
	build.Env = append(os.Environ(), string(line[1]))
	if out, err := build.CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// The platform's bench intercepts the program's calls in the C library, allows a single process, and supports
// only TCP and UDP over IPv4. The environment that it starts the program with has only the program's own
// variables.
func TestDeployedProgramMeetsPlatformRules(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("reads /proc")
	}
	bin := builtProgram(t)
	f, err := elf.Open(bin)
	if err != nil {
		t.Fatal(err)
	}
	libs, err := f.ImportedLibraries()
	f.Close()
	if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("linked against %v (%v), want the C library among them", libs, err)
	}

	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	text := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":64,"sockets":384},
	 "peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9","127.0.0.1:10"],"peers_all":"127.0.0.1:11",
	 "settings":{"Balancers":2,"PolicyLimits":{"Peers":true},"Profiles":[{"Name":"read","AimMs":100,"DeadlineMs":200,"Semantics":"repeatable"}]}}`
	if err := os.WriteFile(config, []byte(text), 0o400); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(bin)
	cmd.Env = []string{"LB_CONFIG=" + config}
	cmd.Dir = dir
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		go func() { // the program can't end while writing its log blocks
			for lines := bufio.NewScanner(log); lines.Scan(); {
			}
		}()
		if err := cmd.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
	}()
	addr := ""
	for lines := bufio.NewScanner(log); addr == "" && lines.Scan(); {
		if _, rest, ok := strings.Cut(lines.Text(), "listen="); ok {
			addr, _, _ = strings.Cut(rest, " ")
		}
	}
	if addr == "" {
		t.Fatal("never serving")
	}
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Get("http://" + addr + "/up"); err != nil {
		t.Fatal(err)
	} else {
		resp.Body.Close()
	}

	pid := cmd.Process.Pid
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	ownSockets := map[string]bool{}
	for _, fd := range fds {
		to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, fd.Name()))
		if inode, ok := strings.CutPrefix(to, "socket:["); ok {
			ownSockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	if len(ownSockets) < 2 {
		t.Errorf("%d sockets, want the listener's and the peers'", len(ownSockets))
	}
	for _, kind := range []string{"unix", "tcp6", "udp6", "raw", "raw6", "packet", "netlink"} {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, kind))
		if err != nil {
			continue // this kernel doesn't have the kind
		}
		for _, field := range bytes.Fields(raw) {
			if ownSockets[string(field)] {
				t.Errorf("a socket of the kind %s is open", kind)
			}
		}
	}
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, task := range tasks {
		if children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/children", pid, task.Name())); err == nil && len(bytes.TrimSpace(children)) > 0 {
			t.Errorf("the program has started processes: %s", children)
		}
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("the program wrote to its folder: %v %v", left, err)
	}
}
