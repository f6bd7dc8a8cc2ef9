package savorystep

// A View is the configuration at one revision. It is immutable.
type View struct {
	Revision Revision
	Records  map[Service]*Record
	// Versions holds the revision that last changed each record.
	Versions map[Service]Revision
	// Services maps every known name, misspellings included, to its service.
	Services map[Name]Service
}
