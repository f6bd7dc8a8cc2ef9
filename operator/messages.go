package operator

import (
	"savorystep"
)

// A ChangeInfo goes with every change of the configuration.
type ChangeInfo struct {
	// ID is chosen by the client. A change that is sent again with its ID
	// takes effect once.
	ID     savorystep.ChangeID `json:"id"`
	Author string              `json:"author,omitempty"`
	Note   string              `json:"note,omitempty"`
}

// An ApplyRequest replaces the record of a service.
type ApplyRequest struct {
	ChangeInfo
	// BaseRevision is the version that the change replaces, 0 if there is none.
	BaseRevision savorystep.Revision `json:"base"`
	Record       *savorystep.Record  `json:"record"`
}

// An UndoRequest restores an old record of a service.
type UndoRequest struct {
	ChangeInfo
	Service savorystep.Service `json:"service"`
	// BaseRevision is the version that the undo replaces.
	BaseRevision savorystep.Revision `json:"base"`
	// TargetRevision is the version to restore, 0 for no record.
	TargetRevision savorystep.Revision `json:"to"`
}

// A ShiftRequest sets a shift of a service. 0 percent ends it.
type ShiftRequest struct {
	ChangeInfo
	Service savorystep.Service `json:"service"`
	From    savorystep.Region  `json:"from"`
	To      savorystep.Region  `json:"to"`
	Percent int                `json:"percent"`
	// Cap and Growth stay as they are if they are nil. 0 means no cap of its
	// own and savorystep.DefaultGrowth.
	Cap             *savorystep.Slots `json:"cap,omitempty"`
	GrowthPerSecond *int              `json:"growth,omitempty"`
}

// A DrainRequest moves the traffic of a region elsewhere.
type DrainRequest struct {
	ChangeInfo
	Region savorystep.Region `json:"region"`
	// TargetRegions are the regions that take the traffic. Without them it goes to the
	// other regions of each service in proportion to their weights.
	TargetRegions []savorystep.Region `json:"to,omitempty"`
	// Services are the services to drain, all if empty.
	Services []savorystep.Service `json:"services,omitempty"`
	// Cap and Growth are for each shift. If they are nil, a shift that is there
	// already keeps its own, and a new one has neither.
	Cap             *savorystep.Slots `json:"cap,omitempty"`
	GrowthPerSecond *int              `json:"growth,omitempty"`
	// EndDrain ends the shifts out of the region instead.
	EndDrain bool `json:"end,omitempty"`
}

// A CorrectRequest makes a misspelling lead to a service.
type CorrectRequest struct {
	ChangeInfo
	Name    savorystep.Name    `json:"name"`
	Service savorystep.Service `json:"service"`
}

// An Outcome is what became of a change.
type Outcome struct {
	Service savorystep.Service `json:"service"`
	// Revision is the revision of the change, or that of the record if nothing
	// had to change. It is 0 for a dry run and a failed change.
	Revision savorystep.Revision `json:"revision,omitempty"`
	// BaseRevision is the version that was replaced.
	BaseRevision savorystep.Revision `json:"base"`
	// Unchanged is true if the record said so already.
	Unchanged bool `json:"unchanged,omitempty"`
	// DryRun is true if nothing was written.
	DryRun bool `json:"dry,omitempty"`
	// Diff is a unified diff of the record's file.
	Diff     string   `json:"diff,omitempty"`
	Warnings []string `json:"warnings,omitempty"`
	// Error says why the change of this service was not made.
	Error string `json:"error,omitempty"`
}

// A RecordStatus is a record with its version.
type RecordStatus struct {
	Service savorystep.Service `json:"service"`
	// RecordRevision is the revision that last changed the record.
	RecordRevision savorystep.Revision `json:"version"`
	// ConfigRevision is the revision in force at the instance that answered.
	ConfigRevision savorystep.Revision `json:"revision"`
	Record         *savorystep.Record  `json:"record,omitempty"`
}

// A MemberStatus is an instance as seen by the one that answered.
type MemberStatus struct {
	savorystep.Instance
	Ready       bool                `json:"ready"`
	Leaving     bool                `json:"leaving,omitempty"`
	LinkSuspect bool                `json:"suspect,omitempty"`
	Revision    savorystep.Revision `json:"revision"`
	// RequestRate is in requests per second.
	RequestRate float64 `json:"rate"`
	// HeartbeatAgeMillis is the time since its last heartbeat, in milliseconds.
	HeartbeatAgeMillis int64 `json:"age"`
}

// A ServiceStatus is the load of a service by region.
type ServiceStatus struct {
	Service        savorystep.Service      `json:"service"`
	RecordRevision savorystep.Revision     `json:"version"`
	Regions        []savorystep.RegionLoad `json:"regions"`
}

// A Status is the system as seen by one instance.
type Status struct {
	Self savorystep.Instance `json:"self"`
	// Ready is true if the instance answers callers; Reason says why not.
	Ready    bool                `json:"ready"`
	Reason   string              `json:"reason,omitempty"`
	Revision savorystep.Revision `json:"revision"`
	Members  []MemberStatus      `json:"members"`
	Services []ServiceStatus     `json:"services"`
}

// A RolloutProgress says which instances have a revision in force.
type RolloutProgress struct {
	Revision savorystep.Revision `json:"revision"`
	// Done is true if all instances that stay have it in force.
	Done bool `json:"done"`
	// Self is the instance whose list of members this is.
	Self    savorystep.InstanceID `json:"self"`
	Members []MemberStatus        `json:"members"`
	// LostMembers are members that were heard when the wait began and are not any
	// more. They are in no lookup until they are heard again with the revision
	// in force.
	LostMembers []MemberStatus `json:"lost,omitempty"`
}

// InForceCount counts the members that have the revision in force.
func (p *RolloutProgress) InForceCount() int {
	n := 0
	for _, m := range p.Members {
		if m.Revision >= p.Revision {
			n++
		}
	}
	return n
}

// RecordDiff is the difference of two versions of a record.
type RecordDiff struct {
	Service      savorystep.Service  `json:"service"`
	FromRevision savorystep.Revision `json:"from"`
	ToRevision   savorystep.Revision `json:"to"`
	Diff         string              `json:"diff"`
}

// An EventList holds the events of one instance.
type EventList struct {
	Instance savorystep.Instance `json:"instance"`
	Events   []savorystep.Event  `json:"events"`
}

// An ErrorBody is the JSON body of an error.
type ErrorBody struct {
	Kind        string               `json:"kind"`
	Detail      string               `json:"detail"`
	Suggestions []savorystep.Service `json:"suggestions,omitempty"`
	// RetryDelayMillis is the least time to wait before a retry, in milliseconds.
	RetryDelayMillis int64 `json:"delay,omitempty"`
	// CurrentRevision is the record's version after a version conflict, as far as the
	// instance knows.
	CurrentRevision savorystep.Revision `json:"current,omitempty"`
}
