package dispatch

import "context"

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Dispatch"

// Service exposes the methods of a dispatcher to net/rpc.
type Service struct {
	dispatcher *Dispatcher
}

// Service returns the net/rpc receiver to register under ServiceName.
func (d *Dispatcher) Service() *Service {
	return &Service{dispatcher: d}
}

// Reserve calls Dispatcher.Reserve.
func (s *Service) Reserve(request ReserveRequest, reply *ReserveReply) error {
	var err error
	*reply, err = s.dispatcher.Reserve(context.Background(), request)
	return err
}

// Estimate calls Dispatcher.Estimate.
func (s *Service) Estimate(request ReserveRequest, reply *Estimate) error {
	var err error
	*reply, err = s.dispatcher.Estimate(context.Background(), request)
	return err
}

// Share calls Dispatcher.Share.
func (s *Service) Share(request ShareRequest, _ *ShareReply) error {
	return s.dispatcher.Share(context.Background(), request)
}

// Await calls Dispatcher.Await.
func (s *Service) Await(request AwaitRequest, reply *ReserveReply) error {
	var err error
	*reply, err = s.dispatcher.Await(context.Background(), request)
	return err
}

// Report calls Dispatcher.Report.
func (s *Service) Report(request ReportRequest, _ *ReportReply) error {
	return s.dispatcher.Report(context.Background(), request)
}

// Announce calls Dispatcher.Announce.
func (s *Service) Announce(request AnnounceRequest, _ *AnnounceReply) error {
	return s.dispatcher.Announce(context.Background(), request)
}

// Endpoints calls Dispatcher.Endpoints.
func (s *Service) Endpoints(request EndpointsRequest, reply *EndpointsReply) error {
	var err error
	*reply, err = s.dispatcher.Endpoints(context.Background(), request)
	return err
}
