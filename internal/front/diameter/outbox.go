package diameter

import (
	"sync"
	"time"

	"lemonrail/internal/diameter/relay"
)

// While so many messages wait for a client, or so many bytes of answers that needed no server, no further requests are read
// from it.
const (
	maxUnreadMessages   = 1024
	maxUnreadLocalBytes = 64 << 10
)

// outbox holds the messages that wait for a connection's writer. It never blocks and never drops a message: what a client
// may have waiting is decided when its requests arrive.
type outbox struct {
	resized func(bytes int) // called for each change in the total size of the messages, with that change

	mu         sync.Mutex
	changed    sync.Cond // signalled when messages or closed changes
	messages   []outMessage
	localBytes int  // bytes of those messages that needed no server
	closed     bool // the writer has ended
	ended      bool // no message follows those that wait
}

// outMessage is a message for a client.
type outMessage struct {
	raw   []byte
	local bool // no server was asked for it
}

func newOutbox(resized func(bytes int)) *outbox {
	o := &outbox{resized: resized}
	o.changed.L = &o.mu
	return o
}

// push adds a message, unless the writer has ended. local: no server was asked for it.
func (o *outbox) push(raw []byte, local bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.messages = append(o.messages, outMessage{raw, local})
	if local {
		o.localBytes += len(raw)
	}
	o.resized(len(raw))
	o.changed.Broadcast()
}

// first waits for a message and returns it, without removing it; !ok: all have been written, and none follows.
func (o *outbox) first() (raw []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.messages) == 0 && !o.ended {
		o.changed.Wait()
	}
	if len(o.messages) == 0 {
		return nil, false
	}
	return o.messages[0].raw, true
}

// written removes the first message.
func (o *outbox) written() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resized(-len(o.messages[0].raw))
	if o.messages[0].local {
		o.localBytes -= len(o.messages[0].raw)
	}
	o.messages[0] = outMessage{}
	o.messages = o.messages[1:]
	o.changed.Broadcast()
}

// end says that no message follows those that wait.
func (o *outbox) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
	o.changed.Broadcast()
}

// close drops what is left when the writer has ended.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.messages {
		o.resized(-len(m.raw))
	}
	o.messages, o.localBytes, o.closed = nil, 0, true
	o.changed.Broadcast()
}

// awaitRoom waits until less than maxUnreadMessages and maxUnreadLocalBytes wait, or the writer has ended, but not for longer
// than limit. It returns false if the time was over.
func (o *outbox) awaitRoom(limit time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.full() {
		return true
	}
	end := time.Now().Add(limit)
	alarm := time.AfterFunc(limit, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.changed.Broadcast()
	})
	defer alarm.Stop()
	for o.full() && time.Now().Before(end) {
		o.changed.Wait()
	}
	return !o.full()
}

// full reports whether no further request is to be read. The caller holds o.mu.
func (o *outbox) full() bool {
	return (len(o.messages) >= maxUnreadMessages || o.localBytes >= maxUnreadLocalBytes) && !o.closed
}

// clientQueues is the account of what waits for all clients. It is safe for concurrent use.
type clientQueues struct {
	mu      sync.Mutex
	answers *relay.AnswerQueues
}

func (q *clientQueues) add(conn uint64, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers.Add(conn, bytes)
}

// accepts reports whether a further request on a connection is accepted.
func (q *clientQueues) accepts(conn uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answers.Accepts(conn)
}
