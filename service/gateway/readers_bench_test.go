package gateway

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// The cost of passing one changed configuration on from a reader to one node, by the
// number of routes: both ends' processor time, and bytes on the link.
func BenchmarkPassOn(b *testing.B) {
	for _, n := range []int{100, 1000, 5600, 20_000} {
		values := [2][]byte{configurationOf(b, n), configurationOf(b, n+1)}
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) { passOn(b, values, true) })
		b.Run(fmt.Sprintf("whole/%d", n), func(b *testing.B) { passOn(b, values, false) })
	}
}

func configurationOf(b *testing.B, routes int) []byte {
	value, err := json.Marshal(onplatform.NewConfiguration(1, routes, hostCount))
	assert.NilError(b, err)
	return value
}

// unboundedMbit is more than a test's processor can fill.
const unboundedMbit = 1e6

// passOn passes one of two values on as often as the benchmark wants, each time as a
// change to the other; known says whether the node that asks has that.
func passOn(b *testing.B, values [2][]byte, known bool) {
	log := slog.New(slog.DiscardHandler)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
	assert.NilError(b, err)
	defer server.Close()
	client := peer.NewClient("key")
	defer client.Close()
	l := newLinks()
	defer l.Close()
	self := control.Member{Name: "n", DataHall: "h", Incarnation: 1}
	members := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	reader := newReaders(nil, self, members, client, log)
	asker := newReaders(nil, self, members, client, log)
	server.Handle(peer.RolePeer, methodChanges, reader.serve)
	server.Start()
	near := newLink(unboundedMbit)
	addr := l.connect(b, near, nil, server.Addr())

	table := site.TableOperator
	reader.take(changesRequest{Table: table, Whole: true}, site.Listing{Rows: []site.Row{{Key: operatorKey, Value: values[0], Version: 1}}, Version: 1}, true)
	version := int64(1)
	asker.take(changesRequest{Table: table, Whole: true}, site.Listing{Rows: []site.Row{{Key: operatorKey, Value: values[0], Version: 1}}, Version: 1}, true)
	b.SetBytes(int64(len(values[0])))
	b.ReportAllocs()
	for b.Loop() {
		value := values[version%2]
		row := site.Row{Key: operatorKey, Value: value, Version: version + 1}
		reader.take(changesRequest{Table: table, After: version}, site.Listing{Rows: []site.Row{row}, Version: row.Version}, true)
		q := changesRequest{Table: table, After: version, WaitMS: readerHold.Milliseconds()}
		if known {
			q = asker.request(table, q)
		}
		got, err := asker.ask(b.Context(), addr, q)
		assert.NilError(b, err)
		assert.Equal(b, len(got.Rows[0].Value), len(value))
		version = row.Version
	}
	b.ReportMetric(float64(near.got.Load())/float64(b.N), "link-B/op")
}
