package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"lemonrail/internal/standin"
)

// Usage is what a process has used so far, as counted by the kernel.
type Usage struct {
	CPU         time.Duration // processor time, user and system
	ResidentKB  int64
	Descriptors int // open files and sockets
}

// Usage returns the usage of the agent's process, or an error if none is running.
func (a *Agent) Usage() (u Usage, err error) {
	a.mu.Lock()
	if !a.running() {
		a.mu.Unlock()
		return u, fmt.Errorf("%s is not running", a.Name)
	}
	pid := a.cmd.Process.Pid
	a.mu.Unlock()
	return ProcessUsage(pid)
}

// ProcessUsage returns what a process of this machine has used so far.
func ProcessUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:])) // from the third field on
	if len(fields) < 22 {
		return u, errors.New("unexpected format of /proc/PID/stat")
	}
	var ticks, pages int64
	for _, i := range []int{11, 12} { // user and system time, in hundredths of a second
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, err
		}
		ticks += n
	}
	if pages, err = strconv.ParseInt(fields[21], 10, 64); err != nil {
		return u, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, err
	}
	return Usage{time.Duration(ticks) * 10 * time.Millisecond, pages * int64(os.Getpagesize()) / 1024, len(open)}, nil
}

// IdleCost is an experiment that measures what duties (tasks that one agent at a time does for all) cost a fleet without client
// requests.
type IdleCost struct {
	Program string
	Dir     string
	Agents  int
	Seats   int           // number of agents with a seat (voter); 0: no duties at all, for comparison
	LeaseMs int           // lease of a duty, in milliseconds
	Members string        // text of the agents' members file
	For     time.Duration // duration of the measurement
}

// IdleCostResult holds what an agent uses at rest: medians over the agents with a seat (voter of the quorum that grants duties) and
// over those without.
type IdleCostResult struct {
	Agents      int     `json:"agents"`
	Seats       int     `json:"seats"`
	SeatCPU     float64 `json:"seat_core_share"`  // share of a core used by an agent with a seat
	OtherCPU    float64 `json:"other_core_share"` // share of a core used by an agent without a seat
	SeatKB      int64   `json:"seat_resident_kb"`
	OtherKB     int64   `json:"other_resident_kb"`
	WrittenPerS float64 `json:"written_bytes_a_second"` // bytes that an agent with a seat writes to disk, per second
	SyncsPerS   float64 `json:"syncs_a_second"`         // times per second that an agent with a seat flushes its log to disk (fsync)
}

// Run runs the experiment.
func (o IdleCost) Run(ctx context.Context) (out *IdleCostResult, err error) {
	sc, err := standin.ParseScenario("the rig's site", []byte(SiteText(o.Agents, 2)))
	if err != nil {
		return nil, err
	}
	opt := Options{Program: o.Program, Dir: o.Dir, Scenario: sc, Members: o.Members, Seed: 1, Seats: o.Seats}
	if o.Seats > 0 {
		opt.Duties = fmt.Sprintf("voters = %d\n[[duty]]\nname = \"notes\"\nlease_ms = %d\n", o.Seats, o.LeaseMs)
	}
	c, err := Open(opt)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	if err := c.StartAll(30 * time.Second); err != nil {
		return nil, err
	}
	if err := c.Until(60*time.Second, c.Agree); err != nil {
		return nil, err
	}
	if o.Seats > 0 {
		if err := c.Until(60*time.Second, func() error {
			r, err := c.Agents[0].Duties()
			if err == nil && (len(r.Duties) == 0 || r.Duties[0].Holder == "") {
				err = errors.New("no agent holds the duty")
			}
			return err
		}); err != nil {
			return nil, err
		}
	}
	type sample struct {
		Usage
		written, syncs uint64
	}
	take := func() (all []sample, err error) {
		for i, a := range c.Agents {
			u, err := a.Usage()
			if err != nil {
				return nil, err
			}
			s := sample{Usage: u}
			if i < o.Seats {
				r, err := a.Duties()
				if err != nil {
					return nil, err
				}
				s.written, s.syncs = r.Seat.Written, r.Seat.Syncs
			}
			all = append(all, s)
		}
		return all, nil
	}
	before, err := take()
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := sleep(ctx, o.For); err != nil {
		return nil, err
	}
	after, err := take()
	if err != nil {
		return nil, err
	}
	span := time.Since(begun).Seconds()
	out = &IdleCostResult{Agents: o.Agents, Seats: o.Seats}
	var cpu [2][]float64
	var kb [2][]int64
	var written, syncs []float64
	for i := range after {
		kind := 1
		if i < o.Seats {
			kind = 0
			written = append(written, float64(after[i].written-before[i].written)/span)
			syncs = append(syncs, float64(after[i].syncs-before[i].syncs)/span)
		}
		cpu[kind] = append(cpu[kind], (after[i].CPU-before[i].CPU).Seconds()/span)
		kb[kind] = append(kb[kind], after[i].ResidentKB)
	}
	out.SeatCPU, out.OtherCPU = median(cpu[0]), median(cpu[1])
	out.SeatKB, out.OtherKB = median(kb[0]), median(kb[1])
	out.WrittenPerS, out.SyncsPerS = median(written), median(syncs)
	return out, nil
}

// median sorts a list and returns its median, 0 if it is empty.
func median[T int64 | float64](all []T) (m T) {
	if len(all) == 0 {
		return m
	}
	slices.Sort(all)
	return all[len(all)/2]
}
