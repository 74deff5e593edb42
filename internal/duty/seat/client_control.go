package seat

import (
	"context"
	"fmt"
	"time"

	"lemonrail/internal/duty"
)

func (c *Client) ask(ctx context.Context, do func()) error {
	done := make(chan struct{})
	select {
	case c.inbox <- func() { do(); close(done) }:
	case <-ctx.Done():
		return fmt.Errorf("duties are busy: %w", ctx.Err())
	case <-c.ended:
		return ErrEnded
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("duties are busy: %w", ctx.Err())
	case <-c.ended:
		return ErrEnded
	}
}

// ErrEnded says that the agent stops.
var ErrEnded = fmt.Errorf("duties have ended")

// HandOn names who is to take a duty over; the holder gives it once that one is ready.
func (c *Client) HandOn(ctx context.Context, name, to string) error {
	return c.ask(ctx, func() { c.send([]duty.Command{{Kind: duty.Name, Duty: name, Agent: to}}) })
}

// Release has this agent let a duty go; false: it doesn't hold it.
func (c *Client) Release(ctx context.Context, name string) (held bool, err error) {
	err = c.ask(ctx, func() {
		if h := c.holders[name]; h != nil && h.Stage() == duty.Holding {
			held = true
			h.Release(c.now())
			c.news(name, h)
			c.turn()
		}
	})
	return held, err
}

// Leave has the agent hand on or let go what it holds, for a moment, before it ends.
func (c *Client) Leave(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for {
		left := 0
		if c.ask(ctx, func() {
			for _, name := range c.order() {
				h := c.holders[name]
				h.Want(c.now(), false)
				if h.Stage() == duty.Holding {
					h.Release(c.now())
					c.news(name, h)
				}
				if h.Stage() != duty.Idle {
					left++
				}
			}
			c.turn()
		}) != nil || left == 0 {
			return
		}
		select {
		case <-time.After(c.o.Settings.tick()):
		case <-ctx.Done():
			return
		}
	}
}
