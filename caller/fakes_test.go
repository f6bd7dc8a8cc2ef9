package caller_test

import (
	"context"
	"sync"
	"time"

	"savorystep"
)

// A fakeConfig is a configuration whose view a test sets.
type fakeConfig struct {
	savorystep.Config
	mu   sync.Mutex
	view *savorystep.View
}

func (f *fakeConfig) View() *savorystep.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// set replaces the view with one of the given revision and records.
func (f *fakeConfig) set(revision savorystep.Revision, records ...savorystep.Record) {
	view := &savorystep.View{
		Revision:       revision,
		Records:        make(map[savorystep.Service]*savorystep.Record),
		ServicesByName: make(map[savorystep.Name]savorystep.Service),
	}
	for i := range records {
		record := &records[i]
		view.Records[record.Service] = record
		view.ServicesByName[savorystep.Name(record.Service)] = record.Service
		for _, name := range record.Aliases {
			view.ServicesByName[name] = record.Service
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = view
}

// A fakeMembers is a membership with a fixed list of members.
type fakeMembers struct {
	mu      sync.Mutex
	members []savorystep.Member
}

func (f *fakeMembers) Members(time.Time) []savorystep.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]savorystep.Member(nil), f.members...)
}

func (f *fakeMembers) Self() savorystep.Instance {
	return savorystep.Instance{}
}

// A fakeEndpoints returns the same region loads for every service.
type fakeEndpoints struct {
	loads []savorystep.RegionLoad
}

func (f *fakeEndpoints) RegionLoads(savorystep.Service, time.Time) []savorystep.RegionLoad {
	return f.loads
}

// A fakeRecorder discards events.
type fakeRecorder struct{}

func (fakeRecorder) Events() []savorystep.Event { return nil }

func (fakeRecorder) Record(savorystep.Event) {}

// A forwardFunc is a function that implements savorystep.Forwarder.
type forwardFunc func(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error)

func (f forwardFunc) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	return f(ctx, request)
}

// newMember returns a ready member with the given instance ID, region and revision.
func newMember(id string, region savorystep.Region, revision savorystep.Revision) savorystep.Member {
	return savorystep.Member{StatusFact: savorystep.StatusFact{
		Instance: savorystep.Instance{
			ID:            savorystep.InstanceID(id),
			Place:         savorystep.Place{Region: region, Zone: savorystep.Zone(region) + "-a"},
			CallerAddress: savorystep.Address(id + ":1"),
		},
		Ready:    true,
		Revision: revision,
	}}
}

// steerHome is a SteerFunc that chooses the home region.
func steerHome(
	_ *savorystep.Record,
	_ savorystep.BlockID,
	home savorystep.Region,
	_ []savorystep.RegionLoad,
	_ time.Time,
) savorystep.Decision {
	return savorystep.Decision{Region: home, Reason: "home"}
}
