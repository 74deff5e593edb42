// Package overhead measures what an agent costs beside a bare reverse proxy and no proxy at all, in one
// run on one machine: requests a second and CPU a request in a closed loop, latency at fixed rates,
// memory. The three take turns within each round, so that a machine whose speed drifts is the same for
// all of them; figures are medians over the rounds.
//
// Agent and bare proxy are processes of their own, each on one core (sched_setaffinity(2)); the nodes
// and the clients are goroutines of the measuring process, on the others. Processor times come from
// proc(5): ticks of 10 ms, so that a closed loop of a second and more is told to one in a hundred.
//
// Everything ends by itself: loops are bounded in time, the children are killed by their ids.
package overhead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lemonrail/internal/load"
)

// Options say what is measured.
type Options struct {
	Agent   string   // the agent's program
	Proxy   []string // command line of the bare proxy: its addresses follow; see ServeProxy
	Nodes   int
	Bytes   int // of an answer
	Clients int // of the closed loop
	Seconds float64
	Rates   []float64 // a second
	Rounds  int
	Dir     string
	Changes float64                          // of the list of nodes a second; 0: it never changes
	Say     func(format string, args ...any) // progress
}

// mostNodes is how many nodes may be listed: each listens on a port of its own.
const mostNodes = 512

// Row is what one way came to, as medians over the rounds.
type Row struct {
	Way      string        `json:"way"`       // direct, bare proxy, agent
	PerS     float64       `json:"per_s"`     // closed loop: requests a second
	CPUUs    float64       `json:"cpu_us"`    // and CPU of the proxy for one, microseconds; 0: none between
	Answered int64         `json:"answered"`  // 200, in all closed loops
	Other    int64         `json:"other"`     // any other outcome, in all loops
	MemoryMB float64       `json:"memory_mb"` // the most that was resident
	Rates    []RateLatency `json:"rates"`
}

// RateLatency is the latency at a fixed rate, from when requests were written.
type RateLatency struct {
	PerS  float64 `json:"per_s"`
	P50Us float64 `json:"p50_us"`
	P99Us float64 `json:"p99_us"`
}

// Report is what all ways came to.
type Report struct {
	Cores   int    `json:"cores"`
	Go      string `json:"go"`
	Clients int    `json:"clients"`
	Nodes   int    `json:"nodes"`
	Rounds  int    `json:"rounds"`
	Rows    []*Row `json:"rows"`
}

// way is one of those that are compared, while it runs.
type way struct {
	name string
	addr netip.AddrPort
	pid  int // 0: nothing between
	row  Row
	perS []float64
	cpu  []float64
	p50  [][]float64 // by rate
	p99  [][]float64
}

