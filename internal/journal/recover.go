package journal

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"os"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// incarnationBytes is the length of the random part of an identity.
const incarnationBytes = 16

// recover reads the directory and rewrites the log.
func (j *Journal) recover() (*Contents, error) {
	if err := j.removeTemporary(); err != nil {
		return nil, err
	}
	c := &Contents{}
	if err := j.readIdentity(c); err != nil {
		return nil, err
	}
	if err := j.readSnapshot(c); err != nil {
		return nil, err
	}
	if err := j.readLog(c); err != nil {
		return nil, err
	}
	if c.New && (c.State.Term != 0 || len(c.Entries) > 0 || c.Meta.Index != 0) {
		return nil, fault.New("read identity", Corrupt, "%s holds a log but no identity", j.config.Directory)
	}
	if err := j.Compact(c.State, c.Entries, []uint64{c.Meta.Index}); err != nil {
		return nil, err
	}
	if !c.New {
		return c, nil
	}
	// The identity is written last, so that a directory with an identity always has a log and a missing log
	// is detected as damage.
	return c, j.createIdentity(c)
}

func (j *Journal) removeTemporary() error {
	files, err := os.ReadDir(j.config.Directory)
	if err != nil {
		return fault.Wrap(err, "list directory", Disk, j.config.Directory)
	}
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), temporarySuffix) {
			continue
		}
		if err := os.Remove(j.path(file.Name())); err != nil {
			return fault.Wrap(err, "remove temporary file", Disk, file.Name())
		}
	}
	return nil
}

func (j *Journal) readIdentity(c *Contents) error {
	const op = "read identity"
	data, err := os.ReadFile(j.path(identityName))
	if errors.Is(err, os.ErrNotExist) {
		c.New = true
		return nil
	}
	if err != nil {
		return fault.Wrap(err, op, Disk, identityName)
	}
	payload, ok := decodeFrame(data)
	if !ok {
		return fault.New(op, Corrupt, "file %q is damaged", identityName)
	}
	return fault.Wrap(decMode.Unmarshal(payload, &c.Identity), op, Corrupt, identityName)
}

func (j *Journal) createIdentity(c *Contents) error {
	const op = "create identity"
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return fault.Wrap(err, op, Disk, "incarnation")
	}
	c.Identity = Identity{ID: j.config.ID, Incarnation: hex.EncodeToString(random)}
	payload, err := cbor.Marshal(c.Identity)
	if err != nil {
		return fault.Wrap(err, op, Disk, "encode")
	}
	return j.replace(identityName, appendFrame(nil, payload))
}

func (j *Journal) readSnapshot(c *Contents) error {
	const op = "read snapshot"
	highest, all, err := j.listNumbered(snapshotPrefix)
	if err != nil || len(all) == 0 {
		return err
	}
	data, err := os.ReadFile(j.path(snapshotName(highest)))
	if err != nil {
		return fault.Wrap(err, op, Disk, snapshotName(highest))
	}
	c.Meta, c.Snapshot, err = decodeSnapshot(data)
	return err
}

func (j *Journal) readLog(c *Contents) error {
	const op = "read log"
	highest, all, err := j.listNumbered(logPrefix)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		if c.New {
			return nil
		}
		return fault.New(op, Corrupt, "%s has an identity but no log", j.config.Directory)
	}
	j.logNumber = highest
	data, err := os.ReadFile(j.path(logName(highest)))
	if err != nil {
		return fault.Wrap(err, op, Disk, logName(highest))
	}
	records, valid, err := decodeLog(data)
	if err != nil {
		return err
	}
	c.TornBytes = len(data) - valid
	var entries []Entry
	for i := range records {
		c.State = records[i].State
		if entries, err = merge(entries, records[i].Entries); err != nil {
			return err
		}
	}
	c.Entries, err = entriesAfter(c.Meta, entries)
	return err
}

// merge appends entries to log. An entry replaces those of log from its index on.
func merge(log, entries []Entry) ([]Entry, error) {
	for i := range entries {
		e := entries[i]
		if len(log) > 0 {
			first, last := log[0].Index, log[len(log)-1].Index
			if e.Index < first || e.Index > last+1 {
				return nil, fault.New("read log", Corrupt, "entry %d follows entry %d", e.Index, last)
			}
			log = log[:e.Index-first]
		}
		log = append(log, e)
	}
	return log, nil
}

// entriesAfter returns the entries after the snapshot. A crash between the installation of a snapshot and the
// compaction of the log leaves a log that ends before the snapshot or conflicts with it; all its entries are
// then obsolete.
func entriesAfter(meta SnapshotMeta, entries []Entry) ([]Entry, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	switch {
	case first > meta.Index+1:
		return nil, fault.New("read log", Corrupt, "the log starts at entry %d, the snapshot ends at %d", first, meta.Index)
	case last <= meta.Index:
		return nil, nil
	case first == meta.Index+1:
		return entries, nil
	case entries[meta.Index-first].Term != meta.Term:
		return nil, nil
	}
	return entries[meta.Index-first+1:], nil
}
