// Command benchlink plays balancers on the bench's wire: batches of
// events on standard input, one reply per batch on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

func main() {
	debug.SetGCPercent(800) // short-lived garbage and a small heap: collect seldom
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// stepper is what an instance does; in service a *balance.Balancer.
type stepper interface {
	Step(now time.Duration, events []balance.Event) []balance.Action
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), wire.NewWriter(out)
	instances := map[int]stepper{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := answer(batch, instances, writer); err != nil {
			return err
		}
		if err := writer.End(); err != nil {
			return err
		}
	}
}

// answer gives each instance its events of the batch in one step. A start or
// stop within the batch ends the step before it.
func answer(batch *wire.Batch, instances map[int]stepper, w *wire.Writer) error {
	var order []int
	pending := map[int][]balance.Event{}
	flush := func(agent int) error {
		events := pending[agent]
		if len(events) == 0 {
			return nil
		}
		pending[agent] = nil
		actions, fault := step(instances[agent], batch.Now, events)
		if fault != "" {
			w.Broken(agent, fault)
			return nil
		}
		return w.Actions(agent, actions)
	}
	for _, e := range batch.Events {
		if _, seen := pending[e.Agent]; !seen {
			order = append(order, e.Agent)
			pending[e.Agent] = nil
		}
		switch {
		case e.Open != nil:
			if err := flush(e.Agent); err != nil {
				return err
			}
			b, err := balance.New(e.Open.Settings, e.Open.Seed)
			if err != nil {
				return fmt.Errorf("line %d: OpenInstance: %w", e.Line, err)
			}
			instances[e.Agent] = b
		case instances[e.Agent] == nil:
			return fmt.Errorf("line %d: instance %d is not open", e.Line, e.Agent)
		case e.Retire:
			pending[e.Agent] = nil // killed: what came just before has no one to act on it
			delete(instances, e.Agent)
		default:
			pending[e.Agent] = append(pending[e.Agent], e.Event)
		}
	}
	for _, agent := range order {
		if err := flush(agent); err != nil {
			return err
		}
	}
	return nil
}

// step turns a panic of the decision code into its text.
func step(b stepper, now time.Duration, events []balance.Event) (acts []balance.Action, fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprint("panic: ", p)
		}
	}()
	return b.Step(now, events), ""
}
