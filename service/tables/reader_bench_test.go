package tables

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// BenchmarkRelayConfiguration measures passing one changed configuration from a reader to one
// node, by number of routes: CPU time of both ends, and bytes on the link.
func BenchmarkRelayConfiguration(b *testing.B) {
	for _, n := range []int{100, 1000, 5600, 20_000} {
		values := [2][]byte{newConfigurationValue(b, n), newConfigurationValue(b, n+1)}
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) { relayChange(b, values, true) })
		b.Run(fmt.Sprintf("whole/%d", n), func(b *testing.B) { relayChange(b, values, false) })
	}
}

func newConfigurationValue(b *testing.B, routes int) []byte {
	value, err := json.Marshal(onplatform.NewConfiguration(1, routes, 200))
	assert.NilError(b, err)
	return value
}

// unlimitedMbit is more than the CPU can fill.
const unlimitedMbit = 1e6

// relayChange passes two values on in turn, each as a change to the other; withBase means
// that the requesting node has the previous value.
func relayChange(b *testing.B, values [2][]byte, withBase bool) {
	log := slog.New(slog.DiscardHandler)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
	assert.NilError(b, err)
	defer server.Close()
	client := peer.NewClient("key")
	defer client.Close()
	links := netproxy.NewNetwork()
	defer links.Close()
	self := control.Member{Name: "n", DataHall: "h", Incarnation: 1}
	members := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	reader := NewReader(nil, self, members, client, log)
	requester := NewReader(nil, self, members, client, log)
	server.Handle(peer.RolePeer, MethodChanges, reader.Serve)
	server.Start()
	link := netproxy.NewSharedLink(unlimitedMbit)
	addr := connect(b, links, link, nil, server.Addr())

	table := site.TableOperator
	reader.apply(changesRequest{Table: table, Whole: true}, site.Listing{Rows: []site.Row{{Key: operatorKey, Value: values[0], Position: at(1)}}, Position: at(1)}, true)
	version := int64(1)
	requester.apply(changesRequest{Table: table, Whole: true}, site.Listing{Rows: []site.Row{{Key: operatorKey, Value: values[0], Position: at(1)}}, Position: at(1)}, true)
	b.SetBytes(int64(len(values[0])))
	b.ReportAllocs()
	for b.Loop() {
		value := values[version%2]
		row := site.Row{Key: operatorKey, Value: value, Position: at(version + 1)}
		reader.apply(changesRequest{Table: table, After: at(version)}, site.Listing{Rows: []site.Row{row}, Position: row.Position}, true)
		q := changesRequest{Table: table, After: at(version), WaitMS: storePollWait.Milliseconds()}
		if withBase {
			q = requester.addBase(table, q)
		}
		got, err := requester.askNode(b.Context(), addr, q)
		assert.NilError(b, err)
		assert.Equal(b, len(got.Rows[0].Value), len(value))
		version = row.Position.Version
	}
	b.ReportMetric(float64(link.Received())/float64(b.N), "link-B/op")
}

// BenchmarkChooseReader measures choosing the node that reads the store, done twice a
// second and more.
func BenchmarkChooseReader(b *testing.B) {
	const halls = 5
	for _, nodes := range []int{18, 91, 295, 900} {
		b.Run(fmt.Sprintf("%dnodes", nodes), func(b *testing.B) {
			list := fleetMembers(nodes, halls)
			m := control.NewMembers(list[0], time.Second, nil, rand.New(rand.NewPCG(1, 2)))
			m.Merge(list, time.Now())
			r := NewReader(nil, list[0], m, nil, slog.New(slog.DiscardHandler))
			b.ReportAllocs()
			for b.Loop() {
				r.reader(site.TableUpstreams)
				r.servesPeers()
			}
		})
	}
}
