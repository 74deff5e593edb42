// Package store keeps a voter's raft log, votes and snapshots on disk (go.etcd.io/raft). The log consists of
// records in segment files; each record carries its length, a sequence number, and a checksum over both and
// the content. Data is synced before it is confirmed as stored, and data that can't be trusted is refused with
// the file and the offset.
//
//	segment   NNNNNNNNNNNNNNNN.log, numbered; the last one is written to
//	record    length 4, CRC-32C 4, sequence 8, kind 1, content
//	kinds     identity, hard state, entry, snapshot
//
// A segment begins with the identity, a snapshot and the hard state, so that it is complete without earlier
// segments, which are removed once it is synced. Sequence numbers count the records of all segments without
// gaps.
//
// A crash may leave an incomplete last record: it was never confirmed, and is cut off. A complete record whose
// checksum doesn't match, or damage before the last record, means that confirmed data was lost: ErrCorrupt. A
// disk that confirmed syncs without storing the data, or a restored old copy of the folder, looks like a valid
// earlier state and can't be detected locally: whoever opens the store has to ask the other voters what this
// one has promised them (Store.Behind).
//
// bbolt was considered (docs/design/duties.md): its data pages carry no checksum, so that a flipped bit in
// them goes undetected.
//
// A Store belongs to one goroutine. Bounds: segmentBytes per segment, maxRecordBytes per record, usually two
// segments.
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
	segmentBytes   = 1 << 20       // size from which a snapshot and a new segment are due
	maxRecordBytes = 4 << 20       // bound of a record's content
	headerBytes    = 4 + 4 + 8 + 1 // length, checksum, sequence number, kind
	segmentSuffix  = ".log"        // of the names of segment files
)

// recordKind is what a record contains.
type recordKind byte

const (
	kindIdentity recordKind = 1 + iota
	kindHardState
	kindEntry
	kindSnapshot
)

// ErrCorrupt reports that the stored data can't be trusted: the voter must not vote based on it.
var ErrCorrupt = errors.New("what was kept is spoilt")

// ErrDiskFailed reports that a write or a sync failed: nothing after it is known to be stored, and the voter
// must not continue with this store.
var ErrDiskFailed = errors.New("the disk failed")

