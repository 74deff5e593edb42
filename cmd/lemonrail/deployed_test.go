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

// built is the program, built once by the flags of the line that the platform builds it by.
func built(t *testing.T) string {
	t.Helper()
	building.Do(func() { program = build(t) })
	if program == "" {
		t.Fatal("the program could not be built")
	}
	return program
}

var (
	building sync.Once
	program  string
)

func TestMain(m *testing.M) {
	code := m.Run()
	if program != "" {
		os.RemoveAll(filepath.Dir(program))
	}
	os.Exit(code)
}

func build(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = ".*(CGO_ENABLED=1) go build (.*) -o bin/ `).FindSubmatch(raw)
	if line == nil {
		t.Fatal("the build line has no form that this test knows")
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

// The platform's bench leads the program's calls through the C library, wants one process, and knows TCP and
// UDP over IPv4 only. Nothing but the program's own variables is set there.
func TestDeployedProgramKeepsToThePlatform(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("reads /proc")
	}
	bin := built(t)
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
		go func() { // its log has to be read for it to end
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
	mine := map[string]bool{}
	for _, fd := range fds {
		to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, fd.Name()))
		if inode, ok := strings.CutPrefix(to, "socket:["); ok {
			mine[strings.TrimSuffix(inode, "]")] = true
		}
	}
	if len(mine) < 2 {
		t.Errorf("%d sockets, want the listener's and the peers'", len(mine))
	}
	for _, kind := range []string{"unix", "tcp6", "udp6", "raw", "raw6", "packet", "netlink"} {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, kind))
		if err != nil {
			continue // not on this kernel
		}
		for _, field := range bytes.Fields(raw) {
			if mine[string(field)] {
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
			t.Errorf("it has started processes: %s", children)
		}
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("it wrote to its folder: %v %v", left, err)
	}
}
