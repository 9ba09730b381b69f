package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

func open(t *testing.T, directory string) (*Journal, *Contents) {
	t.Helper()
	j, contents, err := Open(Config{Directory: directory, ID: "a"})
	if err != nil {
		t.Fatal(err)
	}
	return j, contents
}

func entry(index, term uint64) Entry {
	return Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

// createLog writes a log with entries 1 to 5, one per record, and returns its directory and its path.
func createLog(t *testing.T) (directory, log string) {
	t.Helper()
	directory = t.TempDir()
	j, _ := open(t, directory)
	for i := uint64(1); i <= 5; i++ {
		if err := j.Append(HardState{Term: i, Vote: "b"}, []Entry{entry(i, i)}); err != nil {
			t.Fatal(err)
		}
	}
	log = j.log.Name()
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return directory, log
}

// Guards against state that is lost, reordered or added when the journal is opened again, and against entries
// that remain after those of another term have replaced them.
func TestReopen(t *testing.T) {
	is := is.New(t)
	directory, _ := createLog(t)
	j, c := open(t, directory)
	is.Equal(len(c.Entries), 5)
	is.Equal(c.State, HardState{Term: 5, Vote: "b"})
	is.True(!c.New)
	identity := c.Identity
	is.NoErr(j.Append(HardState{Term: 6}, []Entry{entry(3, 6)}))
	is.NoErr(j.Close())
	j, c = open(t, directory)
	is.Equal(c.Entries, []Entry{entry(1, 1), entry(2, 2), entry(3, 6)})
	is.Equal(c.State, HardState{Term: 6})
	is.Equal(c.Identity, identity)
	is.NoErr(j.Close())
}

// Guards against two processes that write one directory.
func TestLock(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	j, _ := open(t, directory)
	_, _, err := Open(Config{Directory: directory, ID: "a"})
	is.True(fault.Is(err, InUse))
	is.NoErr(j.Close())
}

// splitLog returns the bytes of the log that createLog writes, its records and the bytes of the last record.
func splitLog(t *testing.T) (data []byte, records []record, last []byte) {
	t.Helper()
	is := is.New(t)
	_, log := createLog(t)
	data, err := os.ReadFile(log)
	is.NoErr(err)
	records, _, err = decodeLog(data)
	is.NoErr(err)
	last, err = appendRecord(nil, &records[len(records)-1])
	is.NoErr(err)
	return data, records, last
}

// Guards against a torn last write that prevents the node from starting or that is read as an entry: the log is
// truncated at each byte of its last record.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	data, _, last := splitLog(t)
	for cut := 1; cut <= len(last); cut++ {
		directory, log := createLog(t)
		is.NoErr(os.Truncate(log, int64(len(data)-cut)))
		j, c := open(t, directory)
		is.Equal(len(c.Entries), 4)
		is.Equal(c.TornBytes, len(last)-cut)
		is.NoErr(j.Close())
	}
}

// naiveDecode returns the number of records before the first unreadable one. A decoder that stops there loses
// synced entries without an error.
func naiveDecode(data []byte) int {
	n := 0
	for payload, ok := decodeFrame(data); ok; payload, ok = decodeFrame(data) {
		data = data[headerBytes+len(payload):]
		n++
	}
	return n
}

// Guards against damage before the last record that is mistaken for a torn tail. Each byte of the log is
// damaged in turn.
func TestDamagedRecord(t *testing.T) {
	is := is.New(t)
	data, records, last := splitLog(t)
	for i := range len(data) - len(last) {
		data[i] ^= 0x10
		is.True(naiveDecode(data) < len(records)) // the naive reader drops records
		_, _, err := decodeLog(data)
		if !fault.Is(err, Corrupt) {
			t.Fatalf("damaged byte %d: %v", i, err)
		}
		data[i] ^= 0x10
	}
}

