package savorystep

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
}
