package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"lemonrail/internal/overhead"
)

// overheadCmd measures the cost of the agent in comparison with a bare proxy and with direct requests.
type overheadCmd struct {
	Agent   string    `default:"bin/lemonrail" help:"Path of the agent's binary."`
	Nodes   int       `default:"4" help:"Number of nodes; they answer without delay."`
	Bytes   int       `default:"512" help:"Size of an answer in bytes."`
	Clients int       `default:"32" help:"Number of clients of the closed loop."`
	Seconds float64   `default:"3" help:"Length of each loop in seconds."`
	Rates   []float64 `default:"500,1000" help:"Request rates per second at which latency is measured."`
	Changes float64   `default:"0" help:"Changes of the node list per second."`
	Rounds  int       `default:"3" help:"Number of rounds; the medians are reported."`
	JSON    bool      `name:"json" help:"Print one JSON object."`
}

// Run starts the agent and, from its own binary, the bare proxy, measures them and prints a report.
func (c *overheadCmd) Run(ctx context.Context, s streams) (err error) {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "lemonctl-overhead-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	r, err := overhead.Measure(ctx, overhead.Options{Agent: c.Agent, Proxy: []string{self, "bare-proxy"}, Nodes: c.Nodes, AnswerBytes: c.Bytes, Clients: c.Clients,
		Seconds: c.Seconds, RatesPerS: c.Rates, Rounds: c.Rounds, ChangesPerS: c.Changes, Dir: dir, Progress: func(format string, args ...any) { fmt.Fprintf(s.err, format+"\n", args...) }})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, r)
	}
	return r.Text(s.out)
}

// bareProxyCmd runs the plain proxy that overheadCmd starts as a process of its own.
type bareProxyCmd struct {
	Listen string   `arg:"" help:"Address and port to listen on."`
	Nodes  []string `arg:"" help:"Loopback addresses and ports of the nodes."`
}

// Run serves until ctx is done.
func (c *bareProxyCmd) Run(ctx context.Context) error {
	return overhead.ServeProxy(ctx, c.Listen, c.Nodes)
}
