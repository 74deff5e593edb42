// Package store keeps a seat's log, votes and snapshots on disk, for go.etcd.io/raft: a log of records, each with its
// length, its place and a checksum over both and the content, in segments. What has been said to be kept has been
// synced before; what can't be trusted is refused, with file and place.
//
//	segment   NNNNNNNNNNNNNNNN.log, numbered; the last one is written to
//	record    length 4, CRC-32C 4, place 8, kind 1, content
//	kinds     identity, hard state, entry, snapshot
//
// A segment begins with identity, snapshot and hard state, so that it stands alone with the entries behind it: earlier
// ones go once it is synced. Places count records over all segments without a gap.
//
// What a kill may leave is a last record that is cut short: it was never said to be kept, and is cut off. A record that
// is whole and doesn't fit its checksum, or one before the end, was kept and is spoilt: ErrCorrupt. A disk that said yes
// and kept nothing, or a folder that was put back, looks like an earlier state and can't be told from within: whoever
// opens the store asks the other seats what they have had from this one (State.Behind).
//
// bbolt was weighed (docs/design/duties.md): its pages of data carry no checksum, so that a flipped bit there goes
// unseen.
//
// A Store belongs to one goroutine. Bounds: segmentBytes a segment, recordMost a record, two segments as a rule.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	segmentBytes = 1 << 20 // from which on a snapshot and a new segment are due
	recordMost   = 4 << 20
	headBytes    = 4 + 4 + 8 + 1
	suffix       = ".log"
)

type kind byte

const (
	kindIdentity kind = 1 + iota
	kindHard
	kindEntry
	kindSnapshot
)

// ErrCorrupt says that what was kept can't be trusted: the seat must not vote by it.
var ErrCorrupt = errors.New("what was kept is spoilt")

// ErrBroken says that the disk refused a write or a sync: nothing after it is known to be kept, and the seat must not
// go on by this store.
var ErrBroken = errors.New("the disk failed")

// CorruptError tells where.
type CorruptError struct {
	File string
	At   int64 // bytes from its beginning
	What string
}

func (e *CorruptError) Error() string { return fmt.Sprintf("%s, byte %d: %s", e.File, e.At, e.What) }

// Unwrap is ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

var table = crc32.MakeTable(crc32.Castagnoli)

// Store is a seat's.
type Store struct {
	*raft.MemoryStorage // what is kept, for raft to read
	fs                  FS
	id                  uint64
	hard                *pb.HardState
	name                string // of the segment that is written to
	file                File
	place               uint64
	size                int64
	number              uint64
	broken              error
	Written             uint64 // bytes, since it was opened
	Syncs               uint64
}

// Open reads what is kept. fresh is the identity that a folder without any gets; it comes back true as empty then.
func Open(fs FS, fresh uint64) (s *Store, empty bool, err error) {
	s = &Store{MemoryStorage: raft.NewMemoryStorage(), fs: fs, hard: &pb.HardState{}}
	names, err := fs.List()
	if err != nil {
		return nil, false, fmt.Errorf("store: %w", err)
	}
	var logs []string
	for _, n := range names {
		if number, ok := strings.CutSuffix(n, suffix); ok {
			if _, err := strconv.ParseUint(number, 16, 64); err == nil && len(number) == 16 {
				logs = append(logs, n)
			}
		}
	}
	slices.Sort(logs)
	if len(logs) == 0 {
		s.id = fresh
		return s, true, s.begin(nil)
	}
	// A segment that was begun and not finished stands behind one that is whole: the earlier one counts.
	for i := len(logs) - 1; ; i-- {
		err = s.read(logs[i], i == len(logs)-1)
		var short *unfinished
		if errors.As(err, &short) && i > 0 {
			if err := fs.Remove(logs[i]); err != nil {
				return nil, false, fmt.Errorf("store: %w", err)
			}
			*s = Store{MemoryStorage: raft.NewMemoryStorage(), fs: fs, hard: &pb.HardState{}}
			logs = logs[:i]
			continue
		}
		if short != nil {
			err = &CorruptError{logs[i], 0, "its head is not whole, and it is the only one"}
		}
		if err != nil {
			return nil, false, err
		}
		for _, old := range logs[:i] { // left over from a kill between two steps
			if err := fs.Remove(old); err != nil {
				return nil, false, fmt.Errorf("store: %w", err)
			}
		}
		return s, false, nil
	}
}

// unfinished is a segment without its head.
type unfinished struct{ name string }

func (u *unfinished) Error() string { return u.name + ": its head is not whole" }

