package admission

import (
	"net/http"
	"time"
)

// This file bounds the memory that the heads of requests take, whole or still arriving.

const (
	headByteCost  = 3       // copies of a head: as received, as parsed, as rendered for a backend
	headFieldCost = 200     // bytes that a field takes besides its text: an entry of a map, a slice and their shares
	freeHeadCost  = 4 << 10 // a head that costs no more, as usual ones do, needs no reservation
	maxHeadFields = 512     // lines of a head
)

// headMeter counts what one head costs as its bytes arrive.
type headMeter struct {
	bytes      int
	lines      int // lines that have ended, the request line included
	lineLength int // bytes of the current line
	ended      bool
}

// add counts bytes of a head. Bytes after the empty line that ends it aren't counted: they belong to its body or to the next
// request.
func (m *headMeter) add(p []byte) {
	for _, b := range p {
		if m.ended {
			return
		}
		m.bytes++
		switch {
		case b == '\r':
		case b != '\n':
			m.lineLength++
		case m.lineLength == 0: // empty lines before the request line are allowed
			m.ended = m.lines > 0
		default:
			m.lines++
			m.lineLength = 0
		}
	}
}

// cost returns the bytes of memory that the head takes.
func (m *headMeter) cost() int { return headByteCost*m.bytes + headFieldCost*m.lines }

// reserveHead reserves memory for the head that is being read. If there is none, or the head has too many fields, it ends
// the request with a refusal and returns false: nothing of it has been processed.
func (c *Conn) reserveHead() bool {
	c.mu.Lock()
	meter := c.headMeter
	c.mu.Unlock()
	cost := meter.cost()
	if cost <= freeHeadCost {
		return true
	}
	answer := c.listener.refusal
	reserved := false
	if meter.lines > maxHeadFields {
		answer = RefusalResponse(http.StatusRequestHeaderFieldsTooLarge, 0)
	} else {
		c.withGovernor(func(g *Governor, e *Entry, _ time.Duration) { reserved = g.ReserveHead(e, cost) })
	}
	if !reserved {
		c.Write(answer)
		c.evicted.Store(true)
	}
	return reserved
}

// HeadRendered records that the head has been rendered to that many bytes, the only form of it that is still needed.
func (c *Conn) HeadRendered(bytes int) {
	c.withGovernor(func(g *Governor, e *Entry, _ time.Duration) { g.ShrinkHead(e, bytes) })
}
