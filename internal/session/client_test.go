package session

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// snapshotLeader has a configuration of 20 revisions that drains a data centre, and a declaration. Its first snapshots fail.
type snapshotLeader struct {
	leaveObserver
	failures int
}

func (l *snapshotLeader) Heartbeat(_ context.Context, request HeartbeatRequest) (HeartbeatReply, error) {
	reply := HeartbeatReply{Term: 1, Lease: LeaseDuration, Revision: 20}
	reply.FetchSnapshot = request.Revision == 0
	if request.Known.Declaration == 0 {
		document := declaration.Document{Version: 3}
		reply.News = &Update{Version: KnownVersions{Declaration: 3}, Declaration: &document}
	}
	return reply, nil
}

func (l *snapshotLeader) Snapshot(context.Context, SnapshotRequest) (SnapshotReply, error) {
	if l.failures > 0 {
		l.failures--
		return SnapshotReply{}, fault.New("fetch snapshot", NotLeader, "the leader has changed")
	}
	c := configuration.Configuration{Revision: 20, DataCentres: map[string]configuration.DataCentreSetting{"bilbao": {Name: "bilbao", Drain: true}}}
	data, err := cbor.Marshal(c)
	return SnapshotReply{Revision: 20, Total: len(data), Data: data}, err
}

// Guards against an entry that has just started and serves declared routes before it knows which data centres are drained,
// because it could not fetch the configuration.
func TestDeclarationWaitsForTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := NewClient(ClientConfig{Leader: &snapshotLeader{failures: 2}, Logger: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- client.Run(ctx) }()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			view, _ := client.View()
			is.True(view.Declaration.Version == 0 || view.Configuration.Drained("e", "bilbao"))
		}
		view, err := client.View()
		is.NoErr(err)
		is.Equal(view.Declaration.Version, uint64(3))
		cancel()
		is.NoErr(<-end)
	})
}
