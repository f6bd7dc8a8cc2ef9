package ingress

import (
	"fmt"

	"savorystep/endpoint"
)

// A withdrawnError says that a request was not sent because its endpoint was excluded
// while the connection was opened.
type withdrawnError struct {
	exclusion endpoint.Exclusion
}

// Error implements error.
func (e *withdrawnError) Error() string {
	return fmt.Sprintf("endpoint excluded while the connection was opened: %v", e.exclusion)
}
