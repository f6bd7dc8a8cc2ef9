package store

import (
	"context"
	"net/http"
	"net/url"

	"savorystep"
)

var _ savorystep.Objects = &Objects{}

// Objects is the object store as seen through a Client. It is a type of its
// own because Table and Objects both have a method Get.
type Objects struct {
	client *Client
}

// Objects returns the object store.
func (c *Client) Objects() *Objects {
	return &Objects{client: c}
}

// objectPath returns the path of an object, whose name is one path segment.
func objectPath(name savorystep.ObjectName) string {
	return "/objects/" + url.PathEscape(string(name))
}

// Get reads an object.
func (o *Objects) Get(ctx context.Context, name savorystep.ObjectName) ([]byte, error) {
	a, err := o.client.read(ctx, objectPath(name))
	if err != nil {
		return nil, err
	}
	switch a.status {
	case http.StatusOK:
		return a.body, nil
	case http.StatusNotFound:
		return nil, savorystep.NewError(savorystep.KindNotFound, "no object %q", name)
	default:
		return nil, statusError(a)
	}
}

// Put writes an object. Writing the same object again does no harm.
func (o *Objects) Put(ctx context.Context, name savorystep.ObjectName, value []byte) error {
	a, err := o.client.call(ctx, http.MethodPut, objectPath(name), value, o.client.config.Timeout)
	if err != nil {
		return err
	}
	if a.status != http.StatusNoContent {
		return statusError(a)
	}
	return nil
}
