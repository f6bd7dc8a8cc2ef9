package store

import (
	"context"
	"net/http"
	"net/url"

	"savorystep"
)

var _ savorystep.Objects = &Objects{}

// Objects is the object store of a Client. It is a separate type, because both
// savorystep.Table and savorystep.Objects have a method Get.
type Objects struct {
	client *Client
}

// Objects returns the object store.
func (c *Client) Objects() *Objects {
	return &Objects{client: c}
}

// objectPath returns the URL path of an object. The name is escaped to a single
// path segment.
func objectPath(name savorystep.ObjectName) string {
	return "/objects/" + url.PathEscape(string(name))
}

// Get reads an object. The error has kind KindNotFound if there is none, else
// KindPlatformDown.
func (o *Objects) Get(ctx context.Context, name savorystep.ObjectName) ([]byte, error) {
	result, err := o.client.read(ctx, objectPath(name))
	if err != nil {
		return nil, err
	}
	switch result.status {
	case http.StatusOK:
		return result.body, nil
	case http.StatusNotFound:
		return nil, savorystep.NewError(savorystep.KindNotFound, "object %q not found", name)
	default:
		return nil, statusError(result)
	}
}

// Put writes an object. It is safe to write the same object again. The error
// has kind KindPlatformDown.
func (o *Objects) Put(ctx context.Context, name savorystep.ObjectName, value []byte) error {
	result, err := o.client.call(ctx, http.MethodPut, objectPath(name), value, o.client.config.Timeout)
	if err != nil {
		return err
	}
	if result.status != http.StatusNoContent {
		return statusError(result)
	}
	return nil
}