// Measure runs it all.
func Measure(ctx context.Context, o Options) (r *Report, err error) {
	if o.Nodes < 1 || o.Nodes > mostNodes || o.Clients < 1 || o.Clients > 1024 || !(o.Seconds > 0) || o.Seconds > 600 || o.Rounds < 1 || o.Rounds > 100 || o.Bytes < 0 || o.Bytes > 1<<20 {
		return nil, errors.New("nodes, clients, seconds, rounds or bytes make no sense")
	}
	if !(o.Changes >= 0) || o.Changes > 1000 {
		return nil, fmt.Errorf("%v changes a second make no sense", o.Changes)
	}
	for _, rate := range o.Rates {
		if !(rate > 0) || rate > 1e5 {
			return nil, fmt.Errorf("a rate of %v makes no sense", rate)
		}
	}
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	nodes, closeNodes, err := openNodes(o.Nodes, o.Bytes)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, closeNodes()) }()
	disc, closeDisc, err := openDiscovery(nodes, o.Changes)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, closeDisc()) }()

	ways := []*way{{name: "direct", addr: nodes[0]}}
	var kids []*kid
	defer func() {
		for _, k := range kids {
			k.stop()
		}
	}()
	start := func(name string, core int, env []string, argv ...string) (*way, error) {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		for i := range argv {
			argv[i] = strings.ReplaceAll(argv[i], "LISTEN", addr.String())
		}
		if env != nil {
			if err := writeConfig(env[0], addr, disc, nodes); err != nil {
				return nil, err
			}
			env = []string{"LB_CONFIG=" + env[0]}
		}
		k, err := startOn(core, env, argv...)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		kids = append(kids, k)
		w := &way{name: name, addr: addr, pid: k.cmd.Process.Pid}
		ways = append(ways, w)
		return w, untilUp(ctx, addr)
	}
	proxy := append(slices.Clone(o.Proxy), "LISTEN")
	for _, n := range nodes {
		proxy = append(proxy, n.String())
	}
	if _, err := start("bare proxy", 0, nil, proxy...); err != nil {
		return nil, err
	}
	if _, err := start("agent", min(1, runtime.NumCPU()-1), []string{filepath.Join(o.Dir, "agent.json")}, o.Agent); err != nil {
		return nil, err
	}
	back, err := leaveCores(2)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, back()) }()
	for _, w := range ways {
		w.p50, w.p99 = make([][]float64, len(o.Rates)), make([][]float64, len(o.Rates))
	}
	for round := range o.Rounds {
		for _, w := range ways {
			o.Say("round %d of %d: %s", round+1, o.Rounds, w.name)
			if err := w.closed(ctx, o, uint64(round)); err != nil {
				return nil, err
			}
		}
		for i, rate := range o.Rates {
			for _, w := range ways {
				if err := w.fixed(ctx, o, i, rate, uint64(round)); err != nil {
					return nil, err
				}
			}
		}
	}
	r = &Report{Cores: runtime.NumCPU(), Go: runtime.Version(), Clients: o.Clients, Nodes: o.Nodes, Rounds: o.Rounds}
	for _, w := range ways {
		w.row.Way, w.row.PerS, w.row.CPUUs = w.name, median(w.perS), median(w.cpu)
		if w.pid > 0 {
			if w.row.MemoryMB, err = peakMemory(w.pid); err != nil {
				return nil, err
			}
		}
		for i, rate := range o.Rates {
			w.row.Rates = append(w.row.Rates, RateLatency{rate, median(w.p50[i]), median(w.p99[i])})
		}
		r.Rows = append(r.Rows, &w.row)
	}
	return r, nil
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(list))[len(list)/2]
}

// requests yields the same request for ever; every of them at an even step.
func requests(rate float64) func() (*load.Request, error) {
	n := int64(0)
	return func() (*load.Request, error) {
		q := &load.Request{Class: "point-read", Method: "GET", Target: "/point-read/x", Left: 600 * time.Millisecond, Origin: n, Seq: n}
		if rate > 0 {
			q.At = time.Duration(float64(n) / rate * float64(time.Second))
		}
		n++
		return q, nil
	}
}

// closed measures the closed loop once.
func (w *way) closed(ctx context.Context, o Options, seed uint64) error {
	var ok, other atomic.Int64
	opt := load.PlayOptions{Targets: []netip.AddrPort{w.addr}, Seed: seed<<8 | 1, For: time.Duration(o.Seconds * float64(time.Second)), Done: func(s *load.Sample) {
		if s.Outcome == load.Served {
			ok.Add(1)
		} else {
			other.Add(1)
		}
	}}
	before, err := cpu(w.pid)
	if err != nil {
		return err
	}
	tot, err := load.PlayClosed(ctx, o.Clients, requests(0), opt)
	if err != nil {
		return err
	}
	after, err := cpu(w.pid)
	if err != nil {
		return err
	}
	w.perS = append(w.perS, float64(ok.Load())/tot.Finished.Sub(tot.Begun).Seconds())
	w.cpu = append(w.cpu, float64((after-before).Microseconds())/float64(max(1, ok.Load())))
	w.row.Answered += ok.Load()
	w.row.Other += other.Load()
	return ctx.Err()
}

