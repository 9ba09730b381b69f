package consensus

import (
	"context"
	"net/rpc"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/peer"
)

// Transport sends a request to the node at an address and returns its reply. It is called
// concurrently. A reply may arrive late or not at all, and requests may be reordered.
type Transport interface {
	PreVote(ctx context.Context, address string, request *VoteRequest) (*VoteReply, error)
	Vote(ctx context.Context, address string, request *VoteRequest) (*VoteReply, error)
	Append(ctx context.Context, address string, request *AppendRequest) (*AppendReply, error)
	InstallSnapshot(ctx context.Context, address string, request *SnapshotRequest) (*SnapshotReply, error)
}

// ServiceName is the name under which Service is registered on a peer server.
const ServiceName = "Consensus"

// PeerTransport is a Transport that uses package peer.
type PeerTransport struct {
	pool *peer.Pool
}

// NewPeerTransport returns a PeerTransport that calls through pool.
func NewPeerTransport(pool *peer.Pool) *PeerTransport {
	return &PeerTransport{pool: pool}
}

func call[Reply any](ctx context.Context, t *PeerTransport, address, method string, request any) (*Reply, error) {
	reply := new(Reply)
	if err := t.pool.Call(ctx, address, ServiceName+"."+method, request, reply); err != nil {
		return nil, fault.Wrap(err, "call member", Unreachable, method)
	}
	return reply, nil
}

// PreVote calls Consensus.PreVote.
func (t *PeerTransport) PreVote(ctx context.Context, address string, request *VoteRequest) (*VoteReply, error) {
	return call[VoteReply](ctx, t, address, "PreVote", request)
}

// Vote calls Consensus.Vote.
func (t *PeerTransport) Vote(ctx context.Context, address string, request *VoteRequest) (*VoteReply, error) {
	return call[VoteReply](ctx, t, address, "Vote", request)
}

// Append calls Consensus.Append.
func (t *PeerTransport) Append(ctx context.Context, address string, request *AppendRequest) (*AppendReply, error) {
	return call[AppendReply](ctx, t, address, "Append", request)
}

// InstallSnapshot calls Consensus.InstallSnapshot.
func (t *PeerTransport) InstallSnapshot(ctx context.Context, address string, request *SnapshotRequest) (*SnapshotReply, error) {
	return call[SnapshotReply](ctx, t, address, "InstallSnapshot", request)
}

// Registrar registers net/rpc services; *peer.Server is one.
type Registrar interface {
	Register(name string, receiver any) error
}

var _ Registrar = (*peer.Server)(nil)

// Register adds the node's service to a server.
func Register(server Registrar, node *Node) error {
	return server.Register(ServiceName, &Service{node: node})
}

// Service handles the requests of other members over net/rpc.
type Service struct {
	node *Node
}

// PreVote handles Consensus.PreVote.
func (s *Service) PreVote(request *VoteRequest, reply *VoteReply) error {
	return handleRequest(s.node, request, reply)
}

// Vote handles Consensus.Vote.
func (s *Service) Vote(request *VoteRequest, reply *VoteReply) error {
	return handleRequest(s.node, request, reply)
}

// Append handles Consensus.Append.
func (s *Service) Append(request *AppendRequest, reply *AppendReply) error {
	if err := request.check(); err != nil {
		return err
	}
	return handleRequest(s.node, request, reply)
}

// InstallSnapshot handles Consensus.InstallSnapshot.
func (s *Service) InstallSnapshot(request *SnapshotRequest, reply *SnapshotReply) error {
	return handleRequest(s.node, request, reply)
}

// handleRequest waits for the node's reply without a deadline: net/rpc provides no context, but the
// node always replies or stops.
func handleRequest[Reply any](n *Node, request any, reply *Reply) error {
	body, err := n.Handle(context.Background(), request)
	if err != nil {
		return rpc.ServerError(err.Error())
	}
	*reply = *body.(*Reply)
	return nil
}
