package savorystep

import "time"

// An Endpoint is one endpoint of an upstream service as the platform lists it.
type Endpoint struct {
	ID      EndpointID `json:"id"`
	Service Service    `json:"service"`
	Place   Place      `json:"place"`
	State   State      `json:"state"`
	Address Address    `json:"address"`
	// Slots is how many requests it runs at the same time.
	Slots Slots `json:"slots"`
	// MaxConnections is how many connections it accepts.
	MaxConnections int `json:"connections"`
	// StartedAtMillis is when it started, in milliseconds since the Unix epoch. It tells
	// apart two starts under one id.
	StartedAtMillis int64 `json:"born,omitempty"`
	// ReportSequence counts the reports of one start.
	ReportSequence uint64 `json:"sequence,omitempty"`
	// WrittenVersion is the state of the catalog at which its entry was written last.
	WrittenVersion CatalogVersion `cbor:"written,omitempty" json:"-"`
	// ColdRemaining is how much longer it was cold at its last report.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// SoftwareVersion is the version of its software.
	SoftwareVersion string `json:"version,omitempty"`
}