// Guards against missing or damaged files that are not reported.
func TestDamagedFiles(t *testing.T) {
	for name, damage := range map[string]func(directory, log string) error{
		"log missing":      func(_, log string) error { return os.Remove(log) },
		"log empty":        func(_, log string) error { return os.Truncate(log, 0) },
		"identity missing": func(directory, _ string) error { return os.Remove(filepath.Join(directory, identityName)) },
		"identity damaged": func(directory, _ string) error { return os.Truncate(filepath.Join(directory, identityName), 9) },
		"snapshot damaged": func(directory, _ string) error {
			return os.WriteFile(filepath.Join(directory, snapshotName(3)), []byte("damaged"), 0o600)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			directory, log := createLog(t)
			is.NoErr(damage(directory, log))
			_, _, err := Open(Config{Directory: directory, ID: "a"})
			is.True(fault.Is(err, Corrupt))
		})
	}
}

// Guards against a journal that keeps working after a failed write or sync. The disk works again at once, but
// the journal must still fail: the bytes of the failed sync may be lost.
func TestFailedDisk(t *testing.T) {
	errDisk := errors.New("no space left on device")
	for name, test := range map[string]struct {
		sync, write bool
		err         error
		operate     func(*Journal) error
	}{
		"sync of an append":      {sync: true, err: errDisk, operate: func(j *Journal) error { return j.Append(HardState{Term: 1}, nil) }},
		"write of an append":     {write: true, err: errDisk, operate: func(j *Journal) error { return j.Append(HardState{Term: 1}, nil) }},
		"sync of a compaction":   {sync: true, err: errDisk, operate: func(j *Journal) error { return j.Compact(HardState{Term: 1}, nil, nil) }},
		"write of a snapshot":    {write: true, err: errDisk, operate: func(j *Journal) error { return j.SaveSnapshot(SnapshotMeta{Index: 1}, nil) }},
		"short write, no errors": {write: true, operate: func(j *Journal) error { return j.Append(HardState{Term: 1}, nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := false
			directory := t.TempDir()
			config := Config{Directory: directory, ID: "a"}
			config.Sync = func(f *os.File) error {
				if broken && test.sync {
					return errDisk
				}
				return f.Sync()
			}
			config.Write = func(f *os.File, data []byte) (int, error) {
				if broken && test.write {
					n, _ := f.Write(data[:len(data)/2])
					return n, test.err
				}
				return f.Write(data)
			}
			j, _, err := Open(config)
			is.NoErr(err)
			broken = true
			is.True(fault.Is(test.operate(j), Disk))
			broken = false
			is.True(fault.Is(j.Append(HardState{Term: 2}, nil), Disk))
			is.True(fault.Is(j.Compact(HardState{Term: 2}, nil, nil), Disk))
			is.True(fault.Is(j.SaveSnapshot(SnapshotMeta{Index: 2}, nil), Disk))
			is.NoErr(j.Close())
			j, c := open(t, directory)
			is.True(c.State.Term < 2)
			is.NoErr(j.Close())
		})
	}
}

// Guards against a retry after a failed sync. The kernel may drop the bytes of a failed sync and report the next
// one as successful, which is simulated here. The naive version ignores the failure and continues, and loses a
// record that precedes one reported as stored.
func TestNoRetryAfterFailedSync(t *testing.T) {
	for name, naive := range map[string]bool{"stops": false, "naive": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			directory := t.TempDir()
			broken := false
			var synced int64
			config := Config{Directory: directory, ID: "a", Sync: func(f *os.File) error {
				info, err := f.Stat()
				if err != nil {
					return err
				}
				if broken {
					broken = false
					return errors.Join(errors.New("input/output error"), os.Truncate(f.Name(), synced))
				}
				synced = info.Size()
				return f.Sync()
			}}
			j, _, err := Open(config)
			is.NoErr(err)
			is.NoErr(j.Append(HardState{Term: 1}, []Entry{entry(1, 1)}))
			broken = true
			is.True(j.Append(HardState{Term: 1}, []Entry{entry(2, 1)}) != nil)
			if naive {
				j.failed = nil
				j.nextSequence++
			}
			is.Equal(j.Append(HardState{Term: 1}, []Entry{entry(3, 1)}) == nil, naive)
			is.NoErr(j.Close())
			j, c, err := Open(Config{Directory: directory, ID: "a"})
			is.Equal(err != nil, naive)
			if !naive {
				is.Equal(c.Entries, []Entry{entry(1, 1)})
				is.NoErr(j.Close())
			}
		})
	}
}

