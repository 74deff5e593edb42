package diameter

import (
	"sync"
	"testing"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
)

// Guards against requests that are sent on after their client has closed its connection with much of what it sent still
// unread.
func TestRequestsOfAClosedConnectionAreNotSentOn(t *testing.T) {
	const grace = 150 * time.Millisecond // the pages' 0.1 s and the 50 ms by which limits on sockets are longer
	for _, requests := range []int{50, 2000, 20000} {
		var mu sync.Mutex
		var begun []time.Time
		s := newSite(t, 4, func(c *standin.DiameterConn, m *diameter.Message) {
			mu.Lock()
			begun = append(begun, time.Now())
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			c.Answer(m, diameter.Success)
		})
		c := s.dialSilent(t)
		var raw []byte
		for range requests {
			raw, _ = s.newRequest(4, 2).Append(raw)
		}
		c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		c.Write(raw) // what the relay doesn't take stays unsent
		c.Close()
		closed := time.Now()
		time.Sleep(time.Second)
		mu.Lock()
		late := 0
		for _, at := range begun {
			if at.Sub(closed) > grace {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d requests: %d of %d began later than %v after the close", requests, late, len(begun), grace)
		}
		mu.Unlock()
	}
}
