package control

import "context"

// OrderStateRequest asks for the state that an order refers to. Orders that carry no version of their own are passed on
// together with this state and change nothing if it has changed since: they may be read or delivered late, after their
// caller has given up and sent a newer order to another instance.
type OrderStateRequest struct {
	// Endpoint is the id of the endpoint that the order is about; it is empty for an order about a data centre.
	Endpoint string
}

// OrderStateReply is the reply to an OrderStateRequest.
type OrderStateReply struct {
	NotLeader bool
	Leader    string
	// Revision is the revision of the configuration.
	Revision uint64
	// Registered reports whether the endpoint is registered, Started is the start of its incarnation.
	Registered bool
	Started    int64
}

func (r OrderStateReply) redirect() (bool, string) { return r.NotLeader, r.Leader }

// OrderState returns the state that an order refers to. It reflects every order that was committed before the call.
func (s *commandService) OrderState(request OrderStateRequest, reply *OrderStateReply) error {
	if _, ok := s.readBarrier(); !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = s.config.Machine.orderState(request)
	return nil
}

func (m *Machine) orderState(request OrderStateRequest) OrderStateReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	record, registered := m.endpoints.Find(request.Endpoint)
	return OrderStateReply{Revision: m.configuration.Revision, Registered: registered, Started: record.Started}
}

// OrderState returns the state that an order refers to.
func (c *Client) OrderState(ctx context.Context, request OrderStateRequest) (OrderStateReply, error) {
	return call[OrderStateReply](ctx, c, "Commands.OrderState", request, attemptTimeout)
}
