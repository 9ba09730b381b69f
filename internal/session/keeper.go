package session

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Leader calls the control leader.
type Leader interface {
	Heartbeat(ctx context.Context, request HeartbeatRequest) (HeartbeatReply, error)
	Watch(ctx context.Context, request WatchRequest) (WatchReply, error)
	Snapshot(ctx context.Context, request SnapshotRequest) (SnapshotReply, error)
}

// KeeperConfig sets up a Keeper.
type KeeperConfig struct {
	Member Member
	Leader Leader
	Logger *zap.Logger
	// Learn, if set, is called with the peer addresses of the control instances when they change.
	Learn func(addresses []string)
}

// View is the state that an entry has received from the control leader. It is immutable.
type View struct {
	Configuration configuration.Configuration
	Members       []Member
	// MembershipVersion is the version of Members.
	MembershipVersion uint64
	Term              uint64
	// Quarantined are the fingerprints of requests that crash endpoints.
	Quarantined map[uint64]bool
	// Declaration is the declared document, zero before one is known. Its version never decreases.
	Declaration declaration.Document
	// Endpoints are the registered endpoints.
	Endpoints registration.List
	// dispatchers has the dispatcher of each cell.
	dispatchers map[string]Member
}

// Keeper keeps up the session of an entry with the control leader. It is safe for concurrent use.
type Keeper struct {
	config KeeperConfig

	mu                sync.Mutex
	member            Member
	view              View
	membershipVersion uint64
	quarantineVersion uint64
	// assignedFor is the configuration for which the view's dispatchers were computed.
	assignedFor configuration.Configuration
	// acceptedRevision is the newest accepted revision that a leader has reported.
	acceptedRevision uint64
	leaseEnd         time.Time
	// controlVersion is the version of the control instances' addresses.
	controlVersion uint64
	// cancelWatch cancels the current watch; nil before the first one.
	cancelWatch context.CancelFunc
	// changed is closed when the view changes.
	changed chan struct{}
	// heartbeatNow triggers a heartbeat.
	heartbeatNow chan struct{}
	// heartbeatDone is closed at the end of the next heartbeat.
	heartbeatDone chan struct{}
}

// NewKeeper returns a Keeper without a lease. Run obtains one.
func NewKeeper(config KeeperConfig) *Keeper {
	return &Keeper{config: config, member: config.Member, heartbeatNow: make(chan struct{}, 1), heartbeatDone: make(chan struct{}), changed: make(chan struct{})}
}

// Changed returns a channel that is closed when the view next changes.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// View returns the current view, and an error of kind Expired when no request may be admitted because the
// lease has expired. The lease is renewed only once the newest accepted revision is applied. Despite the
// error, the view may be used to tell clients the addresses of entries.
func (k *Keeper) View() (View, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !time.Now().Before(k.leaseEnd) {
		return k.view, fault.New("check lease", Expired, "the lease of instance %q has run out", k.member.Instance)
	}
	return k.view, nil
}

// Drain marks the instance as draining and sends a heartbeat at once.
func (k *Keeper) Drain() {
	k.mu.Lock()
	k.member.Draining = true
	k.mu.Unlock()
	k.requestHeartbeat()
}

func (k *Keeper) requestHeartbeat() {
	select {
	case k.heartbeatNow <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx ends, then ends the session.
func (k *Keeper) Run(ctx context.Context) error {
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		k.watch(ctx)
	}()
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		k.heartbeat(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-k.heartbeatNow:
		}
	}
	<-watchDone
	k.leave()
	return nil
}

// heartbeatTimeout leaves time for a second attempt within the lease.
const heartbeatTimeout = HeartbeatInterval

func (k *Keeper) heartbeat(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, heartbeatTimeout)
	defer cancel()
	defer k.signalHeartbeatDone()
	request := k.heartbeatRequest()
	sent := time.Now()
	reply, err := k.config.Leader.Heartbeat(ctx, request)
	if err != nil {
		k.config.Logger.Debug("Could not send a heartbeat", zap.Error(err))
		return
	}
	if reply.FetchSnapshot {
		k.fetchSnapshot(parent)
	}
	if k.applyReply(reply, sent) {
		// The leader counts a change as in force once it knows that it was applied.
		k.requestHeartbeat()
	}
}