// CorruptError tells where a store is corrupt, and how.
type CorruptError struct {
	File   string
	Offset int64 // in bytes, from the beginning of the file
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s, byte %d: %s", e.File, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// crcTable is the table for the CRC-32C of the records.
var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Store is the persistent state of one voter.
type Store struct {
	*raft.MemoryStorage // the stored state, for raft to read
	fs                  FS
	id                  uint64        // the voter's identity, drawn at random when the folder was created
	hardState           *pb.HardState // the latest term, vote and commit index
	segmentName         string        // file name of the segment that is written to
	file                File          // the open file of that segment
	nextSequence        uint64        // sequence number of the next record
	segmentSize         int64         // in bytes
	segmentNumber       uint64        // the number in segmentName
	failure             error         // the first error of a write; every further write fails with it
	Written             uint64        // bytes written since the store was opened
	Syncs               uint64        // file syncs since the store was opened
}

// Open reads the stored state. A folder without segments gets the identity newID, and empty is true then.
func Open(fs FS, newID uint64) (s *Store, empty bool, err error) {
	s = &Store{MemoryStorage: raft.NewMemoryStorage(), fs: fs, hardState: &pb.HardState{}}
	names, err := fs.List()
	if err != nil {
		return nil, false, fmt.Errorf("store: %w", err)
	}
	var segments []string
	for _, n := range names {
		if number, ok := strings.CutSuffix(n, segmentSuffix); ok {
			if _, err := strconv.ParseUint(number, 16, 64); err == nil && len(number) == 16 {
				segments = append(segments, n)
			}
		}
	}
	slices.Sort(segments)
	if len(segments) == 0 {
		s.id = newID
		return s, true, s.startSegment(nil)
	}
	// A last segment that a crash left incomplete follows a complete one, which is used instead.
	for i := len(segments) - 1; ; i-- {
		err = s.loadSegment(segments[i], i == len(segments)-1)
		var incomplete *incompleteSegmentError
		if errors.As(err, &incomplete) && i > 0 {
			if err := fs.Remove(segments[i]); err != nil {
				return nil, false, fmt.Errorf("store: %w", err)
			}
			*s = Store{MemoryStorage: raft.NewMemoryStorage(), fs: fs, hardState: &pb.HardState{}}
			segments = segments[:i]
			continue
		}
		if incomplete != nil {
			err = &CorruptError{segments[i], 0, "its head is not whole, and it is the only one"}
		}
		if err != nil {
			return nil, false, err
		}
		// Left over from a crash between writing the new segment and removing the old one.
		for _, old := range segments[:i] {
			if err := fs.Remove(old); err != nil {
				return nil, false, fmt.Errorf("store: %w", err)
			}
		}
		return s, false, nil
	}
}

// incompleteSegmentError reports a segment without complete identity, snapshot and hard state records.
type incompleteSegmentError struct{ segment string }

func (u *incompleteSegmentError) Error() string { return u.segment + ": its head is not whole" }

// loadSegment reads a segment and opens it for appending. It cuts off an incomplete last record.
func (s *Store) loadSegment(name string, last bool) error {
	raw, err := s.fs.Read(name)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	number, _ := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
	s.segmentNumber, s.segmentName = number, name
	offset, headRecords := int64(0), 0 // headRecords: how many of the three records that begin a segment were read
	corrupt := func(what string, v ...any) error { return &CorruptError{name, offset, fmt.Sprintf(what, v...)} }
	var snap *pb.Snapshot
	for int(offset) < len(raw) {
		rest := raw[offset:]
		if len(rest) < headerBytes {
			break // incomplete last record
		}
		n := int64(binary.BigEndian.Uint32(rest))
		if n > maxRecordBytes {
			return corrupt("a record of %d bytes", n)
		}
		if int64(len(rest)) < headerBytes+n {
			break
		}
		sequence := binary.BigEndian.Uint64(rest[8:])
		if sum := crc32.Checksum(rest[8:headerBytes+n], crcTable) ^ uint32(n); sum != binary.BigEndian.Uint32(rest[4:]) {
			return corrupt("its checksum is %08x, not %08x", sum, binary.BigEndian.Uint32(rest[4:]))
		}
		if offset > 0 && sequence != s.nextSequence {
			return corrupt("it is record %d, and %d follows", sequence, s.nextSequence)
		}
		s.nextSequence = sequence + 1
		content := rest[headerBytes : headerBytes+n]
		switch k := recordKind(rest[16]); k {
		case kindIdentity:
			if len(content) != 8 || headRecords != 0 {
				return corrupt("an identity that makes no sense")
			}
			s.id = binary.BigEndian.Uint64(content)
			headRecords = 1
		case kindSnapshot:
			snap = &pb.Snapshot{}
			if err := proto.Unmarshal(content, snap); err != nil || headRecords == 0 {
				return corrupt("a snapshot that can't be read: %v", err)
			}
			if snap.GetMetadata().GetIndex() > 0 {
				if err := s.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
					return corrupt("a snapshot that doesn't fit: %v", err)
				}
			}
			headRecords = max(headRecords, 2)
		case kindHardState:
			h := &pb.HardState{}
			if err := proto.Unmarshal(content, h); err != nil || headRecords < 2 {
				return corrupt("a hard state that can't be read: %v", err)
			}
			if h.GetTerm() < s.hardState.GetTerm() {
				return corrupt("term %d after %d", h.GetTerm(), s.hardState.GetTerm())
			}
			s.hardState = h
			headRecords = 3
		case kindEntry:
			e := &pb.Entry{}
			if err := proto.Unmarshal(content, e); err != nil || headRecords < 3 {
				return corrupt("an entry that can't be read: %v", err)
			}
			if end, _ := s.LastIndex(); e.GetIndex() > end+1 {
				return corrupt("entry %d follows %d", e.GetIndex(), end)
			}
			if err := s.MemoryStorage.Append([]*pb.Entry{e}); err != nil {
				return corrupt("an entry that doesn't fit: %v", err)
			}
		default:
			return corrupt("a record of kind %d", k)
		}
		offset += headerBytes + n
	}
	if headRecords < 3 {
		if last {
			return &incompleteSegmentError{name}
		}
		return &CorruptError{name, offset, "its head is not whole, and it is the only one"}
	}
	if end, _ := s.LastIndex(); s.hardState.GetCommit() > end {
		return &CorruptError{name, offset, fmt.Sprintf("entries up to %d were agreed on, and there are %d", s.hardState.GetCommit(), end)}
	}
	if err := s.SetHardState(s.hardState); err != nil {
		return err
	}
	f, err := s.fs.Append(name)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDiskFailed, name, err)
	}
	if offset < int64(len(raw)) {
		if err := f.Truncate(offset); err != nil {
			return errors.Join(fmt.Errorf("%w: %s: %w", ErrDiskFailed, name, err), f.Close())
		}
		if err := f.Sync(); err != nil {
			return errors.Join(fmt.Errorf("%w: %s: %w", ErrDiskFailed, name, err), f.Close())
		}
	}
	s.file, s.segmentSize = f, offset
	return nil
}

// appendRecord appends a record to b and returns it.
func (s *Store) appendRecord(b []byte, k recordKind, content []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint64(b, s.nextSequence)
	b = append(append(b, byte(k)), content...)
	binary.BigEndian.PutUint32(b[start+4:], crc32.Checksum(b[start+8:], crcTable)^uint32(len(content)))
	s.nextSequence++
	return b
}