// fixed measures a rate once.
func (w *way) fixed(ctx context.Context, o Options, i int, rate float64, seed uint64) error {
	var took []float64
	opt := load.PlayOptions{Targets: []netip.AddrPort{w.addr}, Seed: seed<<8 | uint64(2+i), For: time.Duration(o.Seconds * float64(time.Second)), InFlight: 256, Done: func(s *load.Sample) {
		if s.Outcome == load.Served {
			took = append(took, float64(s.Ended.Sub(s.Sent).Nanoseconds())/1000)
		} else {
			w.row.Other++
		}
	}}
	if _, err := load.Play(ctx, requests(rate), opt); err != nil {
		return err
	}
	if len(took) > 0 {
		slices.Sort(took)
		w.p50[i] = append(w.p50[i], took[len(took)/2])
		w.p99[i] = append(w.p99[i], took[len(took)*99/100])
	}
	return ctx.Err()
}

// openNodes starts nodes that answer at once.
func openNodes(n, size int) (addrs []netip.AddrPort, closing func() error, err error) {
	body := strings.Repeat("x", size)
	var servers []*http.Server
	var serving sync.WaitGroup
	closing = func() error {
		var errs []error
		for _, s := range servers {
			errs = append(errs, s.Close())
		}
		serving.Wait()
		return errors.Join(errs...)
	}
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Join(err, closing())
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, body) })}
		servers = append(servers, s)
		serving.Go(func() { s.Serve(ln) })
		addrs = append(addrs, netip.MustParseAddrPort(ln.Addr().String()))
	}
	return addrs, closing, nil
}

// host is a node in discovery's form.
func host(i int, n netip.AddrPort, share float64) map[string]any {
	return map[string]any{"host": fmt.Sprint("h", i), "dial": n.String(), "site": "a", "class": "k", "block": 0, "health": "ready", "share": share, "born_ms": 0}
}

// changed is the line of the nth change of the list.
func changed(nodes []netip.AddrPort, n int) []byte {
	i := n % len(nodes)
	share := 1 + 0.01*float64((n/len(nodes)+1)%2)
	line, err := json.Marshal(map[string]any{"seq": n + 2, "whole": false, "hosts": []any{host(i, nodes[i], share)}})
	if err != nil {
		panic(err) // of values that this function made
	}
	return append(line, '\n')
}

// hosts is the list of nodes in discovery's form.
func hosts(nodes []netip.AddrPort) map[string]any {
	var list []any
	for i, n := range nodes {
		list = append(list, host(i, n, 1))
	}
	return map[string]any{"seq": 1, "whole": true, "hosts": list}
}

// openDiscovery answers with the list, and gives one node after the other another share, so many times a second.
func openDiscovery(nodes []netip.AddrPort, changes float64) (addr string, closing func() error, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	list, err := json.Marshal(hosts(nodes))
	if err != nil {
		return "", nil, errors.Join(err, ln.Close())
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write(append(slices.Clone(list), '\n'))
		wait := 2 * time.Second
		if changes > 0 {
			wait = time.Duration(float64(time.Second) / changes)
		}
		for n := 0; r.URL.Query().Get("follow") == "1"; n++ {
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(wait):
			}
			if changes > 0 {
				w.Write(changed(nodes, n))
			} else {
				io.WriteString(w, "\n")
			}
		}
	})}
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(ln) })
	return ln.Addr().String(), func() error {
		err := s.Close()
		serving.Wait()
		return err
	}, nil
}

// writeConfig writes the agent's configuration.
func writeConfig(path string, listen netip.AddrPort, disc string, nodes []netip.AddrPort) error {
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen.String(), "discovery": disc, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": hosts(nodes),
		"settings": map[string]any{"Balancers": 1, "Me": 0, "Zone": 0, "Dcs": []string{"a"}, "Kinds": []string{"k"}, "MembershipMode": "automatic", "TickMs": 0,
			"Profiles":     []any{map[string]any{"Name": "point-read", "AimMs": 300, "DeadlineMs": 600, "Worth": 2, "LateValue": 0.25, "Semantics": "repeatable", "Group": "all", "WindowMs": 0}},
			"Report":       map[string]any{"Source": "off"},
			"PolicyLimits": map[string]any{"TryLimit": 5, "RetryAfter": true, "MaxRetryAfterMs": 750, "ConnectTimeoutMs": 150, "IdleCloseMs": 10000, "Cancel": true},
			"Contract":     map[string]any{"DrainGraceMs": 500, "GraceToAnswerMs": 20, "ColdFrom": 0.32, "RampTimeMs": 7800, "FallMultiple": 3, "FallMs": 1500}}})
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// freeAddr is an address that nothing listens on.
func freeAddr() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer ln.Close()
	return netip.ParseAddrPort(ln.Addr().String())
}