// Guards against a snapshot that loses the entries after it, keeps those before it, or cannot be read in parts.
func TestSnapshot(t *testing.T) {
	data := []byte("state of the machine")
	for name, test := range map[string]struct {
		meta    SnapshotMeta
		compact bool
		want    []Entry
	}{
		"not compacted":        {meta: SnapshotMeta{Index: 3, Term: 3}, want: []Entry{entry(4, 4), entry(5, 5)}},
		"compacted":            {meta: SnapshotMeta{Index: 3, Term: 3}, compact: true, want: []Entry{entry(4, 4), entry(5, 5)}},
		"log ends before it":   {meta: SnapshotMeta{Index: 9, Term: 9}},
		"log disagrees":        {meta: SnapshotMeta{Index: 3, Term: 7}},
		"covers all the log":   {meta: SnapshotMeta{Index: 5, Term: 5}, compact: true},
		"disagrees, compacted": {meta: SnapshotMeta{Index: 3, Term: 7}, compact: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			directory, _ := createLog(t)
			j, _ := open(t, directory)
			test.meta.Size, test.meta.Checksum = uint64(len(data)), xxhash.Sum64(data)
			is.NoErr(j.SaveSnapshot(test.meta, data))
			if test.compact {
				is.NoErr(j.Compact(HardState{Term: 9}, test.want, []uint64{test.meta.Index}))
			}
			part, err := j.ReadSnapshot(test.meta.Index, 6, 2)
			is.NoErr(err)
			is.Equal(string(part), "of")
			_, err = j.ReadSnapshot(test.meta.Index+1, 0, 2)
			is.True(fault.Is(err, Missing))
			is.NoErr(j.Close())
			j, c := open(t, directory)
			is.Equal(c.Snapshot, data)
			is.Equal(c.Meta, test.meta)
			is.Equal(c.Entries, test.want)
			is.NoErr(j.Close())
		})
	}
}

// Guards against a decoder that panics, allocates without bound or accepts bytes that it would not
// write.
func FuzzDecodeLog(f *testing.F) {
	good, err := appendRecord(nil, &record{Initial: 1, State: HardState{Term: 1, Vote: "a"}, Entries: []Entry{entry(1, 1)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(append(good, good...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, valid, err := decodeLog(data)
		if err != nil {
			return
		}
		if valid > len(data) || len(records) == 0 {
			t.Fatalf("%d records in %d of %d bytes", len(records), valid, len(data))
		}
	})
}

// Guards against a snapshot decoder that accepts damaged data.
func FuzzDecodeSnapshot(f *testing.F) {
	data := []byte("state")
	good, err := encodeSnapshot(SnapshotMeta{Index: 1, Term: 1, Size: uint64(len(data)), Checksum: xxhash.Sum64(data)}, data)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Fuzz(func(t *testing.T, encoded []byte) {
		meta, data, err := decodeSnapshot(encoded)
		if err == nil && xxhash.Sum64(data) != meta.Checksum {
			t.Fatal("the checksum does not match")
		}
	})
}

// BenchmarkAppend measures one record with one entry of 256 bytes, synced.
func BenchmarkAppend(b *testing.B) {
	j, _, err := Open(Config{Directory: b.TempDir(), ID: "a"})
	if err != nil {
		b.Fatal(err)
	}
	entries := []Entry{{Index: 1, Term: 1, Data: make([]byte, 256)}}
	for b.Loop() {
		if err := j.Append(HardState{Term: 1}, entries); err != nil {
			b.Fatal(err)
		}
		entries[0].Index++
	}
	_ = j.Close()
}

// Guards against a directory that keeps its identity without its log, or with an older one, when it is discarded only
// in part: the member would vote again without what it has stored.
func TestDiscardRemovesTheIdentityFirst(t *testing.T) {
	is := is.New(t)
	directory, _ := createLog(t)
	is.NoErr(os.MkdirAll(filepath.Join(directory, "a", "b"), 0o700)) // cannot be removed, and is listed first
	is.True(fault.Is(Discard(directory), Disk))
	_, hasStored, err := StoredIdentity(directory)
	is.NoErr(err)
	is.True(!hasStored)
	is.NoErr(os.RemoveAll(filepath.Join(directory, "a")))
	is.NoErr(Discard(directory))
	files, err := os.ReadDir(directory)
	is.NoErr(err)
	is.Equal(len(files), 0)
}
