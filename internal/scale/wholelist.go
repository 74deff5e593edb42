package scale

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/roster"
	"lemonrail/internal/wire"
)

// WholeList measures, for a discovery service that sends at a limited rate, the size of a full list of backends, and
// whether and when a client receives it.
type WholeList struct {
	ListLengths []int         // numbers of backends in the list
	Rate        float64       // bytes per second from discovery to the client
	Timeout     time.Duration // time after which the list counts as never received
	Logf        func(format string, args ...any)
}

// Run starts a discovery service and one client for each list length and returns the list's size, the time until the
// client has it or o.Timeout has passed, and the number of its connections, with the list length as X.
func (o WholeList) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Hollow, "listed backends", sprintf("one client, discovery at %g bytes a second", o.Rate))
	for _, listed := range o.ListLengths {
		o.Logf("a whole list of %d backends", listed)
		if err := o.measureLength(ctx, set, listed); err != nil {
			return nil, err
		}
	}
	return set.fit()
}

// measureLength measures one list length and appends the results to set.
func (o WholeList) measureLength(ctx context.Context, set *seriesSet, listed int) (err error) {
	server, err := newListServer(listed, o.Rate)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := server.close(); err == nil {
			err = closeErr
		}
	}()
	raw, err := json.Marshal(server.fullList())
	if err != nil {
		return err
	}
	x := float64(listed)
	set.add("whole list, bytes", "B", x, float64(len(raw)))
	set.add("whole list at the rate, by reckoning", "s", x, float64(len(raw))/o.Rate)
	took, got, calls, err := o.receive(ctx, server)
	if err != nil {
		return err
	}
	set.add("whole list at the rate, received (1 yes, 0 never)", "", x, map[bool]float64{true: 1}[got])
	set.add("whole list at the rate, time until received or given up", "s", x, took.Seconds())
	set.add("whole list at the rate, watches opened meanwhile", "", x, float64(calls))
	return nil
}

// receive runs one client until it has received the list (got) or o.Timeout has passed. It returns the time that has
// passed and the number of connections (calls) that the client opened.
func (o WholeList) receive(ctx context.Context, server *listServer) (took time.Duration, got bool, calls int64, err error) {
	service, err := netip.ParseAddrPort(server.addr)
	if err != nil {
		return 0, false, 0, err
	}
	limited, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	arrived := make(chan struct{}, 1)
	onList := func(balance.List, map[string]string) {
		select {
		case arrived <- struct{}{}:
		default:
		}
	}
	c := roster.New(limited, roster.Config{Service: service, Names: wire.Names{Zones: siteNames, Kinds: []string{hostKind}}}, onList, slog.New(slog.DiscardHandler))
	ended := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(ended)
		c.Run()
	}()
	select {
	case <-arrived:
		got = true
	case <-limited.Done():
	}
	took = time.Since(began)
	cancel()
	<-ended
	return took, got, server.traffic.accepted.Load(), ctx.Err()
}
