package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile has the names of the users' platform that no type of package platform has.
//
//go:embed wire.json
var wireFile []byte

var wire = func() (w struct {
	ReadyPath, ResolvePath, RetryAfter string
	Config                             json.RawMessage
	Row                                map[string]any
},
) {
	if err := json.Unmarshal(wireFile, &w); err != nil {
		panic(err)
	}
	return w
}()

const (
	healthPath = "/health"
	// serversTable and operatorTable are the tables of the store.
	serversTable, operatorTable = "servers", "op"
)

// endpointRow returns the entry of an endpoint in the store. The caller holds e.mu.
func endpointRow(e *endpoint, born int64) string {
	row := make(map[string]any, len(wire.Row))
	for name, value := range wire.Row {
		row[name] = value
	}
	row["service"], row["address"], row["zone"], row["slots"] = e.service, e.address, e.zone, e.slots
	row["seq"], row["born"] = e.sequence, born
	data, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return string(data)
}
