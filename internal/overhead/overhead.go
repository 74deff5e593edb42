// Package overhead compares what an agent costs with a bare reverse proxy and with no proxy at all, in one run on
// one machine. It measures requests per second and CPU time per request in a closed loop, latency at fixed rates,
// and memory. The three variants alternate within each round, so that changes of the machine's speed affect all of
// them equally; results are medians over the rounds.
//
// Agent and bare proxy are separate processes, each on one core (sched_setaffinity(2)). The nodes and the clients
// are goroutines of the measuring process, on the other cores. CPU times come from proc(5) in ticks of 10 ms, so a
// closed loop of at least one second is accurate to 1 %.
//
// All loops are bounded in time, and child processes are killed by their ids.
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

// Options define what is measured and how long.
type Options struct {
	Agent       string                           // path of the agent's program
	Proxy       []string                         // command line of the bare proxy, to which its addresses are appended; see ServeProxy
	Nodes       int                              // number of nodes
	AnswerBytes int                              // size of an answer's body
	Clients     int                              // number of clients, each with one request at a time, in the closed loop
	Seconds     float64                          // duration of each loop
	RatesPerS   []float64                        // rates of the measurements of latency, in requests per second
	Rounds      int                              // number of rounds
	Dir         string                           // directory for the agent's configuration
	ChangesPerS float64                          // changes per second of the list of nodes; 0 for none
	Progress    func(format string, args ...any) // reports progress; may be nil
}

// maxNodes is the maximum number of nodes; each listens on its own port.
const maxNodes = 512

// Row is the result of one variant; figures are medians over the rounds unless noted.
type Row struct {
	Variant      string        `json:"way"`       // direct, bare proxy, agent
	RequestsPerS float64       `json:"per_s"`     // closed loop: served requests per second
	CPUUs        float64       `json:"cpu_us"`    // closed loop: CPU time of the proxy per request, in microseconds; 0 without a proxy
	Answered     int64         `json:"answered"`  // requests answered with 200 in all closed loops
	NotServed    int64         `json:"other"`     // requests with any other outcome than 200, in all loops
	PeakMemoryMB float64       `json:"memory_mb"` // peak resident memory over the whole run
	Rates        []RateLatency `json:"rates"`
}

// RateLatency is the latency at a fixed rate, in microseconds, from when a request was written to the end of its answer.
type RateLatency struct {
	PerS  float64 `json:"per_s"` // requests per second
	P50Us float64 `json:"p50_us"`
	P99Us float64 `json:"p99_us"`
}

// Report holds the results of all variants.
type Report struct {
	Cores   int    `json:"cores"` // number of processors of the machine
	Go      string `json:"go"`    // version of Go
	Clients int    `json:"clients"`
	Nodes   int    `json:"nodes"`
	Rounds  int    `json:"rounds"`
	Rows    []*Row `json:"rows"`
}

// variant is one of the compared set-ups and its measurements so far.
type variant struct {
	name         string
	addr         netip.AddrPort // address that clients send to
	pid          int            // of the proxy; 0 without a proxy
	row          Row
	requestsPerS []float64   // closed loop: requests per second, by round
	cpuUs        []float64   // closed loop: processor time per request, by round
	p50          [][]float64 // latency at fixed rates in microseconds, by rate and round
	p99          [][]float64 // as p50
}

