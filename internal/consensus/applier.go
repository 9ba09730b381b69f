package consensus

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// applier applies committed entries to the state machine on its own goroutine, so that a slow state
// machine does not delay heartbeats. Snapshots are encoded and stored on another goroutine, so that
// they do not delay the application of entries.
type applier struct {
	node *Node

	mu sync.Mutex
	// lastQueued is the index of the last entry in queue.
	lastQueued uint64
	queue      []applyTask
	applied    uint64
	// appliedChanged is closed and replaced whenever applied changes.
	appliedChanged   chan struct{}
	pendingProposals map[uint64]*proposal
	wake             chan struct{}

	// The fields below are used by the applier's goroutine only.
	membership Membership
	// lastSnapshotIndex and lastSnapshotSize describe the last snapshot taken. bytesSinceSnapshot
	// is the size of the entries applied since.
	lastSnapshotIndex  uint64
	bytesSinceSnapshot int
	lastSnapshotSize   int
	// savingSnapshot is true while a snapshot is being stored; savedSnapshots receives the result.
	savingSnapshot bool
	savedSnapshots chan savedSnapshot
}

// savedSnapshot is the result of storing a snapshot.
type savedSnapshot struct {
	meta journal.SnapshotMeta
	err  error
}

// applyTask is either a batch of committed entries or a snapshot to restore.
type applyTask struct {
	entries  []journal.Entry
	snapshot *installedSnapshot
}

func newApplier(n *Node, contents *journal.Contents) (*applier, error) {
	a := &applier{
		node: n, lastQueued: contents.Meta.Index, applied: contents.Meta.Index, lastSnapshotIndex: contents.Meta.Index,
		appliedChanged: make(chan struct{}), pendingProposals: make(map[uint64]*proposal), wake: make(chan struct{}, 1),
		savedSnapshots: make(chan savedSnapshot, 1),
	}
	if contents.Meta.Index == 0 {
		return a, nil
	}
	return a, a.restore(&installedSnapshot{meta: contents.Meta, data: contents.Snapshot})
}

// enqueueCommitted queues a snapshot received from the leader, if any, and the entries committed
// since the last call. The entries stay in the log's memory until they are applied, so the queue
// itself needs no bound.
func (a *applier) enqueueCommitted(l *entryLog, installed *installedSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if installed != nil {
		a.queue = append(a.queue, applyTask{snapshot: installed})
		a.lastQueued = installed.meta.Index
	}
	if entries := l.slice(a.lastQueued+1, l.commitIndex); len(entries) > 0 {
		a.queue = append(a.queue, applyTask{entries: entries})
		a.lastQueued = l.commitIndex
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// registerProposal registers the local proposal of the entry at index.
func (a *applier) registerProposal(index uint64, p *proposal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingProposals[index] = p
}

// failProposals completes the local proposals of the entries after commitIndex with err.
func (a *applier) failProposals(err error, commitIndex uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, p := range a.pendingProposals {
		if index <= commitIndex {
			continue // It is committed, so its result will follow.
		}
		p.done <- outcome{err: err}
		delete(a.pendingProposals, index)
	}
}

func (a *applier) appliedIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// waitApplied waits until the entry at index is applied.
func (a *applier) waitApplied(ctx context.Context, index uint64) error {
	const op = "read"
	for {
		a.mu.Lock()
		applied, changed := a.applied, a.appliedChanged
		a.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), op, OutcomeUnknown, "wait for the state machine")
		case <-a.node.stopped:
			return fault.New(op, Stopped, "the node has stopped")
		}
	}
}

func (a *applier) run(ctx context.Context) error {
	defer func() {
		if a.savingSnapshot {
			<-a.savedSnapshots
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case result := <-a.savedSnapshots:
			if err := a.snapshotStored(ctx, result); err != nil {
				return err
			}
			continue
		case <-a.wake:
		}
		a.mu.Lock()
		queue := a.queue
		a.queue = nil
		a.mu.Unlock()
		for _, task := range queue {
			if ctx.Err() != nil {
				return nil
			}
			if err := a.process(task); err != nil {
				return err
			}
		}
	}
}

