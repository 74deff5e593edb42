package relay

// Shares of the process's memory that Diameter may use, as divisors.
const (
	pendingShare = 16 // requests that are pending
	keptShare    = 64 // kept answers
	queuedShare  = 16 // answers that wait for their clients to read
)

// copiesOfPending is how often a pending request is in memory: as received, and as queued or sent to a server.
const copiesOfPending = 2

// WithMemory returns the limits with bounds on bytes for a process that may use that much memory; 0: unknown, which leaves
// them as they are.
func (l Limits) WithMemory(memory int64) Limits {
	if memory == 0 {
		return l
	}
	l.MaxPendingBytes = min(l.MaxPendingBytes, int(memory/pendingShare/copiesOfPending))
	l.MaxKeptBytes = min(l.MaxKeptBytes, int(memory/keptShare))
	l.MaxQueuedBytes = min(l.MaxQueuedBytes, int(memory/queuedShare))
	return l
}

// AnswerQueues counts the answers that wait for clients to read them. Answers are never dropped for want of room, so that it
// decides earlier whether a client's next request is accepted.
type AnswerQueues struct {
	maxBytes int
	bytes    int            // of all clients
	byConn   map[uint64]int // bytes by the number of the client's connection; only connections with a queue
}

// NewAnswerQueues returns empty queues whose total size should not exceed maxBytes.
func NewAnswerQueues(maxBytes int) *AnswerQueues {
	return &AnswerQueues{maxBytes: maxBytes, byConn: map[uint64]int{}}
}

// Add records a change in the size of a connection's queue.
func (q *AnswerQueues) Add(conn uint64, bytes int) {
	q.bytes += bytes
	if q.byConn[conn] += bytes; q.byConn[conn] == 0 {
		delete(q.byConn, conn)
	}
}

// Accepts reports whether a further request on a connection is accepted. While the queues are full, only clients that leave
// less unread than an equal share are served: one that doesn't read must not take the room of the others.
func (q *AnswerQueues) Accepts(conn uint64) bool {
	return q.bytes < q.maxBytes || q.byConn[conn]*len(q.byConn) < q.maxBytes
}

// Bytes returns the total size of the queues in bytes.
func (q *AnswerQueues) Bytes() int { return q.bytes }
