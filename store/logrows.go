package store

import (
	"encoding/json"
	"fmt"
	"net/url"

	"savorystep"
)

// The row keys of the configuration log. The row of a record holds the change
// that last wrote or removed the record. The row of a change ID holds the
// revision of the change, so that one read resolves an unknown outcome.
const (
	headKey        savorystep.RowKey = "head"
	changePrefix   savorystep.RowKey = "change/"
	changeIDPrefix savorystep.RowKey = "changeid/"
	recordPrefix   savorystep.RowKey = "record/"
)

// A revisionRow is the value of the row of the head or of a change ID.
type revisionRow struct {
	Revision savorystep.Revision `json:"revision"`
}

func changeKey(revision savorystep.Revision) savorystep.RowKey {
	return savorystep.RowKey(fmt.Sprintf("%s%016x", changePrefix, uint64(revision)))
}

func changeIDKey(id savorystep.ChangeID) savorystep.RowKey {
	return changeIDPrefix + savorystep.RowKey(url.PathEscape(string(id)))
}

func recordKey(service savorystep.Service) savorystep.RowKey {
	return recordPrefix + savorystep.RowKey(url.PathEscape(string(service)))
}

// encodeJSON encodes a value of one of the log's types, all of which have a
// JSON form.
func encodeJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// decodeRevision decodes a revisionRow. A missing row means revision 0.
func decodeRevision(row savorystep.Row) (savorystep.Revision, error) {
	if row.Version == 0 {
		return 0, nil
	}
	var value revisionRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, malformedError("revision row", "%q: %v", row.Key, err)
	}
	if value.Revision == 0 {
		return 0, malformedError("revision row", "%q has no revision", row.Key)
	}
	return value.Revision, nil
}

// decodeChange decodes the value of the row of a change or a record.
func decodeChange(row savorystep.Row) (savorystep.Change, error) {
	var change savorystep.Change
	if err := json.Unmarshal(row.Value, &change); err != nil {
		return savorystep.Change{}, malformedError("change", "%q: %v", row.Key, err)
	}
	if err := checkChange(change); err != nil {
		return savorystep.Change{}, malformedError("change", "%q: %v", row.Key, err)
	}
	return change, nil
}

// checkChange rejects a change that can't have been accepted.
func checkChange(change savorystep.Change) error {
	switch {
	case change.Revision == 0:
		return fmt.Errorf("change %q has no revision", change.ID)
	case change.Service == "":
		return fmt.Errorf("revision %d has no service", change.Revision)
	case change.Record != nil && change.Record.Service != change.Service:
		return fmt.Errorf("revision %d of %q holds a record of %q", change.Revision, change.Service, change.Record.Service)
	default:
		return nil
	}
}
