package peer

import (
	"time"

	"savorystep"
)

// A reportedEndpoint is what changes in an endpoint's entry with each report.
// Followers that know the rest of the entry are told no more than this.
type reportedEndpoint struct {
	_        struct{} `cbor:",toarray"`
	ID       savorystep.EndpointID
	Sequence uint64
	Written  savorystep.CatalogVersion
	Cold     time.Duration
}

// reportOf returns the part of an entry that changes with each report.
func reportOf(entry savorystep.Endpoint) reportedEndpoint {
	return reportedEndpoint{ID: entry.ID, Sequence: entry.ReportSequence, Written: entry.WrittenVersion, Cold: entry.ColdRemaining}
}

// entry returns an entry with this report.
func (r reportedEndpoint) entry(known savorystep.Endpoint) savorystep.Endpoint {
	known.ID, known.ReportSequence, known.WrittenVersion, known.ColdRemaining = r.ID, r.Sequence, r.Written, r.Cold
	return known
}
