package savorystep

// A View is a snapshot of the steering configuration at a revision. It is immutable.
type View struct {
	Revision Revision
	Records  map[Service]*Record
	// RecordRevisions holds the revision of the last change of each record.
	RecordRevisions map[Service]Revision
	// ServicesByName maps all names to their services: canonical names and aliases,
	// including misspellings.
	ServicesByName map[Name]Service
}
