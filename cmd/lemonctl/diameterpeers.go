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

type diameterSendCmd struct {
	Target      netip.AddrPort `required:"" placeholder:"ADDR" help:"Loopback address and port of a relay or a server."`
	Identity    string         `default:"client%d.example.net" help:"Of the clients; %%d is each one's number."`
	Realm       string         `default:"example.net" help:"Destination-Realm."`
	Host        string         `help:"Destination-Host: the server that alone is to answer."`
	Application uint32         `default:"4" help:"Of the requests: 4 is credit control."`
	Command     uint32         `default:"272" help:"Of the requests: 272 is Credit-Control."`
	Type        uint32         `default:"4" help:"CC-Request-Type; 0 leaves it out."`
	Action      int64          `default:"2" help:"Requested-Action; -1 leaves it out."`
	Clients     int            `default:"1" help:"Connections."`
	Each        int            `default:"1" help:"Requests of each client."`
	Out         int            `default:"8" help:"Of these, at a time."`
	Patience    time.Duration  `default:"5s" help:"For an answer, before a request is sent again or given up."`
	Resends     int            `default:"0" help:"Of a request that has no answer, under the T flag."`
	Heed        bool           `help:"Announce that reports of overload are taken."`
	JSON        bool           `name:"json" help:"Print one JSON object."`
}

func (c *diameterSendCmd) Run(ctx context.Context, s streams) error {
	if !c.Target.Addr().IsLoopback() {
		return fmt.Errorf("target %v: requests go to loopback addresses only", c.Target)
	}
	r, err := exercise.Run(ctx, exercise.Config{Target: c.Target.String(), Identity: c.Identity, Realm: c.Realm, Host: c.Host,
		Application: c.Application, Command: c.Command, Type: c.Type, Action: c.Action, Clients: c.Clients, Each: c.Each, Out: c.Out,
		Patience: c.Patience, Resends: c.Resends, Heed: c.Heed}, func(ended, all int) { fmt.Fprintf(s.err, "%d of %d requests have ended\n", ended, all) })
	if r == nil {
		return err
	}
	if c.JSON {
		if err := printJSON(s.out, r); err != nil {
			return err
		}
		return broken(r)
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
	if r.Overload > 0 {
		fmt.Fprintf(s.out, "%d answers came with a report of overload\n", r.Overload)
	}
	return broken(r)
}

// broken says what no relay may do.
func broken(r *exercise.Report) error {
	if r.Twice > 0 || r.Strangers > 0 {
		return fmt.Errorf("%d requests were answered once more, %d answers were to none: %w", r.Twice, r.Strangers, errBroken)
	}
	return nil
}

type diameterServeCmd struct {
	Listen   netip.AddrPort `default:"127.0.0.1:3869" help:"Loopback address and port."`
	Identity string         `default:"server1.example.net" help:"Origin-Host."`
	Result   uint32         `default:"2001" help:"Result-Code of the answers."`
	Delay    time.Duration  `help:"Before each answer."`
	Busy     float64        `help:"Share of requests that are answered 3004 (too busy)."`
	Silent   float64        `help:"Share of requests that are not answered."`
	Broken   float64        `help:"Share of requests at which the connection ends."`
	Seed     uint64         `default:"1" help:"Of what becomes of which request."`
	For      time.Duration  `placeholder:"TIME" help:"End after so long; else at SIGINT."`
	JSON     bool           `name:"json" help:"Print one JSON object at the end."`
}

// served is what a server has seen.
type served struct {
	Requests      int64 `json:"requests"`
	Retransmitted int64 `json:"retransmitted"` // under the T flag
	Busy          int64 `json:"busy"`
	Silent        int64 `json:"silent"`
	Broken        int64 `json:"broken"`
}

func (c *diameterServeCmd) Run(ctx context.Context, s streams) error {
	for name, v := range map[string]float64{"busy": c.Busy, "silent": c.Silent, "broken": c.Broken} {
		if v < 0 || v > 1 {
			return fmt.Errorf("--%s: %v is no share", name, v)
		}
	}
	if c.Busy+c.Silent+c.Broken > 1 {
		return fmt.Errorf("--busy, --silent and --broken: %v is more than all", c.Busy+c.Silent+c.Broken)
	}
	if !c.Listen.Addr().IsLoopback() {
		return fmt.Errorf("listen %v: loopback addresses only", c.Listen)
	}
	ln, err := net.Listen("tcp4", c.Listen.String())
	if err != nil {
		return err
	}
	var seen struct{ requests, again, busy, silent, broken atomic.Int64 }
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	node := standin.NewDiameterNodeOn(ln, c.Identity, func(conn *standin.DiameterConn, m *diameter.Message) {
		seen.requests.Add(1)
		if m.Flags&diameter.FlagRetransmitted != 0 {
			seen.again.Add(1)
		}
		mu.Lock()
		at := rng.Float64()
		mu.Unlock()
		switch {
		case at < c.Busy:
			seen.busy.Add(1)
			conn.Answer(m, diameter.TooBusy)
		case at < c.Busy+c.Silent:
			seen.silent.Add(1)
		case at < c.Busy+c.Silent+c.Broken:
			seen.broken.Add(1)
			conn.Close()
		case c.Delay > 0: // others are not held up
			time.AfterFunc(c.Delay, func() { conn.Answer(m, c.Result) })
		default:
			conn.Answer(m, c.Result)
		}
	})
	fmt.Fprintf(s.err, "%s serves Diameter at %s\n", c.Identity, node.Addr())
	if c.For > 0 {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, c.For)
		defer end()
	}
	<-ctx.Done()
	node.Stop()
	r := served{seen.requests.Load(), seen.again.Load(), seen.busy.Load(), seen.silent.Load(), seen.broken.Load()}
	if c.JSON {
		return printJSON(s.out, r)
	}
	_, err = fmt.Fprintf(s.out, "%d requests, %d of them sent again; %d too busy, %d without an answer, %d broken off\n",
		r.Requests, r.Retransmitted, r.Busy, r.Silent, r.Broken)
	return err
}
