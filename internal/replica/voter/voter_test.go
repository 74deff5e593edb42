package voter

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lemonrail/internal/duty/store"
)

// member is a voter with a host that records sent messages and counts applied entries.
type member struct {
	voter   *Voter
	now     time.Duration
	sent    []sentMessage
	applied int
	padding int   // bytes added to each snapshot
	restore error // error that Restore returns
}

// sentMessage is a call of Host.Send.
type sentMessage struct {
	to      string
	kind    Kind
	content []byte
}

func (m *member) Send(to string, kind Kind, content []byte) bool {
	m.sent = append(m.sent, sentMessage{to, kind, content})
	return true
}

func (m *member) Apply(*pb.Entry) error {
	m.applied++
	return nil
}

// testSnapshot is the content of a member's snapshots.
type testSnapshot struct {
	Membership Membership
	Padding    []byte
}

func (m *member) Snapshot(membership Membership) ([]byte, error) {
	return json.Marshal(testSnapshot{membership, make([]byte, m.padding)})
}

func (m *member) Restore(raw []byte) (Membership, error) {
	var s testSnapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return Membership{}, err
	}
	return s.Membership, m.restore
}

func (m *member) LeadershipChanged(bool)            {}
func (m *member) ReadIndexConfirmed(raft.ReadState) {}

// newMember returns a member of a group of all, with its store opened.
func newMember(name string, fs store.FS, all ...string) *member {
	m := &member{}
	m.voter = New(Options{Name: name, Candidates: all, InitialVoters: len(all), FS: fs, Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, uint64(name[0])))}, m)
	m.voter.Open(0)
	return m
}

// step lets 10 ms and one raft tick pass.
func (m *member) step() {
	m.now += 10 * time.Millisecond
	m.voter.Guard(func() { m.voter.Step(m.now, true) })
}

// pair returns two members that vote and know their leader.
func pair(t *testing.T) (a, b *member) {
	t.Helper()
	a, b = newMember("a", store.NewFaultyDisk(1), "a", "b"), newMember("b", store.NewFaultyDisk(2), "a", "b")
	for range 100 {
		for _, m := range []*member{a, b} {
			m.step()
			other, sent := b, m.sent
			if m == b {
				other = a
			}
			m.sent = nil
			for _, s := range sent {
				decoded, err := Decode(s.kind, s.content)
				if err != nil {
					t.Fatal(err)
				}
				if answer := other.voter.Receive(m.voter.options.Name, decoded); answer != nil {
					raw, _ := json.Marshal(answer)
					reply, _ := Decode(KindCheckInReply, raw)
					m.voter.Receive(other.voter.options.Name, reply)
				}
			}
		}
	}
	if !a.voter.Voting() || !b.voter.Voting() || a.voter.Leader() == "" {
		t.Fatalf("a: %+v, b: %+v", a.voter.Decision(), b.voter.Decision())
	}
	return a, b
}

// raftMessage returns a message from b to a.
func raftMessage(a, b *member, kind pb.MessageType, term uint64) *pb.Message {
	return &pb.Message{Type: &kind, From: proto.Uint64(b.voter.store.ID()), To: proto.Uint64(a.voter.store.ID()), Term: &term}
}

// receive passes a raft message from a member to m.
func receive(t *testing.T, m *member, from string, message *pb.Message) {
	t.Helper()
	raw, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(KindRaft, raw)
	if err != nil {
		t.Fatal(err)
	}
	m.voter.Guard(func() { m.voter.Receive(from, decoded) })
}

// Raft messages are dropped unless they come from the member that owns their sender identity, are addressed to this
// member's identity, and are of a type that members send to each other.
func TestMisaddressedMessagesAreDropped(t *testing.T) {
	a, b := pair(t)
	term := a.voter.store.State().Term
	const far = 1000 // a term far above the current one
	expectOldTerm := func(what string) {
		t.Helper()
		a.step()
		if got := a.voter.store.State().Term; got >= far {
			t.Fatalf("%s: term %d", what, got)
		}
	}
	receive(t, a, "a", raftMessage(a, b, pb.MsgHeartbeat, far))
	expectOldTerm("b's identity, from another member")
	stranger := raftMessage(a, b, pb.MsgHeartbeat, far)
	stranger.From = proto.Uint64(12345)
	receive(t, a, "b", stranger)
	expectOldTerm("an identity that is not a member's")
	elsewhere := raftMessage(a, b, pb.MsgHeartbeat, far)
	elsewhere.To = proto.Uint64(12345)
	receive(t, a, "b", elsewhere)
	expectOldTerm("addressed to another identity")
	last, _ := a.voter.store.LastIndex()
	proposal := raftMessage(a, b, pb.MsgProp, 0)
	proposal.Entries = []*pb.Entry{{Data: []byte("smuggled")}}
	receive(t, a, "b", proposal)
	a.step()
	if now, _ := a.voter.store.LastIndex(); now != last || a.voter.Fault() != nil {
		t.Errorf("a proposal from another member: the last entry is %d, was %d; fault %v", now, last, a.voter.Fault())
	}
	receive(t, a, "b", raftMessage(a, b, pb.MsgHeartbeat, far))
	a.step()
	if got := a.voter.store.State().Term; got != far {
		t.Errorf("a heartbeat from b itself: term %d, was %d", got, term)
	}
}

