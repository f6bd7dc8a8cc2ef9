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
	// Connections is how many connections it accepts.
	Connections int `json:"connections"`
	// Born is when it started, in milliseconds since the Unix epoch. It tells
	// apart two starts under one id.
	Born int64 `json:"born,omitempty"`
	// Sequence counts the reports of one start.
	Sequence uint64 `json:"sequence,omitempty"`
	// Written is the state of the catalog at which its entry was written last.
	Written CatalogVersion `cbor:"written,omitempty" json:"-"`
	// Cold is how much longer it was cold at its last report.
	Cold time.Duration `json:"cold,omitempty"`
	// Version is the version of its software.
	Version string `json:"version,omitempty"`
}
