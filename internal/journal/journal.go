// Package journal stores the files of the replicated log: identity, log (term, vote and entries) and
// snapshots. Nothing is reported as stored before it is synced.
//
// Directory layout:
//
//	lock              locked while a process uses the directory
//	identity          member ID and random incarnation, written once
//	log-<n>           one live log file; a higher number replaces a lower one
//	snapshot-<index>  one live snapshot; a higher index replaces a lower one
package journal

import (
	"errors"
	"os"
	"path/filepath"
	"sync"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Corrupt means that stored bytes other than a torn tail of the log are damaged or missing.
	Corrupt Kind = "corrupt"
	// Disk means that an operation on a file failed. The journal refuses all further work.
	Disk Kind = "disk"
	// InUse means that another process has locked the directory.
	InUse Kind = "in use"
	// Missing means that the requested snapshot no longer exists.
	Missing Kind = "missing"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Entry is one entry of the replicated log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	// Type is interpreted by the consensus package.
	Type uint8
	Data []byte
}

// HardState is the part of a node's state that must survive a restart besides its entries.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	// Vote is the ID of the candidate that got this node's vote in Term, or empty.
	Vote string
}

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	_ struct{} `cbor:",toarray"`
	// Index and Term are those of the last entry that the snapshot covers.
	Index uint64
	Term  uint64
	// Membership is the encoded membership at Index.
	Membership []byte
	// Size is the length of the data in bytes.
	Size uint64
	// Checksum is the xxHash64 of the data.
	Checksum uint64
}

// Identity names a node. The incarnation is drawn at random when the directory is first used, so
// that a node that lost its files is told apart from the one that wrote them.
type Identity struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation string
}

// Config configures a Journal.
type Config struct {
	Directory string
	// ID is stored as the identity of a new directory.
	ID string
	// Sync replaces (*os.File).Sync, and Write replaces (*os.File).Write, in tests of failing disks.
	Sync  func(*os.File) error
	Write func(*os.File, []byte) (int, error)
}

// Contents holds what Open read from the directory.
type Contents struct {
	// New reports that the directory held no identity.
	New      bool
	Identity Identity
	State    HardState
	// Meta and Snapshot are zero when there is no snapshot.
	Meta     SnapshotMeta
	Snapshot []byte
	// Entries follow Meta.Index without a gap.
	Entries []Entry
	// TornBytes is the number of bytes dropped from the end of the log.
	TornBytes int
}

// Journal writes the files of one directory. Append and Compact must not run concurrently with each
// other; SaveSnapshot and ReadSnapshot may run concurrently with them.
type Journal struct {
	config       Config
	lock         *os.File
	log          *os.File
	logNumber    uint64
	nextSequence uint64
	buffer       []byte

	mu     sync.Mutex
	failed error
}

// Open locks the directory, which is created if needed, and reads it. The log is rewritten into a
// new file before it is used: after a failed sync in an earlier process, the page cache can hold
// bytes that never reached the disk and that no later sync of the same file would write.
func Open(config Config) (*Journal, *Contents, error) {
	const op = "open journal"
	if config.Sync == nil {
		config.Sync = (*os.File).Sync
	}
	if config.Write == nil {
		config.Write = (*os.File).Write
	}
	if err := os.MkdirAll(config.Directory, 0o700); err != nil {
		return nil, nil, fault.Wrap(err, op, Disk, config.Directory)
	}
	if err := syncDirectory(filepath.Dir(filepath.Clean(config.Directory)), config.Sync); err != nil {
		return nil, nil, err
	}
	lock, err := lockDirectory(config.Directory)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{config: config, lock: lock}
	contents, err := j.recover()
	if err != nil {
		_ = j.Close()
		return nil, nil, err
	}
	return j, contents, nil
}

// StoredIdentity returns the identity of a directory, and false when the directory holds none. Errors are of
// kind Disk or Corrupt.
func StoredIdentity(directory string) (Identity, bool, error) {
	j := &Journal{config: Config{Directory: directory}}
	var c Contents
	err := j.readIdentity(&c)
	return c.Identity, err == nil && !c.New, err
}

