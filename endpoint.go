package savorystep

import (
	"fmt"
	"time"
)

// An Endpoint is an endpoint of an upstream service as listed by the platform.
type Endpoint struct {
	ID      EndpointID `json:"id"`
	Service Service    `json:"service"`
	Place   Place      `json:"place"`
	State   State      `json:"state"`
	Address Address    `json:"address"`
	// Slots is the number of requests that the endpoint can run concurrently.
	Slots Slots `json:"slots"`
	// MaxConnections is the number of connections that the endpoint accepts.
	MaxConnections int `json:"connections"`
	// StartedAtMillis is the start time of the process in milliseconds since the
	// Unix epoch. It distinguishes restarts under the same ID.
	StartedAtMillis int64 `json:"born,omitempty"`
	// ReportSequence numbers the reports of the endpoint since its start.
	ReportSequence uint64 `json:"sequence,omitempty"`
	// WrittenVersion is the catalog version of the last write of this entry.
	WrittenVersion CatalogVersion `cbor:"written,omitempty" json:"-"`
	// ColdRemaining is the remaining warm-up time as of the last report.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// SoftwareVersion is the version of the software that the endpoint runs.
	SoftwareVersion string `json:"version,omitempty"`
}

// IncarnationID returns an ID that names this start of the endpoint only. It is the
// endpoint's ID if the start is not known.
func (e Endpoint) IncarnationID() EndpointID {
	if e.StartedAtMillis == 0 {
		return e.ID
	}
	return EndpointID(fmt.Sprintf("%s@%d", e.ID, e.StartedAtMillis))
}