// A check-in reply holds what its receiver promised: its votes, the entries it acknowledged, and those it sent as leader.
func TestPromisesAreReported(t *testing.T) {
	a, b := pair(t)
	id := b.voter.store.ID()
	asked := func() (voted, term, index uint64) {
		raw, _ := json.Marshal(identity{"b", id})
		m, err := Decode(KindCheckIn, raw)
		if err != nil {
			t.Fatal(err)
		}
		p := a.voter.Receive("b", m).Promised
		return p.Voted, p.Term, p.Index
	}
	vote := raftMessage(a, b, pb.MsgVoteResp, 50)
	receive(t, a, "b", vote)
	if voted, term, _ := asked(); voted != 50 || term != 50 {
		t.Errorf("a vote in term 50: recorded vote in %d, term %d", voted, term)
	}
	refused := raftMessage(a, b, pb.MsgVoteResp, 51)
	refused.Reject = proto.Bool(true)
	receive(t, a, "b", refused)
	if voted, _, _ := asked(); voted != 50 {
		t.Errorf("a rejected vote: recorded vote in %d", voted)
	}
	kept := raftMessage(a, b, pb.MsgAppResp, 52)
	kept.Index = proto.Uint64(7)
	receive(t, a, "b", kept)
	if _, term, index := asked(); term != 52 || index != 7 {
		t.Errorf("entry 7 of term 52 acknowledged: recorded entry %d of term %d", index, term)
	}
	led := raftMessage(a, b, pb.MsgApp, 53)
	led.Index, led.LogTerm, led.Entries = proto.Uint64(8), proto.Uint64(52), []*pb.Entry{{Index: proto.Uint64(9), Term: proto.Uint64(53)}}
	receive(t, a, "b", led)
	if _, term, index := asked(); term != 53 || index != 9 {
		t.Errorf("entry 9 of term 53 sent: recorded entry %d of term %d", index, term)
	}
}

// While a snapshot exceeds MaxSnapshotBytes the log isn't compacted and the member keeps voting. Once the snapshot is smaller
// the log is compacted.
func TestTooLongSnapshot(t *testing.T) {
	m := newMember("a", store.NewFaultyDisk(3), "a")
	for range 40 {
		m.step()
	}
	first := func() uint64 {
		first, _ := m.voter.store.FirstIndex()
		return first
	}
	before := first()
	m.padding = MaxSnapshotBytes
	propose := func() {
		for range 300 {
			if err := m.voter.Propose(make([]byte, 8<<10)); err != nil {
				t.Fatal(err)
			}
			m.step()
		}
	}
	propose()
	if !m.voter.Voting() || m.applied != 300 || first() != before {
		t.Fatalf("votes %v, %d applied, the log begins at %d, began at %d before", m.voter.Voting(), m.applied, first(), before)
	}
	m.padding = 0
	propose()
	if !m.voter.Voting() || m.applied != 600 || first() <= before {
		t.Errorf("votes %v, %d applied, the log begins at %d", m.voter.Voting(), m.applied, first())
	}
}

// A snapshot that the state machine rejects ends the vote with that error as the reason.
func TestRejectedSnapshotEndsVoting(t *testing.T) {
	disk := store.NewFaultyDisk(4)
	m := newMember("a", disk, "a")
	for range 40 {
		m.step()
	}
	m.voter.Close()
	again := newMember("a", disk, "a")
	again.restore = errors.New("of another version")
	again.step()
	if again.voter.Voting() || !errors.Is(again.voter.Fault(), again.restore) {
		t.Errorf("votes %v, %v", again.voter.Voting(), again.voter.Fault())
	}
}

// Any bytes are refused, or give a message of a known kind that a member can receive.
func FuzzDecode(f *testing.F) {
	f.Add(byte(KindRaft), []byte{8, 1, 16, 2})
	f.Add(byte(KindCheckIn), []byte(`{"Seat":"a","ID":1}`))
	f.Add(byte(KindCheckInReply), []byte(`{"Seat":"a","Seats":{"1":"a"}}`))
	f.Add(byte(9), []byte(nil))
	f.Fuzz(func(t *testing.T, kind byte, raw []byte) {
		m, err := Decode(Kind(kind), raw)
		if err != nil {
			return
		}
		if Kind(kind) > KindJoin {
			t.Fatal(fmt.Sprint("kind ", kind, " was decoded"))
		}
		v := newMember("a", store.NewFaultyDisk(5), "a", "b")
		v.voter.Receive("b", m)
		v.step()
	})
}
