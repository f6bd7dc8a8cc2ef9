package operator

import (
	"savorystep"
)

// A ChangeInfo holds the fields that all requests for a change have in common.
type ChangeInfo struct {
	// ID is the idempotency key of the change, chosen by the client. Changes sent
	// several times with the same ID take effect once.
	ID     savorystep.ChangeID `json:"id"`
	Author string              `json:"author,omitempty"`
	Note   string              `json:"note,omitempty"`
}

// An ApplyRequest replaces or creates the record of a service.
type ApplyRequest struct {
	ChangeInfo
	// BaseRevision is the revision of the record that the change replaces, 0 if the
	// service has no record.
	BaseRevision savorystep.Revision `json:"base"`
	Record       *savorystep.Record  `json:"record"`
}

// An UndoRequest restores the record of a service at an earlier revision.
type UndoRequest struct {
	ChangeInfo
	Service savorystep.Service `json:"service"`
	// BaseRevision is the revision of the record that the change replaces.
	BaseRevision savorystep.Revision `json:"base"`
	// TargetRevision is the revision to restore, 0 to remove the record.
	TargetRevision savorystep.Revision `json:"to"`
}

// A ShiftRequest sets the shift of a service between two regions. 0 percent removes it.
type ShiftRequest struct {
	ChangeInfo
	Service savorystep.Service `json:"service"`
	From    savorystep.Region  `json:"from"`
	To      savorystep.Region  `json:"to"`
	Percent int                `json:"percent"`
	// Cap and GrowthPerSecond are unchanged if nil. 0 means that the shift has no cap
	// of its own, and savorystep.DefaultGrowthPerSecond.
	Cap             *savorystep.Slots `json:"cap,omitempty"`
	GrowthPerSecond *int              `json:"growth,omitempty"`
}

// A DrainRequest shifts all traffic of a region to other regions, or ends that.
type DrainRequest struct {
	ChangeInfo
	Region savorystep.Region `json:"region"`
	// TargetRegions receive the traffic. If empty, the traffic of each service goes to
	// its other regions in proportion to their weights.
	TargetRegions []savorystep.Region `json:"to,omitempty"`
	// Services are the services to drain, all if empty.
	Services []savorystep.Service `json:"services,omitempty"`
	// Cap and GrowthPerSecond apply to each shift of the drain. If nil, an existing
	// shift keeps its values and a new one has neither.
	Cap             *savorystep.Slots `json:"cap,omitempty"`
	GrowthPerSecond *int              `json:"growth,omitempty"`
	// EndDrain removes all shifts out of the region instead.
	EndDrain bool `json:"end,omitempty"`
}

// A CorrectRequest adds a name, usually a misspelling, to the aliases of a service.
type CorrectRequest struct {
	ChangeInfo
	Name    savorystep.Name    `json:"name"`
	Service savorystep.Service `json:"service"`
}

// An Outcome is the result of a change of one record.
type Outcome struct {
	Service savorystep.Service `json:"service"`
	// Revision is the revision of the change, or of the record if it is unchanged. It
	// is 0 after a failed change or a dry run of a change.
	Revision savorystep.Revision `json:"revision,omitempty"`
	// BaseRevision is the revision of the record that was replaced.
	BaseRevision savorystep.Revision `json:"base"`
	// Unchanged is true if the record already had the requested content.
	Unchanged bool `json:"unchanged,omitempty"`
	// DryRun is true if the change was a dry run, which writes nothing.
	DryRun bool `json:"dry,omitempty"`
	// Diff is a unified diff of the record file.
	Diff     string   `json:"diff,omitempty"`
	Warnings []string `json:"warnings,omitempty"`
	// Error is the reason why the change failed, empty if it did not.
	Error string `json:"error,omitempty"`
}

// A RecordStatus is the record of a service with its revision.
type RecordStatus struct {
	Service savorystep.Service `json:"service"`
	// RecordRevision is the revision of the last change of the record.
	RecordRevision savorystep.Revision `json:"version"`
	// ConfigRevision is the configuration revision in force at the instance that
	// answered.
	ConfigRevision savorystep.Revision `json:"revision"`
	Record         *savorystep.Record  `json:"record,omitempty"`
}

// A MemberStatus is the status of a member as seen by the instance that answered.
type MemberStatus struct {
	savorystep.Instance
	Ready       bool                `json:"ready"`
	Leaving     bool                `json:"leaving,omitempty"`
	LinkSuspect bool                `json:"suspect,omitempty"`
	Revision    savorystep.Revision `json:"revision"`
	// RequestRate is the recent rate of requests that the member served, per second.
	RequestRate float64 `json:"rate"`
	// HeartbeatAgeMillis is the time since the last heartbeat of the member, in
	// milliseconds.
	HeartbeatAgeMillis int64 `json:"age"`
}

// A ServiceStatus is the load of a service in each region.
type ServiceStatus struct {
	Service        savorystep.Service      `json:"service"`
	RecordRevision savorystep.Revision     `json:"version"`
	Regions        []savorystep.RegionLoad `json:"regions"`
}

// A Status is the state of the instance that answered, with the members and services as
// seen by it.
type Status struct {
	Self savorystep.Instance `json:"self"`
	// Ready is true if the instance serves callers. Otherwise Reason says why not.
	Ready    bool                `json:"ready"`
	Reason   string              `json:"reason,omitempty"`
	Revision savorystep.Revision `json:"revision"`
	Members  []MemberStatus      `json:"members"`
	Services []ServiceStatus     `json:"services"`
}

// A RolloutProgress lists the members with their revisions while a revision is rolled
// out.
type RolloutProgress struct {
	Revision savorystep.Revision `json:"revision"`
	// Done is true if all members that are not leaving have Revision in force.
	Done bool `json:"done"`
	// Self is the instance that answered, whose membership is used.
	Self    savorystep.InstanceID `json:"self"`
	Members []MemberStatus        `json:"members"`
	// LostMembers are the members whose heartbeats have stopped since the wait began.
	// Lookups don't return them until they send heartbeats again and have the revision
	// in force.
	LostMembers []MemberStatus `json:"lost,omitempty"`
}

// InForceCount returns the number of members that have the revision in force.
func (p *RolloutProgress) InForceCount() int {
	n := 0
	for _, m := range p.Members {
		if m.Revision >= p.Revision {
			n++
		}
	}
	return n
}

// A RecordDiff is the difference between two revisions of a record.
type RecordDiff struct {
	Service      savorystep.Service  `json:"service"`
	FromRevision savorystep.Revision `json:"from"`
	ToRevision   savorystep.Revision `json:"to"`
	// Diff is a unified diff of the record files.
	Diff string `json:"diff"`
}

// An EventList holds the recorded events of one instance.
type EventList struct {
	Instance savorystep.Instance `json:"instance"`
	Events   []savorystep.Event  `json:"events"`
}

// An ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Kind        string               `json:"kind"`
	Detail      string               `json:"detail"`
	Suggestions []savorystep.Service `json:"suggestions,omitempty"`
	// RetryDelayMillis is the minimum delay before a retry, in milliseconds.
	RetryDelayMillis int64 `json:"delay,omitempty"`
	// CurrentRevision is set after a version conflict. It is the revision of the record
	// in force at the instance that answered.
	CurrentRevision savorystep.Revision `json:"current,omitempty"`
}
