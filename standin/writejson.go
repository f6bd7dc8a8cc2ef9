package standin

import (
	"encoding/json"
	"net/http"
)

// writeJSON responds with status 200 and value as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
