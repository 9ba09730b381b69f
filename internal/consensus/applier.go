package consensus

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// applier feeds the state machine on its own goroutine, so that a slow state machine does not delay
// heartbeats. Snapshots are encoded and stored on a further one, so that they do not delay commits.
type applier struct {
	node *Node

	mu sync.Mutex
	// queued is the index of the last entry in queue.
	queued  uint64
	queue   []work
	applied uint64
	// changed is closed and replaced when applied moves.
	changed chan struct{}
	waiting map[uint64]*proposal
	wake    chan struct{}

	// The fields below belong to the applier's goroutine.
	membership Membership
	// snapshot is the index of the last snapshot taken, size the bytes applied since and snapshotSize its
	// own bytes.
	snapshot     uint64
	size         int
	snapshotSize int
	// saving says that a snapshot is being stored; saved has its result.
	saving bool
	saved  chan savedSnapshot
}

// savedSnapshot is the result of storing a snapshot.
type savedSnapshot struct {
	meta journal.Meta
	err  error
}

// work is a batch of committed entries or a snapshot to restore.
type work struct {
	entries  []journal.Entry
	snapshot *installedSnapshot
}

func newApplier(n *Node, contents *journal.Contents) (*applier, error) {
	a := &applier{
		node: n, queued: contents.Meta.Index, applied: contents.Meta.Index, snapshot: contents.Meta.Index,
		changed: make(chan struct{}), waiting: make(map[uint64]*proposal), wake: make(chan struct{}, 1),
		saved: make(chan savedSnapshot, 1),
	}
	if contents.Meta.Index == 0 {
		return a, nil
	}
	return a, a.restore(&installedSnapshot{meta: contents.Meta, data: contents.Snapshot})
}

// commit queues what the log has committed since the last call. The entries stay in the log's memory
// until they are applied, so the queue needs no bound of its own.
func (a *applier) commit(l *entryLog, installed *installedSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if installed != nil {
		a.queue = append(a.queue, work{snapshot: installed})
		a.queued = installed.meta.Index
	}
	if entries := l.slice(a.queued+1, l.commit); len(entries) > 0 {
		a.queue = append(a.queue, work{entries: entries})
		a.queued = l.commit
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// expect registers the local proposer of the entry at index.
func (a *applier) expect(index uint64, p *proposal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[index] = p
}

// lose answers the local proposers of the entries after commit with err.
func (a *applier) lose(err error, commit uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, p := range a.waiting {
		if index <= commit {
			continue // It is committed, and the result follows.
		}
		p.done <- outcome{err: err}
		delete(a.waiting, index)
	}
}

func (a *applier) index() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// wait returns when the entry at index is applied.
func (a *applier) wait(ctx context.Context, index uint64) error {
	const op = "read"
	for {
		a.mu.Lock()
		applied, changed := a.applied, a.changed
		a.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), op, Lost, "wait for the state machine")
		case <-a.node.stopped:
			return fault.New(op, Stopped, "the node has stopped")
		}
	}
}

func (a *applier) run(ctx context.Context) error {
	defer func() {
		if a.saving {
			<-a.saved
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case result := <-a.saved:
			if err := a.stored(ctx, result); err != nil {
				return err
			}
			continue
		case <-a.wake:
		}
		a.mu.Lock()
		queue := a.queue
		a.queue = nil
		a.mu.Unlock()
		for _, w := range queue {
			if ctx.Err() != nil {
				return nil
			}
			if err := a.work(w); err != nil {
				return err
			}
		}
	}
}

func (a *applier) work(w work) error {
	if w.snapshot != nil {
		return a.restore(w.snapshot)
	}
	for i := range w.entries {
		if err := a.apply(&w.entries[i]); err != nil {
			return err
		}
	}
	if last := w.entries[len(w.entries)-1]; !a.saving && a.due(last.Index) {
		a.save(last)
	}
	return nil
}

// snapshotShare is the part of the last snapshot's size that the log reaches before the next one. With
// a full book of claims, snapshots after a fixed number of entries wrote 30 times the bytes of the log.
const snapshotShare = 4

// due reports whether enough was applied since the last snapshot.
func (a *applier) due(index uint64) bool {
	if a.size < a.snapshotSize/snapshotShare {
		return false
	}
	return a.size >= snapshotBytes || index >= a.snapshot+uint64(a.node.config.SnapshotEvery)
}

func (a *applier) apply(e *journal.Entry) error {
	var value any
	switch e.Type {
	case commandEntry:
		value = a.node.config.StateMachine.Apply(e.Index, e.Data)
	case membershipEntry:
		m, err := decodeMembership(e.Data)
		if err != nil {
			return fault.Wrap(err, "apply membership", Corrupt, "decode")
		}
		a.membership = m
		a.node.config.Logger.Info("Membership changed", zap.Uint64("index", e.Index), zap.Strings("members", m.describe()))
	}
	a.size += len(e.Data)
	a.mu.Lock()
	p := a.waiting[e.Index]
	delete(a.waiting, e.Index)
	a.advance(e.Index)
	a.mu.Unlock()
	switch {
	case p == nil:
	case p.term == e.Term:
		p.done <- outcome{value: value}
	default:
		p.done <- outcome{err: fault.New("propose", Lost, "another leader's entry took the place of this one")}
	}
	return nil
}

// advance is called with mu held.
func (a *applier) advance(index uint64) {
	a.applied = index
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *applier) restore(s *installedSnapshot) error {
	const op = "restore snapshot"
	m, err := decodeMembership(s.meta.Membership)
	if err != nil {
		return fault.Wrap(err, op, Corrupt, "membership")
	}
	if err := a.node.config.StateMachine.Restore(s.data); err != nil {
		return fault.Wrap(err, op, Corrupt, "state machine")
	}
	a.membership, a.snapshot, a.size, a.snapshotSize = m, s.meta.Index, 0, len(s.data)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(s.meta.Index)
	return nil
}

// save captures a snapshot and stores it beside the application of further entries.
func (a *applier) save(last journal.Entry) {
	encode := a.node.config.StateMachine.Snapshot()
	meta := journal.Meta{Index: last.Index, Term: last.Term, Membership: a.membership.encode()}
	a.snapshot, a.size, a.saving = last.Index, 0, true
	go func() {
		stored, err := a.store(meta, encode)
		a.saved <- savedSnapshot{meta: stored, err: err}
	}()
}

func (a *applier) store(meta journal.Meta, encode func() ([]byte, error)) (journal.Meta, error) {
	const op = "save snapshot"
	data, err := encode()
	if err != nil {
		return meta, fault.Wrap(err, op, Corrupt, "state machine")
	}
	meta.Size, meta.Checksum = uint64(len(data)), xxhash.Sum64(data)
	return meta, wrapJournal(a.node.journal.SaveSnapshot(meta, data), op)
}

// stored lets the event loop drop the entries that a stored snapshot covers.
func (a *applier) stored(ctx context.Context, result savedSnapshot) error {
	a.saving = false
	if result.err != nil {
		return result.err
	}
	meta := result.meta
	if meta.Index == a.snapshot {
		a.snapshotSize = int(meta.Size)
	}
	n := a.node
	n.config.Logger.Info("Saved a snapshot", zap.Uint64("index", meta.Index), zap.Uint64("bytes", meta.Size))
	_ = n.do(ctx, "save snapshot", func() {
		if n.core.snapshotStored(meta) {
			n.fatal = n.compact()
		}
	})
	return nil
}