// read takes a segment up, and opens it to write on.
func (s *Store) read(name string, last bool) error {
	raw, err := s.fs.Read(name)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	number, _ := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
	s.number, s.name = number, name
	at, heads := int64(0), 0
	spoilt := func(what string, v ...any) error { return &CorruptError{name, at, fmt.Sprintf(what, v...)} }
	var snap *pb.Snapshot
	for int(at) < len(raw) {
		rest := raw[at:]
		if len(rest) < headBytes {
			break // cut short
		}
		n := int64(binary.BigEndian.Uint32(rest))
		if n > recordMost {
			return spoilt("a record of %d bytes", n)
		}
		if int64(len(rest)) < headBytes+n {
			break
		}
		place := binary.BigEndian.Uint64(rest[8:])
		if sum := crc32.Checksum(rest[8:headBytes+n], table) ^ uint32(n); sum != binary.BigEndian.Uint32(rest[4:]) {
			return spoilt("its checksum is %08x, not %08x", sum, binary.BigEndian.Uint32(rest[4:]))
		}
		if at > 0 && place != s.place {
			return spoilt("it is record %d, and %d follows", place, s.place)
		}
		s.place = place + 1
		content := rest[headBytes : headBytes+n]
		switch k := kind(rest[16]); k {
		case kindIdentity:
			if len(content) != 8 || heads != 0 {
				return spoilt("an identity that makes no sense")
			}
			s.id = binary.BigEndian.Uint64(content)
			heads = 1
		case kindSnapshot:
			snap = &pb.Snapshot{}
			if err := proto.Unmarshal(content, snap); err != nil || heads == 0 {
				return spoilt("a snapshot that can't be read: %v", err)
			}
			if snap.GetMetadata().GetIndex() > 0 {
				if err := s.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
					return spoilt("a snapshot that doesn't fit: %v", err)
				}
			}
			heads = max(heads, 2)
		case kindHard:
			h := &pb.HardState{}
			if err := proto.Unmarshal(content, h); err != nil || heads < 2 {
				return spoilt("a hard state that can't be read: %v", err)
			}
			if h.GetTerm() < s.hard.GetTerm() {
				return spoilt("term %d after %d", h.GetTerm(), s.hard.GetTerm())
			}
			s.hard = h
			heads = 3
		case kindEntry:
			e := &pb.Entry{}
			if err := proto.Unmarshal(content, e); err != nil || heads < 3 {
				return spoilt("an entry that can't be read: %v", err)
			}
			if end, _ := s.LastIndex(); e.GetIndex() > end+1 {
				return spoilt("entry %d follows %d", e.GetIndex(), end)
			}
			if err := s.MemoryStorage.Append([]*pb.Entry{e}); err != nil {
				return spoilt("an entry that doesn't fit: %v", err)
			}
		default:
			return spoilt("a record of kind %d", k)
		}
		at += headBytes + n
	}
	if heads < 3 {
		if last {
			return &unfinished{name}
		}
		return &CorruptError{name, at, "its head is not whole, and it is the only one"}
	}
	if end, _ := s.LastIndex(); s.hard.GetCommit() > end {
		return &CorruptError{name, at, fmt.Sprintf("entries up to %d were agreed on, and there are %d", s.hard.GetCommit(), end)}
	}
	if err := s.SetHardState(s.hard); err != nil {
		return err
	}
	f, err := s.fs.Append(name)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrBroken, name, err)
	}
	if at < int64(len(raw)) {
		if err := f.Truncate(at); err != nil {
			return errors.Join(fmt.Errorf("%w: %s: %w", ErrBroken, name, err), f.Close())
		}
		if err := f.Sync(); err != nil {
			return errors.Join(fmt.Errorf("%w: %s: %w", ErrBroken, name, err), f.Close())
		}
	}
	s.file, s.size = f, at
	return nil
}

// record adds one to b.
func (s *Store) record(b []byte, k kind, content []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint64(b, s.place)
	b = append(append(b, byte(k)), content...)
	binary.BigEndian.PutUint32(b[at+4:], crc32.Checksum(b[at+8:], table)^uint32(len(content)))
	s.place++
	return b
}

