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
	"github.com/dandelionpier/dandelionpier/internal/crash"
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

// ClientConfig configures a Client.
type ClientConfig struct {
	Member Member
	Leader Leader
	Logger *zap.Logger
	// OnControlAddresses, if set, is called with the peer addresses of the control instances when they
	// change.
	OnControlAddresses func(addresses []string)
}

// View is the state that an entry has received from the control leader. It is immutable.
type View struct {
	Configuration configuration.Configuration
	Members       []Member
	// MembershipVersion changes whenever Members do. It counts the changes that this process has seen.
	MembershipVersion uint64
	Term              uint64
	// Quarantined are the fingerprints of requests that crash endpoints.
	Quarantined map[uint64]bool
	// Blames are the parts of prompts that are blamed for crashes.
	Blames crash.Blames
	// Declaration is the declared document, zero before one is known. Its version never decreases.
	Declaration declaration.Document
	// Endpoints are the registered endpoints.
	Endpoints registration.List
	// dispatchers has the dispatcher of each cell.
	dispatchers map[string]Member
}

// Client maintains the session of an entry with the control leader. It is safe for concurrent use.
type Client struct {
	config ClientConfig

	mu                sync.Mutex
	member            Member
	view              View
	membershipVersion uint64
	quarantineVersion uint64
	blameVersion      uint64
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

// NewClient returns a Client without a lease. Run obtains one.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, member: config.Member, heartbeatNow: make(chan struct{}, 1), heartbeatDone: make(chan struct{}), changed: make(chan struct{})}
}

// Changed returns a channel that is closed when the view next changes.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// View returns the current view, and an error of kind Expired when no request may be admitted because the
// lease has expired. The lease is renewed only once the newest accepted revision is applied. Despite the
// error, the view may be used to tell clients the addresses of entries.
func (c *Client) View() (View, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.leaseEnd) {
		return c.view, fault.New("check lease", Expired, "the lease of instance %q has run out", c.member.Instance)
	}
	return c.view, nil
}

// Blames returns the parts of prompts that are blamed for crashes. They stay in effect after the lease has expired.
func (c *Client) Blames() crash.Blames {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Blames
}

// Drain marks the instance as draining and sends a heartbeat at once.
func (c *Client) Drain() {
	c.mu.Lock()
	c.member.Draining = true
	c.mu.Unlock()
	c.requestHeartbeat()
}

func (c *Client) requestHeartbeat() {
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx ends, then ends the session.
func (c *Client) Run(ctx context.Context) error {
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		c.watch(ctx)
	}()
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.heartbeat(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-c.heartbeatNow:
		}
	}
	<-watchDone
	c.leave()
	return nil
}

// heartbeatTimeout leaves time for a second attempt within the lease.
const heartbeatTimeout = HeartbeatInterval

func (c *Client) heartbeat(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, heartbeatTimeout)
	defer cancel()
	defer c.signalHeartbeatDone()
	request := c.heartbeatRequest()
	sent := time.Now()
	reply, err := c.config.Leader.Heartbeat(ctx, request)
	if err != nil {
		c.config.Logger.Debug("Could not send a heartbeat", zap.Error(err))
		return
	}
	if reply.FetchSnapshot {
		c.fetchSnapshot(parent)
	}
	if c.applyReply(reply, sent) {
		// The leader counts a change as in force once it knows that it was applied.
		c.requestHeartbeat()
	}
}

func (c *Client) signalHeartbeatDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.heartbeatDone)
	c.heartbeatDone = make(chan struct{})
}

func (c *Client) heartbeatRequest() HeartbeatRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return HeartbeatRequest{
		Member:            c.member,
		Revision:          c.view.Configuration.Revision,
		MembershipVersion: c.membershipVersion,
		QuarantineVersion: c.quarantineVersion,
		TracksBlames:      true,
		BlameVersion:      c.blameVersion,
		Known: KnownVersions{
			Declaration: c.view.Declaration.Version,
			Endpoints:   c.view.Endpoints.Version,
			Control:     c.controlVersion,
		},
	}
}

// applyReply applies a reply to the view and reports whether it brought a newer revision. A reply from an
// older term, or with an older revision than is known to be accepted, changes nothing.
func (c *Client) applyReply(reply HeartbeatReply, sent time.Time) (applied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Term < c.view.Term || reply.Revision < c.acceptedRevision {
		return false
	}
	defer c.signalChange()
	before := c.view.Configuration
	if err := c.applyRevisions(reply); err != nil {
		c.config.Logger.Error("Could not apply the configuration", zap.Error(err))
		return false
	}
	if c.view.Term != reply.Term && c.cancelWatch != nil {
		// The watch may wait at the former leader, which no longer reports changes.
		c.cancelWatch()
	}
	c.view.Term = reply.Term
	c.acceptedRevision = reply.Revision
	membersChanged := c.applyMembers(reply)
	if !reply.FetchSnapshot || c.view.Configuration.Revision >= reply.Revision {
		// Without the configuration, an entry that has just started would serve declared routes and not know what is drained.
		c.applyUpdate(reply.News)
	}
	if membersChanged || !sameCells(c.assignedFor, c.view.Configuration) {
		c.assignedFor = c.view.Configuration
		c.view = c.view.WithDispatchers()
	}
	if reply.QuarantineChanged {
		c.view.Quarantined = toSet(reply.Quarantined)
		c.quarantineVersion = QuarantineVersion(reply.Quarantined)
	}
	if u := reply.Blames; u != nil {
		c.view.Blames, c.blameVersion = crash.LocalBlames(u.Blames, u.AsOf, time.Now()), crash.Version(u.Blames)
		c.config.Logger.Info("Took over the parts of prompts that are blamed for crashes", zap.Strings("parts", c.view.Blames.Parts()))
	}
	if c.view.Configuration.Revision < c.acceptedRevision {
		return false
	}
	if end := sent.Add(reply.Lease); end.After(c.leaseEnd) {
		c.leaseEnd = end
	}
	return c.view.Configuration.Revision > before.Revision
}

