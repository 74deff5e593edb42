package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"lemonrail/internal/overhead"
)

type overheadCmd struct {
	Agent   string    `default:"bin/lemonrail" help:"The agent's program."`
	Nodes   int       `default:"4" help:"Nodes, which answer at once."`
	Bytes   int       `default:"512" help:"Of an answer."`
	Clients int       `default:"32" help:"Clients of the closed loop."`
	Seconds float64   `default:"3" help:"Length of each loop."`
	Rates   []float64 `default:"500,1000" help:"Requests a second at which latency is measured."`
	Changes float64   `default:"0" help:"Changes of the list of nodes a second."`
	Rounds  int       `default:"3" help:"Rounds, of which the medians count."`
	JSON    bool      `name:"json" help:"Print one JSON object."`
}

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
	r, err := overhead.Measure(ctx, overhead.Options{Agent: c.Agent, Proxy: []string{self, "bare-proxy"}, Nodes: c.Nodes, Bytes: c.Bytes, Clients: c.Clients,
		Seconds: c.Seconds, Rates: c.Rates, Rounds: c.Rounds, Changes: c.Changes, Dir: dir, Say: func(format string, args ...any) { fmt.Fprintf(s.err, format+"\n", args...) }})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, r)
	}
	return r.Text(s.out)
}

// bareProxyCmd is the proxy that overhead starts to compare with.
type bareProxyCmd struct {
	Listen string   `arg:"" help:"Address and port."`
	Nodes  []string `arg:"" help:"Loopback addresses and ports of the nodes."`
}

func (c *bareProxyCmd) Run(ctx context.Context) error {
	return overhead.ServeProxy(ctx, c.Listen, c.Nodes)
}