// startSegment writes a new segment (identity, snapshot, hard state, and the entries after the snapshot), and
// removes the previous one.
func (s *Store) startSegment(snap *pb.Snapshot) (err error) {
	defer func() {
		if err != nil {
			s.failure = err
		}
	}()
	if snap == nil {
		snap = &pb.Snapshot{}
	}
	s.segmentNumber++
	name := fmt.Sprintf("%016x%s", s.segmentNumber, segmentSuffix)
	b := s.appendRecord(nil, kindIdentity, binary.BigEndian.AppendUint64(nil, s.id))
	raw, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	b = s.appendRecord(b, kindSnapshot, raw)
	if raw, err = proto.Marshal(s.hardState); err != nil {
		return err
	}
	b = s.appendRecord(b, kindHardState, raw)
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
			b = s.appendRecord(b, kindEntry, raw)
		}
	}
	fail := func(err error) error { return fmt.Errorf("%w: %s: %w", ErrDiskFailed, name, err) }
	f, err := s.fs.Create(name)
	if err != nil {
		return fail(err)
	}
	if err := writeAll(f, b); err != nil {
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
	old, oldFile := s.segmentName, s.file
	s.segmentName, s.file, s.segmentSize = name, f, int64(len(b))
	if oldFile != nil {
		oldFile.Close()
		if err := s.fs.Remove(old); err != nil { // harmless: the next Open removes it
			return nil
		}
	}
	return nil
}

// writeAll writes b, and returns an error if only a part of it was written.
func writeAll(f File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = fmt.Errorf("%d of %d bytes written", n, len(b))
	}
	return err
}

// ID returns the voter's identity in the quorum. It is drawn when the folder is created, so that a voter that
// lost its folder returns as a different one.
func (s *Store) ID() uint64 { return s.id }

// SetID changes the identity of an empty store.
func (s *Store) SetID(id uint64) error {
	if !s.Empty() {
		return errors.New("store: one that holds promises keeps its identity")
	}
	s.id = id
	return s.startSegment(nil)
}

// Empty reports whether the store has promised nothing: it has no log entries and no term.
func (s *Store) Empty() bool {
	last, _ := s.LastIndex()
	return last == 0 && s.hardState.GetTerm() == 0
}

// HardState returns the stored hard state.
func (s *Store) HardState() *pb.HardState { return s.hardState }

// State is a term and the index of the last log entry: what a voter has stored, or has confirmed to other
// voters as stored.
type State struct{ Term, Index uint64 }

// State returns the current term and the index of the last entry.
func (s *Store) State() State {
	last, _ := s.LastIndex()
	return State{s.hardState.GetTerm(), last}
}

// Behind reports whether the store holds less than the voter has promised to others, so that data was lost.
func (s *Store) Behind(promised State) bool {
	has := s.State()
	return has.Term < promised.Term || has.Term == promised.Term && has.Index < promised.Index
}

// Save stores what raft's Ready asks to be stored, and returns once it is synced. After an error nothing of it
// is known to be stored, and every further Save fails.
func (s *Store) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) (err error) {
	if s.failure != nil {
		return s.failure
	}
	defer func() {
		if err != nil {
			s.failure = err
		}
	}()
	if hard != nil && !raft.IsEmptyHardState(hard) {
		s.hardState = hard
	}
	if snap != nil && !raft.IsEmptySnap(snap) {
		if err := s.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		if err := s.MemoryStorage.Append(entries); err != nil {
			return err
		}
		if err := s.SetHardState(s.hardState); err != nil {
			return err
		}
		return s.startSegment(snap)
	}
	var b []byte
	for _, e := range entries {
		raw, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		b = s.appendRecord(b, kindEntry, raw)
	}
	if hard != nil && !raft.IsEmptyHardState(hard) {
		raw, err := proto.Marshal(hard)
		if err != nil {
			return err
		}
		b = s.appendRecord(b, kindHardState, raw)
	}
	if len(b) == 0 {
		return nil
	}
	if err := writeAll(s.file, b); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDiskFailed, s.segmentName, err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDiskFailed, s.segmentName, err)
	}
	s.segmentSize += int64(len(b))
	s.Written += uint64(len(b))
	s.Syncs++
	if err := s.MemoryStorage.Append(entries); err != nil {
		return err
	}
	return s.SetHardState(s.hardState)
}

// SnapshotDue reports whether a snapshot is due, so that the segment can be replaced.
func (s *Store) SnapshotDue() bool { return s.segmentSize >= segmentBytes }

// Compact replaces the log up to an index by a snapshot of the state at that index.
func (s *Store) Compact(index uint64, conf *pb.ConfState, data []byte) error {
	if s.failure != nil {
		return s.failure
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
	return s.startSegment(snap)
}

// Failure returns the error of the first failed write or sync, after which the store refuses further writes;
// nil: none has failed.
func (s *Store) Failure() error { return s.failure }

// Close closes the segment file.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	f := s.file
	s.file = nil
	return f.Close()
}
