package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/httpjson"
)

// Store is a client of one KV cache store. Engines and stores transfer blocks
// directly; nodes only list and free objects.
type Store struct {
	name string
	http *httpjson.Client
}

// NewStore returns a client of the store at addr.
func NewStore(name string, addr netip.AddrPort) *Store {
	return &Store{name: name, http: httpjson.NewClient(addr)}
}

// List returns the changes of a boot epoch since a sequence number, or all
// objects if the store no longer knows what has changed since.
func (s *Store) List(ctx context.Context, epoch, after uint64) (l StoreListing, err error) {
	defer func() { err = eris.Wrapf(err, "list objects of store %s", s.name) }()
	path := fmt.Sprintf("%s?epoch=%d&after=%d", PathStoreList, epoch, after)
	err = s.http.Call(ctx, http.MethodGet, path, nil, &l)
	return l, err
}

// Load returns the load of the store's link.
func (s *Store) Load(ctx context.Context) (l StoreLoad, err error) {
	defer func() { err = eris.Wrapf(err, "read load of store %s", s.name) }()
	err = s.http.Call(ctx, http.MethodGet, PathStoreLoad, nil, &l)
	return l, err
}

// Free hides an object. The store releases it once no reader has it pinned.
func (s *Store) Free(ctx context.Context, f FreeObject) (err error) {
	defer func() { err = eris.Wrapf(err, "free object on store %s", s.name) }()
	return classify(s.name, s.http.Call(ctx, http.MethodPost, PathStoreFree, f, nil))
}

// Close drops idle connections.
func (s *Store) Close() { s.http.Close() }
