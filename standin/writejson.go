package standin

import (
	"encoding/json"
	"net/http"
)

// writeJSON answers with a JSON value.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
