package burn

// ReportMethod is the net/rpc method by which an entry is asked for its report.
const ReportMethod = "Burn.Report"

// ServiceName is the name under which an entry registers its Service.
const ServiceName = "Burn"

// ReportRequest asks an entry for its report.
type ReportRequest struct {
	// Workspace narrows the report to one workspace; empty means all.
	Workspace string
	// Total adds the workspaces up.
	Total bool
}

// ReportReply answers a ReportRequest.
type ReportReply struct {
	Report Report
	// LeftOut is the number of series beyond MaxSeries.
	LeftOut int
}

// MaxSeries bounds the reply of one entry to about 300 KB. The series with most requests are kept.
const MaxSeries = 2000

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
	if request.Total {
		reply.Report = reply.Report.Total()
	}
	reply.LeftOut = max(0, len(reply.Report.Series)-MaxSeries)
	if reply.LeftOut > 0 {
		reply.Report.keepBusiest(MaxSeries)
	}
	return nil
}