// kid is a process that was started here.
type kid struct{ cmd *exec.Cmd }

// startOn starts a program on one core. The affinity is the starting thread's, which its child takes
// over; it has its own back afterwards.
func startOn(core int, env []string, argv ...string) (*kid, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return nil, fmt.Errorf("sched_getaffinity: %w", err)
	}
	for cpu, seen := 0, 0; cpu < 1024; cpu++ { // the nth of those that this process may use
		if all.IsSet(cpu) {
			if seen == core {
				one.Set(cpu)
			}
			seen++
		}
	}
	if one.Count() == 0 {
		one = all
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return nil, fmt.Errorf("sched_setaffinity: %w", err)
	}
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append(append(os.Environ(), "GOMAXPROCS=1"), env...)
	err := cmd.Start()
	if back := unix.SchedSetaffinity(0, &all); err == nil && back != nil {
		err = fmt.Errorf("sched_setaffinity: %w", back)
	}
	if err != nil {
		return nil, err
	}
	return &kid{cmd}, nil
}

// leaveCores takes this process off the first cores, where the proxies run, if as many others are left;
// back undoes that. Threads that are made later take over the affinity of the one that makes them.
func leaveCores(first int) (back func() error, err error) {
	var all, rest unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return nil, fmt.Errorf("sched_getaffinity: %w", err)
	}
	for cpu, seen := 0, 0; cpu < 1024; cpu++ {
		if all.IsSet(cpu) {
			if seen >= first {
				rest.Set(cpu)
			}
			seen++
		}
	}
	if rest.Count() < first {
		return func() error { return nil }, nil
	}
	procs := runtime.GOMAXPROCS(rest.Count())
	set := func(to *unix.CPUSet) error {
		tasks, err := os.ReadDir("/proc/self/task")
		if err != nil {
			return err
		}
		for _, t := range tasks {
			tid, err := strconv.Atoi(t.Name())
			if err != nil {
				return err
			}
			if err := unix.SchedSetaffinity(tid, to); err != nil && !errors.Is(err, unix.ESRCH) {
				return fmt.Errorf("sched_setaffinity: %w", err)
			}
		}
		return nil
	}
	return func() error {
		runtime.GOMAXPROCS(procs)
		return set(&all)
	}, set(&rest)
}

func (k *kid) stop() {
	k.cmd.Process.Kill()
	k.cmd.Wait()
}

// untilUp waits until GET /up is answered with 200.
func untilUp(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/up", nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(resp.Status)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%v never came up: %w", addr, err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// cpu is the processor time that a process has used; 0 for none.
func cpu(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in parentheses may hold anything; utime and stime are the 14th and 15th fields.
	_, rest, _ := strings.Cut(string(raw[strings.LastIndexByte(string(raw), ')'):]), " ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat: too short", pid)
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	return time.Duration(user+system) * tick, errors.Join(err1, err2)
}

// peakMemory is the most that a process had resident, in MB.
func peakMemory(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return math.Round(kb/102.4) / 10, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status: no VmHWM", pid)
}

// ServeProxy is the bare proxy: net/http/httputil's ReverseProxy to the nodes in turn, until ctx ends.
func ServeProxy(ctx context.Context, listen string, nodes []string) error {
	if len(nodes) == 0 {
		return errors.New("no nodes")
	}
	var urls []*url.URL
	for _, n := range nodes {
		addr, err := netip.ParseAddrPort(n)
		if err != nil || !addr.Addr().IsLoopback() {
			return fmt.Errorf("%q is no loopback address and port", n)
		}
		urls = append(urls, &url.URL{Scheme: "http", Host: n})
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	var turn atomic.Uint64
	tr := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	proxy := &httputil.ReverseProxy{Transport: tr, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(urls[turn.Add(1)%uint64(len(urls))])
	}}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/up" {
			proxy.ServeHTTP(w, r)
		}
	})}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
