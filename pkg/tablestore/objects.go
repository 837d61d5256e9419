package tablestore

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/httpjson"
)

// PathObjects is the path prefix of objects; the name follows.
const PathObjects = "/v1/objects/"

// Objects is a client of the object store.
type Objects struct {
	http    *httpjson.Client
	timeout time.Duration
}

// NewObjects returns a client of the object store at addr.
func NewObjects(addr netip.AddrPort, timeout time.Duration) *Objects {
	return &Objects{http: httpjson.NewClient(addr), timeout: timeout}
}

// Put writes v as JSON under a name.
func (o *Objects) Put(ctx context.Context, name string, v any) (err error) {
	defer func() { err = eris.Wrapf(err, "put object %s", name) }()
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.http.Call(ctx, http.MethodPut, PathObjects+name, v, nil)
}

// Get reads the JSON object with a name into v; the error wraps ErrNotFound if
// there is none.
func (o *Objects) Get(ctx context.Context, name string, v any) (err error) {
	defer func() { err = eris.Wrapf(err, "get object %s", name) }()
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	err = o.http.Call(ctx, http.MethodGet, PathObjects+name, nil, v)
	if httpjson.StatusCode(err) == http.StatusNotFound {
		return ErrNotFound
	}
	return err
}

// Close drops idle connections.
func (o *Objects) Close() { o.http.Close() }
