package burn

// ReportMethod is the net/rpc method that returns the report of an entry.
const ReportMethod = "Burn.Report"

// ServiceName is the name under which an entry registers its Service.
const ServiceName = "Burn"

// ReportRequest is a request for the report of an entry.
type ReportRequest struct {
	// Workspace limits the report to one workspace; empty means all.
	Workspace string
	// Total means that the workspaces are added up.
	Total bool
}

// ReportReply is the reply to a ReportRequest.
type ReportReply struct {
	Report Report
	// LeftOut is the number of series that were left out because there are more than MaxSeries.
	LeftOut int
}

// MaxSeries limits the reply of one entry to about 300 KB. The series with the most requests are kept.
const MaxSeries = 2000

// Service is the net/rpc service by which an entry reports its counts.
type Service struct {
	recorder *Recorder
}

// NewService returns a service that reports the counts of a recorder.
func NewService(recorder *Recorder) *Service {
	return &Service{recorder: recorder}
}

// Report returns the counts of the entry. It never fails.
func (s *Service) Report(request ReportRequest, reply *ReportReply) error {
	reply.Report = s.recorder.Report()
	if request.Workspace != "" {
		reply.Report = reply.Report.ForWorkspace(request.Workspace)
	}
	if request.Total {
		reply.Report = reply.Report.Total()
	}
	reply.LeftOut = max(0, len(reply.Report.Series)-MaxSeries)
	if reply.LeftOut > 0 {
		reply.Report.keepBusiest(MaxSeries)
	}
	return nil
}