// Measure runs all rounds and returns the results.
func Measure(ctx context.Context, o Options) (r *Report, err error) {
	if o.Nodes < 1 || o.Nodes > maxNodes || o.Clients < 1 || o.Clients > 1024 || !(o.Seconds > 0) || o.Seconds > 600 || o.Rounds < 1 || o.Rounds > 100 || o.AnswerBytes < 0 || o.AnswerBytes > 1<<20 {
		return nil, errors.New("nodes must be within 1 and 512, clients 1 and 1024, seconds above 0 and at most 600, rounds 1 and 100, bytes 0 and 1048576")
	}
	if !(o.ChangesPerS >= 0) || o.ChangesPerS > 1000 {
		return nil, fmt.Errorf("%v changes a second are not within 0 and 1000", o.ChangesPerS)
	}
	for _, rate := range o.RatesPerS {
		if !(rate > 0) || rate > 1e5 {
			return nil, fmt.Errorf("a rate of %v is not above 0 and at most 100000", rate)
		}
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	nodes, closeNodes, err := startNodes(o.Nodes, o.AnswerBytes)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, closeNodes()) }()
	disc, closeDisc, err := startDiscovery(nodes, o.ChangesPerS)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, closeDisc()) }()

	variants := []*variant{{name: "direct", addr: nodes[0]}}
	var children []*childProcess
	defer func() {
		for _, k := range children {
			k.stop()
		}
	}()
	start := func(name string, core int, env []string, argv ...string) (*variant, error) {
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
		k, err := startOnCore(core, env, argv...)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		children = append(children, k)
		w := &variant{name: name, addr: addr, pid: k.cmd.Process.Pid}
		variants = append(variants, w)
		return w, waitUntilUp(ctx, addr)
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
	restore, err := avoidCores(2)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, restore()) }()
	for _, w := range variants {
		w.p50, w.p99 = make([][]float64, len(o.RatesPerS)), make([][]float64, len(o.RatesPerS))
	}
	for round := range o.Rounds {
		for _, w := range variants {
			o.Progress("round %d of %d: %s", round+1, o.Rounds, w.name)
			if err := w.measureClosedLoop(ctx, o, uint64(round)); err != nil {
				return nil, err
			}
		}
		for i, rate := range o.RatesPerS {
			for _, w := range variants {
				if err := w.measureFixedRate(ctx, o, i, rate, uint64(round)); err != nil {
					return nil, err
				}
			}
		}
	}
	r = &Report{Cores: runtime.NumCPU(), Go: runtime.Version(), Clients: o.Clients, Nodes: o.Nodes, Rounds: o.Rounds}
	for _, w := range variants {
		w.row.Variant, w.row.RequestsPerS, w.row.CPUUs = w.name, median(w.requestsPerS), median(w.cpuUs)
		if w.pid > 0 {
			if w.row.PeakMemoryMB, err = peakMemory(w.pid); err != nil {
				return nil, err
			}
		}
		for i, rate := range o.RatesPerS {
			w.row.Rates = append(w.row.Rates, RateLatency{rate, median(w.p50[i]), median(w.p99[i])})
		}
		r.Rows = append(r.Rows, &w.row)
	}
	return r, nil
}

// median returns the median of a list, 0 if it is empty.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(list))[len(list)/2]
}

// requests returns a function that yields equal requests. If rate is above 0, they are due at even intervals, rate per second.
func requests(rate float64) func() (*load.Request, error) {
	n := int64(0)
	return func() (*load.Request, error) {
		q := &load.Request{Class: "point-read", Method: "GET", Target: "/point-read/x", TimeLeft: 600 * time.Millisecond, Origin: n, Seq: n}
		if rate > 0 {
			q.Offset = time.Duration(float64(n) / rate * float64(time.Second))
		}
		n++
		return q, nil
	}
}

// measureClosedLoop runs the closed loop for o.Seconds and appends requests per second and processor time per request.
func (w *variant) measureClosedLoop(ctx context.Context, o Options, seed uint64) error {
	var served, notServed atomic.Int64
	opt := load.PlayOptions{Targets: []netip.AddrPort{w.addr}, Seed: seed<<8 | 1, MaxDuration: time.Duration(o.Seconds * float64(time.Second)), Done: func(s *load.Sample) {
		if s.Outcome == load.Served {
			served.Add(1)
		} else {
			notServed.Add(1)
		}
	}}
	before, err := cpuTime(w.pid)
	if err != nil {
		return err
	}
	tot, err := load.PlayClosed(ctx, o.Clients, requests(0), opt)
	if err != nil {
		return err
	}
	after, err := cpuTime(w.pid)
	if err != nil {
		return err
	}
	w.requestsPerS = append(w.requestsPerS, float64(served.Load())/tot.Finished.Sub(tot.Started).Seconds())
	w.cpuUs = append(w.cpuUs, float64((after-before).Microseconds())/float64(max(1, served.Load())))
	w.row.Answered += served.Load()
	w.row.NotServed += notServed.Load()
	return ctx.Err()
}

// measureFixedRate sends requests at rate i for o.Seconds and appends the latencies.
func (w *variant) measureFixedRate(ctx context.Context, o Options, i int, rate float64, seed uint64) error {
	var latencies []float64
	opt := load.PlayOptions{Targets: []netip.AddrPort{w.addr}, Seed: seed<<8 | uint64(2+i), MaxDuration: time.Duration(o.Seconds * float64(time.Second)), MaxInFlight: 256, Done: func(s *load.Sample) {
		if s.Outcome == load.Served {
			latencies = append(latencies, float64(s.Ended.Sub(s.Sent).Nanoseconds())/1000)
		} else {
			w.row.NotServed++
		}
	}}
	if _, err := load.Play(ctx, requests(rate), opt); err != nil {
		return err
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		w.p50[i] = append(w.p50[i], latencies[len(latencies)/2])
		w.p99[i] = append(w.p99[i], latencies[len(latencies)*99/100])
	}
	return ctx.Err()
}

