package savorystep

// A View is the configuration at one revision. It is immutable.
type View struct {
	Revision Revision
	Records  map[Service]*Record
	// RecordRevisions holds the revision that last changed each record.
	RecordRevisions map[Service]Revision
	// ServicesByName maps every known name, misspellings included, to its service.
	ServicesByName map[Name]Service
}
