package quorum

import (
	"context"
	"fmt"
	"time"

	"lemonrail/internal/duty"
)

// runOnLoop runs do on the goroutine of Run, and waits until it has returned.
func (c *Client) runOnLoop(ctx context.Context, do func()) error {
	done := make(chan struct{})
	select {
	case c.inbox <- func() { do(); close(done) }:
	case <-ctx.Done():
		return fmt.Errorf("duties are busy: %w", ctx.Err())
	case <-c.done:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("duties are busy: %w", ctx.Err())
	case <-c.done:
		return ErrStopped
	}
}

// ErrStopped reports that the call could not be carried out because Run has returned.
var ErrStopped = fmt.Errorf("duties have ended")

// HandOn sends the command that names the agent to take a duty over, and doesn't wait for its result. The
// holder hands the duty on once that agent is ready.
func (c *Client) HandOn(ctx context.Context, name, to string) error {
	return c.runOnLoop(ctx, func() { c.send([]duty.Command{{Kind: duty.NameSuccessor, Duty: name, Agent: to}}) })
}

// Release makes this agent give a duty up; held is false if the agent doesn't hold it.
func (c *Client) Release(ctx context.Context, name string) (held bool, err error) {
	err = c.runOnLoop(ctx, func() {
		if h := c.holders[name]; h != nil && h.Stage() == duty.Holding {
			held = true
			h.Release(c.now())
			c.recordChanges(name, h)
			c.doDueWork()
		}
	})
	return held, err
}

// ReleaseAll gives up the duties that the agent holds, before the agent ends. It waits at most within for the
// releases.
func (c *Client) ReleaseAll(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for {
		left := 0
		if c.runOnLoop(ctx, func() {
			for _, name := range c.dutyNames() {
				h := c.holders[name]
				h.SetWanted(c.now(), false)
				if h.Stage() == duty.Holding {
					h.Release(c.now())
					c.recordChanges(name, h)
				}
				if h.Stage() != duty.Idle {
					left++
				}
			}
			c.doDueWork()
		}) != nil || left == 0 {
			return
		}
		select {
		case <-time.After(c.options.Settings.tickInterval()):
		case <-ctx.Done():
			return
		}
	}
}