func (k *Keeper) signalHeartbeatDone() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.heartbeatDone)
	k.heartbeatDone = make(chan struct{})
}

func (k *Keeper) heartbeatRequest() HeartbeatRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	return HeartbeatRequest{
		Member:            k.member,
		Revision:          k.view.Configuration.Revision,
		MembershipVersion: k.membershipVersion,
		QuarantineVersion: k.quarantineVersion,
		Known: Known{
			Declaration: k.view.Declaration.Version,
			Endpoints:   k.view.Endpoints.Version,
			Control:     k.controlVersion,
		},
	}
}

// applyReply applies a reply to the view and reports whether it brought a newer revision. A reply from an
// older term, or with an older revision than is known to be accepted, changes nothing.
func (k *Keeper) applyReply(reply HeartbeatReply, sent time.Time) (applied bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if reply.Term < k.view.Term || reply.Revision < k.acceptedRevision {
		return false
	}
	defer k.signalChange()
	before := k.view.Configuration
	if err := k.applyRevisions(reply); err != nil {
		k.config.Logger.Error("Could not apply the configuration", zap.Error(err))
		return false
	}
	if k.view.Term != reply.Term && k.cancelWatch != nil {
		// The watch may wait at the former leader, which no longer reports changes.
		k.cancelWatch()
	}
	k.view.Term = reply.Term
	k.acceptedRevision = reply.Revision
	membersChanged := k.applyMembers(reply)
	k.applyNews(reply.News)
	if membersChanged || !sameCells(k.assignedFor, k.view.Configuration) {
		k.assignedFor = k.view.Configuration
		k.view = k.view.WithDispatchers()
	}
	if reply.QuarantineChanged {
		k.view.Quarantined = toSet(reply.Quarantined)
		k.quarantineVersion = QuarantineVersion(reply.Quarantined)
	}
	if k.view.Configuration.Revision < k.acceptedRevision {
		return false
	}
	if end := sent.Add(reply.Lease); end.After(k.leaseEnd) {
		k.leaseEnd = end
	}
	return k.view.Configuration.Revision > before.Revision
}

// signalChange wakes those who wait for a change of the view. The caller holds k.mu.
func (k *Keeper) signalChange() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// applyNews applies the declaration, the endpoints and the control addresses. The caller holds k.mu.
func (k *Keeper) applyNews(news *News) {
	if news == nil {
		return
	}
	if d := news.Declaration; d != nil && d.Version > k.view.Declaration.Version {
		k.view.Declaration = *d
		k.config.Logger.Info("Took over a declaration", zap.Uint64("version", d.Version))
	}
	switch {
	case news.AllEndpoints:
		k.view.Endpoints = registration.NewList(news.Version.Endpoints, news.Endpoints)
	case len(news.EndpointChanges) > 0:
		k.view.Endpoints = k.view.Endpoints.WithChanges(news.Version.Endpoints, news.EndpointChanges)
	}
	k.controlVersion = news.Version.Control
	if len(news.Control) > 0 && k.config.Learn != nil {
		k.config.Learn(news.Control)
	}
}

// applyMembers updates the member list to the version of the reply and reports whether it changed. It
// copies the list because older views share it. The caller holds k.mu.
func (k *Keeper) applyMembers(reply HeartbeatReply) bool {
	k.membershipVersion = reply.MembershipVersion
	k.view.MembershipVersion = reply.MembershipVersion
	switch {
	case reply.AllMembers:
		k.view.Members = reply.Members
	case len(reply.MemberChanges) > 0:
		members := slices.Clone(k.view.Members)
		for _, change := range reply.MemberChanges {
			members = slices.DeleteFunc(members, func(m Member) bool { return m.Instance == change.Member.Instance })
			if !change.Removed {
				members = append(members, change.Member)
			}
		}
		sortMembers(members)
		k.view.Members = members
	default:
		return false
	}
	return true
}

