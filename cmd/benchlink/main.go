// Command benchlink runs balancers for the bench, the platform's simulator. It reads batches of events of
// simulated agents from standard input and writes one reply with their actions per batch to standard output.
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
	debug.SetGCPercent(800) // the heap is small and its garbage short-lived, so rare collections suffice
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// stepper is the decision code of one instance (a simulated agent): a *balance.Balancer outside of tests.
type stepper interface {
	Step(now time.Duration, events []balance.Event) []balance.Action
}

// run writes a reply to each batch of events until the input ends.
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

// answer passes each instance its events of the batch in one step, and writes the instances' actions. If an
// instance is opened anew within the batch, its events before that are a step of their own; if it is retired,
// its events before that are dropped.
func answer(batch *wire.Batch, instances map[int]stepper, w *wire.Writer) error {
	var order []int
	pending := map[int][]balance.Event{}
	flush := func(agent int) error {
		events := pending[agent]
		if len(events) == 0 {
			return nil
		}
		pending[agent] = nil
		actions, panicText := step(instances[agent], batch.Now, events)
		if panicText != "" {
			w.Broken(agent, panicText)
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
			pending[e.Agent] = nil // the instance is killed, so its events so far in this batch are dropped
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

// step runs one step of an instance. A panic of the decision code is recovered and returned as text.
func step(b stepper, now time.Duration, events []balance.Event) (acts []balance.Action, panicText string) {
	defer func() {
		if p := recover(); p != nil {
			panicText = fmt.Sprint("panic: ", p)
		}
	}()
	return b.Step(now, events), ""
}
