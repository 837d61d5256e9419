package standin

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/httpjson"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
)

type storeFixture struct {
	t      *testing.T
	client *httpjson.Client
}

func newStoreFixture(t *testing.T) *storeFixture {
	t.Helper()
	s, err := StartStore(Loopback, DefaultStoreConfig())
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return &storeFixture{t: t, client: httpjson.NewClient(s.Addr())}
}

func (f *storeFixture) call(path string, in, out any) error {
	return f.client.Call(f.t.Context(), http.MethodPost, path, in, out)
}

var testBlocks = []prompt.Key{{1}, {2}, {3}}

func (f *storeFixture) put(blocks []prompt.Key) prompt.Object {
	f.t.Helper()
	var o prompt.Object
	key := testBlocks[len(testBlocks)-1]
	assert.NilError(f.t, f.call(upstream.PathStoreBegin, upstream.BeginPut{Key: key, Chunks: len(testBlocks), Bytes: 3}, &o))
	assert.NilError(f.t, f.call(upstream.PathStorePut, upstream.PutBlocks{Key: key, Generation: o.Generation, Blocks: blocks, Bytes: 3}, nil))
	return o
}

func (f *storeFixture) pin(o prompt.Object, duration time.Duration) (upstream.PinObject, error) {
	p := upstream.PinObject{Key: o.Key, Generation: o.Generation, Epoch: o.Epoch, Reader: "r", Millis: duration.Milliseconds()}
	return p, f.call(upstream.PathStorePin, p, nil)
}

func (f *storeFixture) get(o prompt.Object) ([]prompt.Key, error) {
	var b upstream.Blocks
	err := f.call(upstream.PathStoreGet, upstream.GetBlocks{
		Key: o.Key, Generation: o.Generation, Epoch: o.Epoch, Reader: "r", Count: o.Chunks,
	}, &b)
	return b.Blocks, err
}

func TestHalfWrittenObjectCannotBePinned(t *testing.T) {
	f := newStoreFixture(t)
	o := f.put(testBlocks[:2])
	_, err := f.pin(o, time.Minute)
	assert.Assert(t, err != nil)
	err = f.call(upstream.PathStoreSeal, upstream.SealObject{Key: o.Key, Generation: o.Generation, Checksum: checksumOf(testBlocks)}, nil)
	assert.Assert(t, err != nil, "a half-written object was sealed")
}

// An object that is freed while a reader has pinned it must stay readable until the unpin.
func TestFreeWaitsForPins(t *testing.T) {
	f := newStoreFixture(t)
	o := f.put(testBlocks)
	assert.NilError(t, f.call(upstream.PathStoreSeal, upstream.SealObject{Key: o.Key, Generation: o.Generation, Checksum: checksumOf(testBlocks)}, &o))
	pin, err := f.pin(o, time.Minute)
	assert.NilError(t, err)
	assert.NilError(t, f.call(upstream.PathStoreFree, upstream.FreeObject{Key: o.Key, Generation: o.Generation, Epoch: o.Epoch}, nil))
	_, err = f.pin(o, time.Minute)
	assert.Assert(t, err != nil, "a freed object was pinned")
	blocks, err := f.get(o)
	assert.NilError(t, err)
	assert.DeepEqual(t, blocks, testBlocks)
	assert.NilError(t, f.call(upstream.PathStoreUnpin, pin, nil))
	_, err = f.get(o)
	assert.Assert(t, err != nil)
}
