package store

import (
	"context"
	"encoding/json"
	"net/http"

	"savorystep"
)

// Endpoints lists the endpoints of all upstream services. An entry that can't be read
// names no endpoint to use and is left out.
func (c *Client) Endpoints(ctx context.Context) ([]savorystep.Endpoint, error) {
	body, err := c.readList(ctx, "/endpoints")
	if err != nil {
		return nil, err
	}
	return decodeEndpoints(body)
}

// Instances lists the instances of savorystep.
func (c *Client) Instances(ctx context.Context) ([]savorystep.Instance, error) {
	body, err := c.readList(ctx, "/instances")
	if err != nil {
		return nil, err
	}
	return decodeInstances(body)
}

// Register registers this instance with the platform, as live or as leaving,
// and returns once the platform has confirmed it. The registration stays open
// until Close. Registering again with the same ID replaces the previous
// registration. The error has kind KindPlatformDown.
func (c *Client) Register(ctx context.Context, instance savorystep.Instance) error {
	return c.registrar.register(ctx, "/instances", string(instance.ID), instance)
}

// RegisterEndpoint registers an endpoint of an upstream service in the same way
// as Register does for an instance.
func (c *Client) RegisterEndpoint(ctx context.Context, endpoint savorystep.Endpoint) error {
	return c.registrar.register(ctx, "/endpoints", string(endpoint.ID), endpoint)
}

// RegistrationLost yields an error if the platform listed a member registered
// by this client as ended although the process runs. The process must then
// stop, because others may have taken over the resources of its ID.
func (c *Client) RegistrationLost() <-chan error {
	return c.registrar.registrationLost
}

// readList reads the JSON form of a list of members.
func (c *Client) readList(ctx context.Context, path string) ([]byte, error) {
	result, err := c.read(ctx, path)
	if err != nil {
		return nil, err
	}
	if result.status != http.StatusOK {
		return nil, statusError(result)
	}
	return result.body, nil
}

// decodeEndpoints decodes a list of endpoints.
func decodeEndpoints(body []byte) ([]savorystep.Endpoint, error) {
	entries, err := splitList(body)
	if err != nil {
		return nil, err
	}
	endpoints := make([]savorystep.Endpoint, 0, len(entries))
	for _, entry := range entries {
		var e savorystep.Endpoint
		err := json.Unmarshal(entry, &e)
		if err == nil {
			err = checkEndpoint(e)
		}
		if err != nil {
			log.Warningf("leave out entry %.100q of the endpoints: %v", entry, err)
			continue
		}
		endpoints = append(endpoints, e)
	}
	return endpoints, nil
}

// decodeInstances decodes a list of instances. One that can't be read might have ended or
// not, so the list as a whole is rejected.
func decodeInstances(body []byte) ([]savorystep.Instance, error) {
	var instances []savorystep.Instance
	if err := json.Unmarshal(body, &instances); err != nil {
		return nil, malformedError("list", "%v", err)
	}
	for _, instance := range instances {
		if err := checkInstance(instance); err != nil {
			return nil, err
		}
	}
	return instances, nil
}

// checkEndpoint rejects an endpoint that can't be used.
func checkEndpoint(e savorystep.Endpoint) error {
	if e.Service == "" || e.Slots < 0 || e.Slots > savorystep.MaxEndpointSlots || e.MaxConnections < 0 {
		return malformedError("list", "endpoint %.40q has no service, or sizes that are negative or too large", e.ID)
	}
	return checkMember(string(e.ID), e.State)
}

func checkInstance(i savorystep.Instance) error {
	return checkMember(string(i.ID), i.State)
}

// checkMember rejects an empty ID and an unknown state, which must not be taken
// for live or for ended.
func checkMember(id string, state savorystep.State) error {
	if id == "" {
		return malformedError("list", "member without ID")
	}
	switch state {
	case savorystep.StateEnded, savorystep.StateLeaving, savorystep.StateLive:
		return nil
	default:
		return malformedError("list", "member %q has state %q", id, state)
	}
}
