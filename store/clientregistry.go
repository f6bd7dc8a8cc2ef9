package store

import (
	"context"
	"encoding/json"
	"net/http"

	"savorystep"
)

// Endpoints lists the endpoints of all upstream services.
func (c *Client) Endpoints(ctx context.Context) ([]savorystep.Endpoint, error) {
	return listMembers[savorystep.Endpoint](ctx, c, "/endpoints", checkEndpoint)
}

// Instances lists the instances of savorystep.
func (c *Client) Instances(ctx context.Context) ([]savorystep.Instance, error) {
	return listMembers[savorystep.Instance](ctx, c, "/instances", checkInstance)
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

// listMembers reads and decodes a list of members.
func listMembers[T any](ctx context.Context, c *Client, path string, check func(T) error) ([]T, error) {
	result, err := c.read(ctx, path)
	if err != nil {
		return nil, err
	}
	if result.status != http.StatusOK {
		return nil, statusError(result)
	}
	return decodeList(result.body, check)
}

// decodeList decodes a list and checks each member.
func decodeList[T any](body []byte, check func(T) error) ([]T, error) {
	var members []T
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, malformedError("list", "%v", err)
	}
	for _, member := range members {
		if err := check(member); err != nil {
			return nil, err
		}
	}
	return members, nil
}

func checkEndpoint(e savorystep.Endpoint) error {
	if e.Service == "" || e.Slots < 0 || e.MaxConnections < 0 {
		return malformedError("list", "endpoint %q has no service or negative sizes", e.ID)
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
