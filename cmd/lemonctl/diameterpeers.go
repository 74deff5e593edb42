package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/exercise"
	"lemonrail/internal/standin"
)

// diameterSendCmd sends Diameter requests from several clients and reports the answers.
type diameterSendCmd struct {
	Target      netip.AddrPort `required:"" placeholder:"ADDR" help:"Loopback address and port of a relay or a server."`
	Identity    string         `default:"client%d.example.net" help:"Origin-Host of the clients; %%d stands for the client's number."`
	Realm       string         `default:"example.net" help:"Destination-Realm."`
	Host        string         `help:"Destination-Host, the only server that may answer; any server if omitted."`
	Application uint32         `default:"4" help:"Application id of the requests; 4 is credit control."`
	Command     uint32         `default:"272" help:"Command code of the requests; 272 is Credit-Control."`
	Type        uint32         `default:"4" help:"CC-Request-Type; 0 leaves it out."`
	Action      int64          `default:"2" help:"Requested-Action; -1 leaves it out."`
	Clients     int            `default:"1" help:"Number of clients, one connection each."`
	Each        int            `default:"1" help:"Number of requests that each client sends."`
	Out         int            `default:"8" help:"Maximum number of outstanding requests of each client."`
	Patience    time.Duration  `default:"5s" help:"Time to wait for an answer before a request is retransmitted or given up."`
	Resends     int            `default:"0" help:"Maximum number of retransmissions of an unanswered request, sent with the T flag."`
	Heed        bool           `help:"Announce support for overload reports (RFC 7683); they are counted, not acted on."`
	JSON        bool           `name:"json" help:"Print one JSON object."`
}

// Run sends the requests and prints a report. It returns an error if the relay broke a rule.
func (c *diameterSendCmd) Run(ctx context.Context, s streams) error {
	if !c.Target.Addr().IsLoopback() {
		return fmt.Errorf("target %v: requests go to loopback addresses only", c.Target)
	}
	r, err := exercise.Run(ctx, exercise.Config{Target: c.Target.String(), Identity: c.Identity, Realm: c.Realm, Host: c.Host,
		Application: c.Application, Command: c.Command, Type: c.Type, Action: c.Action, Clients: c.Clients, RequestsPerClient: c.Each, MaxPending: c.Out,
		AnswerTimeout: c.Patience, MaxResends: c.Resends, AcceptOverloadReports: c.Heed}, func(done, all int) { fmt.Fprintf(s.err, "%d of %d requests done\n", done, all) })
	if r == nil {
		return err
	}
	if c.JSON {
		if err := printJSON(s.out, r); err != nil {
			return err
		}
		return checkAnswers(r)
	}
	fmt.Fprintf(s.out, "%d requests of %d clients in %.2f s: %d answered, %d not; %d sent again\n", r.Requests, c.Clients, r.Seconds, r.Answered, r.Unanswered, r.Resent)
	codes := make([]uint32, 0, len(r.Results))
	for code := range r.Results {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	for _, code := range codes {
		fmt.Fprintf(s.out, "  Result-Code %d: %d\n", code, r.Results[code])
	}
	fmt.Fprintf(s.out, "latency: middle %.2f ms, 99th percentile %.2f ms, longest %.2f ms\n", r.P50, r.P99, r.Max)
	if r.OverloadReports > 0 {
		fmt.Fprintf(s.out, "%d answers came with a report of overload\n", r.OverloadReports)
	}
	return checkAnswers(r)
}

// checkAnswers returns an error if the clients received answers that no correct relay sends: a second answer to a
// request, or an answer to a request that was not sent.
func checkAnswers(r *exercise.Report) error {
	if r.Duplicates > 0 || r.Unsolicited > 0 {
		return fmt.Errorf("%d extra answers to requests already answered, %d answers to no request: %w", r.Duplicates, r.Unsolicited, errRuleViolated)
	}
	return nil
}

// diameterServeCmd runs a Diameter server that injects faults.
type diameterServeCmd struct {
	Listen   netip.AddrPort `default:"127.0.0.1:3869" help:"Loopback address and port."`
	Identity string         `default:"server1.example.net" help:"Origin-Host."`
	Result   uint32         `default:"2001" help:"Result-Code of the answers."`
	Delay    time.Duration  `help:"Delay before each answer."`
	Busy     float64        `help:"Share of requests that are answered with 3004 (too busy)."`
	Silent   float64        `help:"Share of requests that get no answer."`
	Broken   float64        `help:"Share of requests on which the server closes the connection."`
	Seed     uint64         `default:"1" help:"Random seed for the choice of the requests that get a fault."`
	For      time.Duration  `placeholder:"TIME" help:"Stop after this time; at SIGINT if omitted."`
	JSON     bool           `name:"json" help:"Print one JSON object at the end."`
}

// serveCounts counts the requests that a server received, by what it did with them.
type serveCounts struct {
	Requests      int64 `json:"requests"`
	Retransmitted int64 `json:"retransmitted"` // received with the T flag
	Busy          int64 `json:"busy"`          // answered with 3004 (too busy)
	Silent        int64 `json:"silent"`        // given no answer
	Broken        int64 `json:"broken"`        // on which the server closed the connection
}

// Run serves until ctx is done or --for has passed, then prints the counts.
func (c *diameterServeCmd) Run(ctx context.Context, s streams) error {
	for name, v := range map[string]float64{"busy": c.Busy, "silent": c.Silent, "broken": c.Broken} {
		if v < 0 || v > 1 {
			return fmt.Errorf("--%s: %v is not within 0 and 1", name, v)
		}
	}
	if c.Busy+c.Silent+c.Broken > 1 {
		return fmt.Errorf("--busy, --silent and --broken: their sum %v is more than 1", c.Busy+c.Silent+c.Broken)
	}
	if !c.Listen.Addr().IsLoopback() {
		return fmt.Errorf("listen %v: loopback addresses only", c.Listen)
	}
	ln, err := net.Listen("tcp4", c.Listen.String())
	if err != nil {
		return err
	}
	var counters struct{ requests, retransmitted, busy, silent, broken atomic.Int64 }
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	node := standin.NewDiameterNodeOn(ln, c.Identity, func(conn *standin.DiameterConn, m *diameter.Message) {
		counters.requests.Add(1)
		if m.Flags&diameter.FlagRetransmitted != 0 {
			counters.retransmitted.Add(1)
		}
		mu.Lock()
		draw := rng.Float64()
		mu.Unlock()
		switch {
		case draw < c.Busy:
			counters.busy.Add(1)
			conn.Answer(m, diameter.TooBusy)
		case draw < c.Busy+c.Silent:
			counters.silent.Add(1)
		case draw < c.Busy+c.Silent+c.Broken:
			counters.broken.Add(1)
			conn.Close()
		case c.Delay > 0: // delays only this answer: the handler returns at once
			time.AfterFunc(c.Delay, func() { conn.Answer(m, c.Result) })
		default:
			conn.Answer(m, c.Result)
		}
	})
	fmt.Fprintf(s.err, "%s serves Diameter at %s\n", c.Identity, node.Addr())
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	<-ctx.Done()
	node.Stop()
	r := serveCounts{counters.requests.Load(), counters.retransmitted.Load(), counters.busy.Load(), counters.silent.Load(), counters.broken.Load()}
	if c.JSON {
		return printJSON(s.out, r)
	}
	_, err = fmt.Fprintf(s.out, "%d requests, %d of them sent again; %d too busy, %d without an answer, %d broken off\n",
		r.Requests, r.Retransmitted, r.Busy, r.Silent, r.Broken)
	return err
}
