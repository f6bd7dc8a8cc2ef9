package peer

import (
	"time"

	"savorystep"
)

// A reportedEndpoint holds the part of an endpoint's entry that changes with
// each report. Followers that have the rest of the entry get only this part.
type reportedEndpoint struct {
	_              struct{} `cbor:",toarray"`
	ID             savorystep.EndpointID
	ReportSequence uint64
	WrittenVersion savorystep.CatalogVersion
	ColdRemaining  time.Duration
}

// reportOf returns the part of an entry that changes with each report.
func reportOf(entry savorystep.Endpoint) reportedEndpoint {
	return reportedEndpoint{ID: entry.ID, ReportSequence: entry.ReportSequence, WrittenVersion: entry.WrittenVersion, ColdRemaining: entry.ColdRemaining}
}

// applyTo returns a copy of a known entry with this report.
func (r reportedEndpoint) applyTo(known savorystep.Endpoint) savorystep.Endpoint {
	known.ID, known.ReportSequence, known.WrittenVersion, known.ColdRemaining = r.ID, r.ReportSequence, r.WrittenVersion, r.ColdRemaining
	return known
}
