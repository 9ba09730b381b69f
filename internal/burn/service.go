package burn

// ReportMethod is the net/rpc method by which an entry is asked for its report.
const ReportMethod = "Burn.Report"

// ServiceName is the name under which an entry registers its Service.
const ServiceName = "Burn"

// ReportRequest asks an entry for its report.
type ReportRequest struct {
	// Workspace narrows the report to one workspace; empty means all.
	Workspace string
}

// ReportReply answers a ReportRequest.
type ReportReply struct {
	Report Report
}

// Service is the net/rpc service of an entry.
type Service struct {
	recorder *Recorder
}

// NewService returns the service of a recorder.
func NewService(recorder *Recorder) *Service {
	return &Service{recorder: recorder}
}

// Report returns what the entry counted. It never fails.
func (s *Service) Report(request ReportRequest, reply *ReportReply) error {
	reply.Report = s.recorder.Report()
	if request.Workspace != "" {
		reply.Report = reply.Report.For(request.Workspace)
	}
	return nil
}
