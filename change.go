package savorystep

import "time"

// A Change is one accepted change of the configuration. It is immutable.
type Change struct {
	Revision Revision  `json:"revision"`
	ID       ChangeID  `json:"id"`
	Author   string    `json:"author,omitempty"`
	Note     string    `json:"note,omitempty"`
	Time     time.Time `json:"time"`
	Service  Service   `json:"service"`
	// BaseRevision is the revision of the record that this change replaced, 0 if
	// there was no record.
	BaseRevision Revision `json:"base"`
	// Record is the new record, nil if the service was removed.
	Record *Record `json:"record,omitempty"`
}
