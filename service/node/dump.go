package node

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
)

// dumpAnswer is the state of a process, as shown to operators.
type dumpAnswer struct {
	Node      string                `json:"node"`
	Time      time.Time             `json:"time"`
	Version   uint64                `json:"configuration_version"`
	Members   []control.Member      `json:"members"`
	Shard     prompt.Stats          `json:"directory_shard"`
	Dropped   int64                 `json:"directory_updates_dropped"`
	Watches   []WatchStatus         `json:"watches"`
	Links     []route.LinkStatus    `json:"links"`
	Queues    route.AdmissionStatus `json:"queues"`
	Replicas  []route.ReplicaStatus `json:"replicas"`
	Leases    []control.LeaseStatus `json:"leases"`
	Claims    int                   `json:"claims_pending"`
	InFlight  int                   `json:"in_flight"`
	TableUp   bool                  `json:"table_service_up"`
	ProbeSent int64                 `json:"probe_bytes_sent"`
	Metrics   json.RawMessage       `json:"metrics"`
}

func (n *Node) dump(context.Context, struct{}) (dumpAnswer, error) {
	now := time.Now()
	return dumpAnswer{
		Node:      n.Settings.Node.Name,
		Time:      now,
		Version:   n.Config.State().Version,
		Members:   n.Members.All(),
		Shard:     n.Shard.Stats(),
		Dropped:   n.Directory.droppedUpdates.Load(),
		Watches:   n.Watches.Status(),
		Links:     n.Links.Status(now),
		Queues:    n.Admission.Status(),
		Replicas:  n.Fleet.Status(now),
		Leases:    n.Leases.Status(now),
		Claims:    n.Claims.Pending(),
		InFlight:  n.Entry.InFlight(),
		TableUp:   n.Table.Available(),
		ProbeSent: n.Probes.SentBytes(),
		Metrics:   json.RawMessage(n.metrics().String()),
	}, nil
}

// metrics returns the node's counters and the process's memory statistics.
func (n *Node) metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("entry", n.Metrics.Map())
	if v := expvar.Get("memstats"); v != nil {
		m.Set("memstats", v)
	}
	return m
}

// MetricsVar returns the node's metrics for publication through expvar.
func (n *Node) MetricsVar() expvar.Var { return n.metrics() }