// startNodes starts n nodes that answer every request at once with a body of the given size.
func startNodes(n, size int) (addrs []netip.AddrPort, closing func() error, err error) {
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

// hostEntry returns the entry of node i in discovery's list, with the given weight (share).
func hostEntry(i int, n netip.AddrPort, share float64) map[string]any {
	return map[string]any{"host": fmt.Sprint("h", i), "dial": n.String(), "site": "a", "class": "k", "block": 0, "health": "ready", "share": share, "born_ms": 0}
}

// changeLine returns the line that discovery sends for the nth change of the list, which changes the weight of one node.
func changeLine(nodes []netip.AddrPort, n int) []byte {
	i := n % len(nodes)
	share := 1 + 0.01*float64((n/len(nodes)+1)%2)
	line, err := json.Marshal(map[string]any{"seq": n + 2, "whole": false, "hosts": []any{hostEntry(i, nodes[i], share)}})
	if err != nil {
		panic(err) // the values above can always be encoded
	}
	return append(line, '\n')
}

// hostList returns the list of nodes in discovery's format.
func hostList(nodes []netip.AddrPort) map[string]any {
	var list []any
	for i, n := range nodes {
		list = append(list, hostEntry(i, n, 1))
	}
	return map[string]any{"seq": 1, "whole": true, "hosts": list}
}

// startDiscovery starts a server that answers with the list, and then changes the share of one node after
// another, changes times a second.
func startDiscovery(nodes []netip.AddrPort, changes float64) (addr string, closing func() error, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	list, err := json.Marshal(hostList(nodes))
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
				w.Write(changeLine(nodes, n))
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

// writeConfig writes the agent's configuration file.
func writeConfig(path string, listen netip.AddrPort, disc string, nodes []netip.AddrPort) error {
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen.String(), "discovery": disc, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": hostList(nodes),
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

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer ln.Close()
	return netip.ParseAddrPort(ln.Addr().String())
}

// childProcess is a process started by this package.
type childProcess struct{ cmd *exec.Cmd }

// startOnCore starts a program on one core. A child inherits the affinity of the thread that starts it, so the
// thread's affinity is changed and restored afterwards.
func startOnCore(core int, env []string, argv ...string) (*childProcess, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return nil, fmt.Errorf("sched_getaffinity: %w", err)
	}
	for cpu, seen := 0, 0; cpu < 1024; cpu++ { // finds the nth core that this process may use
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
	if restoreErr := unix.SchedSetaffinity(0, &all); err == nil && restoreErr != nil {
		err = fmt.Errorf("sched_setaffinity: %w", restoreErr)
	}
	if err != nil {
		return nil, err
	}
	return &childProcess{cmd}, nil
}

// avoidCores moves this process off the first cores, on which the proxies run, if at least as many others are
// left; restore undoes that. New threads inherit the affinity of the thread that creates them.
func avoidCores(first int) (restore func() error, err error) {
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

// stop kills the process and waits for its end.
func (k *childProcess) stop() {
	k.cmd.Process.Kill()
	k.cmd.Wait()
}

// waitUntilUp waits until GET /up at an address is answered with 200.
func waitUntilUp(ctx context.Context, addr netip.AddrPort) error {
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
			return fmt.Errorf("%v did not answer GET /up in time: %w", addr, err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// cpuTime returns the CPU time that a process has used; 0 for pid 0.
func cpuTime(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name in parentheses may contain anything; utime and stime are the 14th and 15th fields.
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

// peakMemory returns the peak resident memory of a process in MB.
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

// ServeProxy runs the bare proxy, httputil.ReverseProxy with the nodes in rotation, until ctx ends.
func ServeProxy(ctx context.Context, listen string, nodes []string) error {
	if len(nodes) == 0 {
		return errors.New("no nodes")
	}
	var urls []*url.URL
	for _, n := range nodes {
		addr, err := netip.ParseAddrPort(n)
		if err != nil || !addr.Addr().IsLoopback() {
			return fmt.Errorf("%q is not a loopback address with a port", n)
		}
		urls = append(urls, &url.URL{Scheme: "http", Host: n})
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	var next atomic.Uint64
	tr := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	proxy := &httputil.ReverseProxy{Transport: tr, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(urls[next.Add(1)%uint64(len(urls))])
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