// Discard removes all files of a directory that no process uses, so that a member can return under a new ID. The
// identity goes first: after a crash in between, the rest must not count as the state of the old member.
func Discard(directory string) error {
	const op = "discard journal"
	if err := os.Remove(filepath.Join(directory, identityName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fault.Wrap(err, op, Disk, identityName)
	}
	if err := syncDirectory(directory, (*os.File).Sync); err != nil {
		return err
	}
	files, err := os.ReadDir(directory)
	if err != nil {
		return fault.Wrap(err, op, Disk, directory)
	}
	for _, file := range files {
		if err := os.Remove(filepath.Join(directory, file.Name())); err != nil {
			return fault.Wrap(err, op, Disk, file.Name())
		}
	}
	return syncDirectory(directory, (*os.File).Sync)
}

// Append stores state and entries, with one write and one sync per record of up to maxBatchBytes of
// entries. An entry replaces stored entries from its index on.
func (j *Journal) Append(state HardState, entries []Entry) error {
	const op = "append to log"
	if err := j.failure(); err != nil {
		return err
	}
	for first := true; first || len(entries) > 0; first = false {
		n := batchLength(entries)
		var err error
		j.buffer, err = appendRecord(j.buffer[:0], &record{Sequence: j.nextSequence, State: state, Entries: entries[:n]})
		if err != nil {
			return j.fail(fault.Wrap(err, op, Disk, "encode"))
		}
		entries = entries[n:]
		if err := j.write(j.log, j.buffer); err != nil {
			return j.fail(fault.Wrap(err, op, Disk, j.log.Name()))
		}
		// Each record is synced before the next is written, so at most the last one can be torn.
		if err := j.config.Sync(j.log); err != nil {
			return j.fail(fault.Wrap(err, op, Disk, j.log.Name()))
		}
		j.nextSequence++
	}
	if cap(j.buffer) > retainedBuffer {
		j.buffer = nil
	}
	return nil
}

// retainedBuffer is the largest encoding buffer kept between calls of Append, in bytes.
const retainedBuffer = 1 << 20

// batchLength returns how many entries fit into one record.
func batchLength(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data) + entryOverhead
		if size > maxBatchBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

// Compact replaces the log by a new file that holds state and entries, and removes older logs. It also
// removes the snapshots that are older than the newest of keepSnapshots, except those in keepSnapshots.
func (j *Journal) Compact(state HardState, entries []Entry, keepSnapshots []uint64) error {
	const op = "compact log"
	if err := j.failure(); err != nil {
		return err
	}
	var records []record
	for first := true; first || len(entries) > 0; first = false {
		n := batchLength(entries)
		records = append(records, record{Sequence: uint64(len(records)), State: state, Entries: entries[:n]})
		entries = entries[n:]
	}
	records[0].Initial = uint64(len(records))
	var encoded []byte
	for i := range records {
		var err error
		if encoded, err = appendRecord(encoded, &records[i]); err != nil {
			return j.fail(fault.Wrap(err, op, Disk, "encode"))
		}
	}
	number := j.logNumber + 1
	if err := j.replace(logName(number), encoded); err != nil {
		return j.fail(err)
	}
	log, err := os.OpenFile(j.path(logName(number)), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return j.fail(fault.Wrap(err, op, Disk, logName(number)))
	}
	if j.log != nil {
		_ = j.log.Close()
	}
	j.log = log
	j.logNumber = number
	j.nextSequence = uint64(len(records))
	return j.removeOld(keepSnapshots)
}

// SaveSnapshot stores a snapshot. The entries that it covers stay in the log until Compact is called.
func (j *Journal) SaveSnapshot(meta SnapshotMeta, data []byte) error {
	const op = "save snapshot"
	if err := j.failure(); err != nil {
		return err
	}
	encoded, err := encodeSnapshot(meta, data)
	if err != nil {
		return j.fail(fault.Wrap(err, op, Disk, "encode"))
	}
	if err := j.replace(snapshotName(meta.Index), encoded); err != nil {
		return j.fail(err)
	}
	return nil
}

// ReadSnapshot returns up to limit bytes of the snapshot at index, from offset on.
func (j *Journal) ReadSnapshot(index, offset uint64, limit int) ([]byte, error) {
	const op = "read snapshot"
	file, err := os.Open(j.path(snapshotName(index)))
	if err != nil {
		return nil, fault.Wrap(err, op, Missing, snapshotName(index))
	}
	defer file.Close()
	data, err := readSnapshotPart(file, offset, limit)
	return data, fault.Wrap(err, op, Corrupt, snapshotName(index))
}

// Close unlocks the directory. It syncs nothing: everything reported as stored has been synced already.
func (j *Journal) Close() error {
	if j.log != nil {
		_ = j.log.Close()
	}
	return fault.Wrap(j.lock.Close(), "close journal", Disk, j.config.Directory)
}

func (j *Journal) failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

// fail makes every later operation return err: after a failed write or sync the state of the file is
// unknown, and a later successful sync does not show that the earlier bytes are on the disk.
func (j *Journal) fail(err error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed == nil {
		j.failed = err
	}
	return j.failed
}