func (a *applier) process(task applyTask) error {
	if task.snapshot != nil {
		return a.restore(task.snapshot)
	}
	for i := range task.entries {
		if err := a.apply(&task.entries[i]); err != nil {
			return err
		}
	}
	if last := task.entries[len(task.entries)-1]; !a.savingSnapshot && a.snapshotDue(last.Index) {
		a.startSnapshot(last)
	}
	return nil
}

// snapshotLogDivisor delays the next snapshot until the entries applied since the last one have
// reached a quarter of that snapshot's size. When snapshots were taken after a fixed number of
// entries, a control state full of claims caused 30 times as many bytes written for snapshots as
// for the log.
const snapshotLogDivisor = 4

// snapshotDue reports whether enough entries were applied since the last snapshot to take another
// one.
func (a *applier) snapshotDue(index uint64) bool {
	if a.bytesSinceSnapshot < a.lastSnapshotSize/snapshotLogDivisor {
		return false
	}
	return a.bytesSinceSnapshot >= snapshotBytes || index >= a.lastSnapshotIndex+uint64(a.node.config.SnapshotEvery)
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
	a.bytesSinceSnapshot += len(e.Data)
	a.mu.Lock()
	p := a.pendingProposals[e.Index]
	delete(a.pendingProposals, e.Index)
	a.setApplied(e.Index)
	a.mu.Unlock()
	switch {
	case p == nil:
	case p.term == e.Term:
		p.done <- outcome{value: value}
	default:
		p.done <- outcome{err: fault.New("propose", OutcomeUnknown, "another leader's entry took the place of this one")}
	}
	return nil
}

// setApplied must be called with mu held.
func (a *applier) setApplied(index uint64) {
	a.applied = index
	close(a.appliedChanged)
	a.appliedChanged = make(chan struct{})
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
	a.membership, a.lastSnapshotIndex, a.bytesSinceSnapshot, a.lastSnapshotSize = m, s.meta.Index, 0, len(s.data)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setApplied(s.meta.Index)
	return nil
}

// startSnapshot captures a snapshot and stores it in the background while further entries are
// applied.
func (a *applier) startSnapshot(last journal.Entry) {
	encode := a.node.config.StateMachine.Snapshot()
	meta := journal.SnapshotMeta{Index: last.Index, Term: last.Term, Membership: a.membership.encode()}
	a.lastSnapshotIndex, a.bytesSinceSnapshot, a.savingSnapshot = last.Index, 0, true
	go func() {
		stored, err := a.storeSnapshot(meta, encode)
		a.savedSnapshots <- savedSnapshot{meta: stored, err: err}
	}()
}

func (a *applier) storeSnapshot(meta journal.SnapshotMeta, encode func() ([]byte, error)) (journal.SnapshotMeta, error) {
	const op = "save snapshot"
	data, err := encode()
	if err != nil {
		return meta, fault.Wrap(err, op, Corrupt, "state machine")
	}
	meta.Size, meta.Checksum = uint64(len(data)), xxhash.Sum64(data)
	return meta, wrapJournalError(a.node.journal.SaveSnapshot(meta, data), op)
}

// snapshotStored makes the event loop drop the entries that a stored snapshot covers.
func (a *applier) snapshotStored(ctx context.Context, result savedSnapshot) error {
	a.savingSnapshot = false
	if result.err != nil {
		return result.err
	}
	meta := result.meta
	if meta.Index == a.lastSnapshotIndex {
		a.lastSnapshotSize = int(meta.Size)
	}
	n := a.node
	n.config.Logger.Info("Saved a snapshot", zap.Uint64("index", meta.Index), zap.Uint64("bytes", meta.Size))
	_ = n.runOnLoop(ctx, "save snapshot", func() {
		if n.core.snapshotStored(meta) {
			n.fatalErr = n.compact()
		}
	})
	return nil
}