// signalChange wakes those who wait for a change of the view. The caller holds c.mu.
func (c *Client) signalChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// applyUpdate applies the declaration, the endpoints and the control addresses. The caller holds c.mu.
func (c *Client) applyUpdate(update *Update) {
	if update == nil {
		return
	}
	if d := update.Declaration; d != nil && d.Version > c.view.Declaration.Version {
		c.view.Declaration = *d
		c.config.Logger.Info("Took over a declaration", zap.Uint64("version", d.Version))
	}
	switch {
	case update.AllEndpoints:
		c.view.Endpoints = registration.NewList(update.Version.Endpoints, update.Endpoints)
	case len(update.EndpointChanges) > 0:
		c.view.Endpoints = c.view.Endpoints.WithChanges(update.Version.Endpoints, update.EndpointChanges)
	}
	c.controlVersion = update.Version.Control
	if len(update.Control) > 0 && c.config.OnControlAddresses != nil {
		c.config.OnControlAddresses(update.Control)
	}
}

// applyMembers updates the member list to the version of the reply and reports whether it changed. It
// copies the list because older views share it. The caller holds c.mu.
func (c *Client) applyMembers(reply HeartbeatReply) bool {
	members := c.view.Members
	switch {
	case reply.AllMembers:
		members = reply.Members
	case len(reply.MemberChanges) > 0:
		members = slices.Clone(members)
		for _, change := range reply.MemberChanges {
			members = slices.DeleteFunc(members, func(m Member) bool { return m.Instance == change.Member.Instance })
			if !change.Removed {
				members = append(members, change.Member)
			}
		}
		sortMembers(members)
	}
	if slices.Equal(members, c.view.Members) {
		return false
	}
	c.view.Members = members
	c.view.MembershipVersion++
	// The version is that of the list that this entry holds, which may differ from the leader's in the first lease of a
	// term.
	c.membershipVersion = membersVersion(members)
	return true
}

// applyRevisions applies the configuration revisions of the reply. The caller holds c.mu.
func (c *Client) applyRevisions(reply HeartbeatReply) error {
	next := c.view.Configuration
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
	c.view.Configuration = next
	return nil
}

// snapshotTimeout limits the download of a whole configuration.
const snapshotTimeout = 10 * time.Second

// fetchSnapshot replaces the configuration with the leader's.
func (c *Client) fetchSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	next, err := c.downloadConfiguration(ctx)
	if err != nil {
		c.config.Logger.Warn("Could not fetch the configuration", zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Revision > c.view.Configuration.Revision {
		c.view.Configuration = next
	}
}

func (c *Client) downloadConfiguration(ctx context.Context) (configuration.Configuration, error) {
	var data []byte
	var request SnapshotRequest
	for {
		reply, err := c.config.Leader.Snapshot(ctx, request)
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
func (c *Client) watch(ctx context.Context) {
	for ctx.Err() == nil {
		request := c.heartbeatRequest()
		watchCtx, cancel := context.WithTimeout(ctx, WatchTimeout+heartbeatTimeout)
		c.mu.Lock()
		c.cancelWatch = cancel
		c.mu.Unlock()
		reply, err := c.config.Leader.Watch(watchCtx, WatchRequest{
			Revision:          request.Revision,
			MembershipVersion: request.MembershipVersion,
			QuarantineVersion: request.QuarantineVersion,
			TracksBlames:      request.TracksBlames,
			BlameVersion:      request.BlameVersion,
			Known:             request.Known,
		})
		cancel()
		switch {
		case errors.Is(err, context.Canceled):
			task.Pause(ctx, watchPause)
		case err != nil:
			task.Pause(ctx, HeartbeatInterval)
		case reply.Changed:
			c.awaitHeartbeat(ctx)
		}
	}
}

// awaitHeartbeat sends a heartbeat and waits for its end, so that the next watch starts from the versions
// that it brought.
func (c *Client) awaitHeartbeat(ctx context.Context) {
	c.mu.Lock()
	done := c.heartbeatDone
	c.mu.Unlock()
	c.requestHeartbeat()
	select {
	case <-done:
	case <-ctx.Done():
	}
	task.Pause(ctx, watchPause)
}

// watchPause limits an entry to 100 watches per second.
const watchPause = 10 * time.Millisecond

// leave ends the lease and then tells the leader, which from then on assumes that the entry admits nothing.
func (c *Client) leave() {
	c.mu.Lock()
	c.leaseEnd = time.Time{}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request := c.heartbeatRequest()
	request.Leave = true
	if _, err := c.config.Leader.Heartbeat(ctx, request); err != nil {
		c.config.Logger.Warn("Could not end the session; it ends when its lease expires", zap.Error(err))
	}
}