// begin writes a new segment: identity, snapshot, hard state, and the entries behind the snapshot.
func (s *Store) begin(snap *pb.Snapshot) (err error) {
	defer func() {
		if err != nil {
			s.broken = err
		}
	}()
	if snap == nil {
		snap = &pb.Snapshot{}
	}
	s.number++
	name := fmt.Sprintf("%016x%s", s.number, suffix)
	b := s.record(nil, kindIdentity, binary.BigEndian.AppendUint64(nil, s.id))
	raw, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	b = s.record(b, kindSnapshot, raw)
	if raw, err = proto.Marshal(s.hard); err != nil {
		return err
	}
	b = s.record(b, kindHard, raw)
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first <= last {
		entries, err := s.Entries(first, last+1, 1<<62)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if raw, err = proto.Marshal(e); err != nil {
				return err
			}
			b = s.record(b, kindEntry, raw)
		}
	}
	fail := func(err error) error { return fmt.Errorf("%w: %s: %w", ErrBroken, name, err) }
	f, err := s.fs.Create(name)
	if err != nil {
		return fail(err)
	}
	if err := write(f, b); err != nil {
		return errors.Join(fail(err), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(fail(err), f.Close())
	}
	if err := s.fs.SyncDir(); err != nil {
		return errors.Join(fail(err), f.Close())
	}
	s.Written += uint64(len(b))
	s.Syncs++
	old, oldFile := s.name, s.file
	s.name, s.file, s.size = name, f, int64(len(b))
	if oldFile != nil {
		oldFile.Close()
		if err := s.fs.Remove(old); err != nil { // it is only in the way
			return nil
		}
	}
	return nil
}

func write(f File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = fmt.Errorf("%d of %d bytes written", n, len(b))
	}
	return err
}

// ID is the seat's number among the voters: drawn when its folder was made, so that a folder that is gone comes back as
// another voter.
func (s *Store) ID() uint64 { return s.id }

// SetID gives another identity to a store in which nothing is kept yet.
func (s *Store) SetID(id uint64) error {
	if !s.Empty() {
		return errors.New("store: one that holds promises keeps its identity")
	}
	s.id = id
	return s.begin(nil)
}

// Empty reports whether nothing was promised by it.
func (s *Store) Empty() bool {
	last, _ := s.LastIndex()
	return last == 0 && s.hard.GetTerm() == 0
}

// Hard is what was promised.
func (s *Store) Hard() *pb.HardState { return s.hard }

// State is what a seat has let others know of its promises.
type State struct{ Term, Index uint64 }

// State is what this store holds.
func (s *Store) State() State {
	last, _ := s.LastIndex()
	return State{s.hard.GetTerm(), last}
}

// Behind reports whether a store holds less than what the seat has promised to others: its disk has forgotten.
func (s *Store) Behind(promised State) bool {
	has := s.State()
	return has.Term < promised.Term || has.Term == promised.Term && has.Index < promised.Index
}

// Save keeps what raft wants kept, and returns once it is synced. With an error nothing of it is known to be kept, and
// the store takes nothing more.
func (s *Store) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) (err error) {
	if s.broken != nil {
		return s.broken
	}
	defer func() {
		if err != nil {
			s.broken = err
		}
	}()
	if hard != nil && !raft.IsEmptyHardState(hard) {
		s.hard = hard
	}
	if snap != nil && !raft.IsEmptySnap(snap) {
		if err := s.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		if err := s.MemoryStorage.Append(entries); err != nil {
			return err
		}
		if err := s.SetHardState(s.hard); err != nil {
			return err
		}
		return s.begin(snap)
	}
	var b []byte
	for _, e := range entries {
		raw, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		b = s.record(b, kindEntry, raw)
	}
	if hard != nil && !raft.IsEmptyHardState(hard) {
		raw, err := proto.Marshal(hard)
		if err != nil {
			return err
		}
		b = s.record(b, kindHard, raw)
	}
	if len(b) == 0 {
		return nil
	}
	if err := write(s.file, b); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrBroken, s.name, err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrBroken, s.name, err)
	}
	s.size += int64(len(b))
	s.Written += uint64(len(b))
	s.Syncs++
	if err := s.MemoryStorage.Append(entries); err != nil {
		return err
	}
	return s.SetHardState(s.hard)
}

// Due reports whether a snapshot is due, to let the segment go.
func (s *Store) Due() bool { return s.size >= segmentBytes }

// Compact puts a snapshot of all that was carried out up to an index in place of the log up to it.
func (s *Store) Compact(index uint64, conf *pb.ConfState, data []byte) error {
	if s.broken != nil {
		return s.broken
	}
	snap, err := s.CreateSnapshot(index, conf, data)
	if err != nil {
		if errors.Is(err, raft.ErrSnapOutOfDate) {
			return nil
		}
		return fmt.Errorf("store: snapshot: %w", err)
	}
	if err := s.MemoryStorage.Compact(index); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("store: snapshot: %w", err)
	}
	return s.begin(snap)
}

// Broken is why the store takes nothing more; nil: it does.
func (s *Store) Broken() error { return s.broken }

// Close lets the file go.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	f := s.file
	s.file = nil
	return f.Close()
}