// applyRevisions applies the configuration revisions of the reply. The caller holds k.mu.
func (k *Keeper) applyRevisions(reply HeartbeatReply) error {
	next := k.view.Configuration
	for _, r := range reply.Revisions {
		if r.Number <= next.Revision {
			continue
		}
		var err error
		next, err = next.WithRevision(r)
		if err != nil {
			return err
		}
	}
	k.view.Configuration = next
	return nil
}

// snapshotTimeout limits the download of a whole configuration.
const snapshotTimeout = 10 * time.Second

// fetchSnapshot replaces the configuration with the leader's.
func (k *Keeper) fetchSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	next, err := k.downloadConfiguration(ctx)
	if err != nil {
		k.config.Logger.Warn("Could not fetch the configuration", zap.Error(err))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if next.Revision > k.view.Configuration.Revision {
		k.view.Configuration = next
	}
}

func (k *Keeper) downloadConfiguration(ctx context.Context) (configuration.Configuration, error) {
	var data []byte
	var request SnapshotRequest
	for {
		reply, err := k.config.Leader.Snapshot(ctx, request)
		if err != nil {
			return configuration.Configuration{}, err
		}
		if request.Revision != 0 && reply.Revision != request.Revision {
			data, request = nil, SnapshotRequest{}
			continue
		}
		data = append(data, reply.Data...)
		request = SnapshotRequest{Revision: reply.Revision, Offset: len(data)}
		if len(data) >= reply.Total || len(reply.Data) == 0 {
			break
		}
	}
	var next configuration.Configuration
	err := snapshotDecoding.Unmarshal(data, &next)
	return next, err
}

// snapshotDecoding raises the size limits of the decoder for the maps of a large deployment.
var snapshotDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func toSet(fingerprints []uint64) map[uint64]bool {
	m := make(map[uint64]bool, len(fingerprints))
	for _, f := range fingerprints {
		m[f] = true
	}
	return m
}

// QuarantineVersion returns the sum of the fingerprints, so that equal sets have equal versions.
func QuarantineVersion(fingerprints []uint64) uint64 {
	var sum uint64
	for _, f := range fingerprints {
		sum += f
	}
	return sum
}

// watch long-polls the leader for changes and sends a heartbeat for each.
func (k *Keeper) watch(ctx context.Context) {
	for ctx.Err() == nil {
		request := k.heartbeatRequest()
		watchCtx, cancel := context.WithTimeout(ctx, WatchTime+heartbeatTimeout)
		k.mu.Lock()
		k.cancelWatch = cancel
		k.mu.Unlock()
		reply, err := k.config.Leader.Watch(watchCtx, WatchRequest{
			Revision:          request.Revision,
			MembershipVersion: request.MembershipVersion,
			QuarantineVersion: request.QuarantineVersion,
			Known:             request.Known,
		})
		cancel()
		switch {
		case errors.Is(err, context.Canceled):
			task.Pause(ctx, watchPause)
		case err != nil:
			task.Pause(ctx, HeartbeatInterval)
		case reply.Changed:
			k.awaitHeartbeat(ctx)
		}
	}
}

// awaitHeartbeat sends a heartbeat and waits for its end, so that the next watch starts from the versions
// that it brought.
func (k *Keeper) awaitHeartbeat(ctx context.Context) {
	k.mu.Lock()
	done := k.heartbeatDone
	k.mu.Unlock()
	k.requestHeartbeat()
	select {
	case <-done:
	case <-ctx.Done():
	}
	task.Pause(ctx, watchPause)
}

// watchPause limits an entry to 100 watches per second.
const watchPause = 10 * time.Millisecond

// leave ends the lease and then tells the leader, which from then on assumes that the entry admits nothing.
func (k *Keeper) leave() {
	k.mu.Lock()
	k.leaseEnd = time.Time{}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request := k.heartbeatRequest()
	request.Leave = true
	if _, err := k.config.Leader.Heartbeat(ctx, request); err != nil {
		k.config.Logger.Warn("Could not end the session; it ends when its lease expires", zap.Error(err))
	}
}
