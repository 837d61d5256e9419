package config

import (
	"net/netip"
	"time"
)

// GatewaySettings is a gateway's settings file. Routes, services and upstreams are not in
// it: they come from the platform's store.
type GatewaySettings struct {
	Node NodeSettings `json:"node"`
	// Regions maps each data hall to its region.
	Regions    map[string]string       `json:"regions"`
	Entry      GatewayEntrySettings    `json:"entry"`
	Peer       GatewayPeerSettings     `json:"peer"`
	Platform   GatewayPlatformSettings `json:"platform"`
	Limits     GatewayLimitSettings    `json:"limits"`
	Retry      RetrySettings           `json:"retry"`
	Stop       StopSettings            `json:"stop"`
	Orders     OrderSettings           `json:"orders"`
	Cold       ColdSettings            `json:"cold"`
	Evacuation EvacuationSettings      `json:"evacuation"`
	Canary     CanarySettings          `json:"canary"`
	Runs       RunSettings             `json:"runs"`
	Placement  PlacementSettings       `json:"placement"`
	Forwarding ForwardingSettings      `json:"forwarding"`
	Log        LogSettings             `json:"log"`
	Disabled   DisabledMechanisms      `json:"without"`
	Test       TestSettings            `json:"test"`
}

// TestSettings are for tests only.
type TestSettings struct {
	// SuspendedTime is the simulated total time for which the machine was suspended. A
	// reload with a longer time simulates a suspension of the difference.
	SuspendedTime Duration `json:"suspended" validate:"gte=0"`
}

// GatewayEntrySettings are the addresses at which clients reach the node.
type GatewayEntrySettings struct {
	// Listen is for requests, Ready for the platform's readiness check, and Directory for
	// clients that ask which nodes to send requests to.
	Listen    netip.AddrPort `json:"listen" validate:"required"`
	Ready     netip.AddrPort `json:"ready" validate:"required"`
	Directory netip.AddrPort `json:"directory" validate:"required"`
	// Metrics is where metrics and a state dump are served, if it is set.
	Metrics netip.AddrPort `json:"metrics"`
	// MaxAge is how long clients may use an answer of the directory.
	MaxAge Duration `json:"max_age" validate:"gt=0"`
}

// GatewayPeerSettings is the interface between nodes; Listen is used for TCP and UDP.
type GatewayPeerSettings struct {
	Listen netip.AddrPort `json:"listen" validate:"required"`
	// Key is shared by the nodes of a site; those of other sites have another one.
	Key        string   `json:"key" validate:"min=8"`
	ProbeEvery Duration `json:"probe_every" validate:"gt=0"`
	// LoadEvery is how often nodes exchange their requests in flight.
	LoadEvery Duration `json:"load_every" validate:"gt=0"`
}

// GatewayPlatformSettings configures the use of the platform's store.
type GatewayPlatformSettings struct {
	Store netip.AddrPort `json:"store" validate:"required"`
	// LongPollTimeout is how long the store holds a call that waits for changes.
	LongPollTimeout Duration `json:"hold" validate:"gt=0"`
	// ReturnTime is how long after the store's return upstreams that it does not list stay in use.
	ReturnTime Duration `json:"return_time" validate:"gte=0"`
	// RewriteTime is how long after the store has come back from an earlier copy a row that is
	// missing counts as not yet written again.
	RewriteTime Duration `json:"rewrite_time" validate:"gte=0"`
}

// GatewayLimitSettings are the resources of the process.
type GatewayLimitSettings struct {
	MemoryMB    float64 `json:"memory_mb" validate:"gte=0"`
	Descriptors int     `json:"descriptors" validate:"gte=0"`
	// LinkMbps is the rate of the node's link in Mbit/s, 0 if it is not known.
	// Duties that send much data are assigned to nodes with the widest links.
	LinkMbps float64 `json:"link_mbps" validate:"gte=0"`
	// ReplicaRequests is how many bytes of requests all nodes together may have in flight at
	// one replica, 0 for no bound.
	ReplicaRequests Size `json:"replica_requests" validate:"gte=0"`
}

// RetrySettings is the budget of retries that all nodes share.
type RetrySettings struct {
	Share  float64  `json:"share" validate:"gte=0"`
	Window Duration `json:"window" validate:"gt=0"`
	Slack  float64  `json:"slack" validate:"gte=0"`
}

// StopSettings configures a planned stop.
type StopSettings struct {
	// Grace is the time from the signal to the kill.
	Grace Duration `json:"grace" validate:"gt=0"`
}

// OrderSettings limits the orders to replicas that change their weights.
type OrderSettings struct {
	// MinInterval is the minimum time between orders of different nodes to one replica.
	MinInterval Duration `json:"pause" validate:"gte=0"`
	// MaxRolloutTime is the time within which replicas must serve newly configured weights.
	MaxRolloutTime Duration `json:"within" validate:"gt=0"`
}

// ColdSettings bounds the requests that all nodes together send to one cold replica: in any
// second at most ColdRate of its service times Overage, plus Slack.
type ColdSettings struct {
	Overage float64 `json:"overage" validate:"gte=1"`
	Slack   float64 `json:"slack" validate:"gte=0"`
}

// EvacuationSettings configures how nodes stop using a data hall that operators evacuate.
type EvacuationSettings struct {
	// MaxTime is the time after which its replicas must get no more requests.
	MaxTime Duration `json:"within" validate:"gt=0"`
}

// CanarySettings bounds the requests that a new version of a service's software gets before
// it is known to be good.
type CanarySettings struct {
	// Share is the most that it may get of all requests during its roll-out.
	Share float64 `json:"share" validate:"gt=0,lte=1"`
}

// RunSettings allow runs to go on at other engines, which costs traffic between engines and
// memory there. Both are off unless set.
type RunSettings struct {
	// Handoff hands a run over to an engine that prefills little while its own is busy. It
	// gains only where engines are nearly saturated with prefill but not with memory.
	Handoff bool `json:"handoff"`
	// Backups keeps copies of runs at other engines while replicas are being lost.
	Backups bool `json:"backups"`
}

// ForwardingSettings bounds what a node does for others that have no path to their replicas.
type ForwardingSettings struct {
	// MaxRequests is how many requests of other nodes may be in flight at this one; 0 means a
	// quarter of the connections that clients may make.
	MaxRequests int `json:"max_requests" validate:"gte=0"`
}

// PlacementSettings choose between costs of placement.
type PlacementSettings struct {
	// OwnHall keeps requests in their data hall while it has room. It saves most of the
	// traffic between halls, and some more answers are late.
	OwnHall bool `json:"own_hall"`
}

// Defaults of a gateway.
const (
	// defaultCanaryShare is the share that the users' sites set.
	defaultCanaryShare = 0.1

	// defaultGatewayProbeEvery detects a lost node in about a second among ten nodes.
	defaultGatewayProbeEvery = 300 * time.Millisecond
	// defaultLoadEvery is about the time that the prefill of a prompt takes.
	defaultLoadEvery = 150 * time.Millisecond
	// defaultLongPollTimeout is short enough to notice a store that no longer answers
	// before the time limits of configuration changes apply again.
	defaultLongPollTimeout = 2500 * time.Millisecond
	// defaultRoutinePerSecond is several times the request rate of a small node.
	defaultRoutinePerSecond = 200
	// defaultReturnTime: live upstreams write their rows again within about two seconds
	// after the store is back.
	defaultReturnTime = 2 * time.Second
	// defaultRewriteTime is more than twice the time in which live upstreams write their rows again.
	defaultRewriteTime = 5 * time.Second
	// defaultReplicaRequests is 64 requests of the size that the users' sites allow. The memory
	// of replicas is not known.
	defaultReplicaRequests = 256 << 20
	// defaultMaxEvacuationTime is the shortest time that the users' sites set.
	defaultMaxEvacuationTime = 5 * time.Second
)

// GatewayDefaults returns the values of settings that the file leaves out.
func GatewayDefaults() GatewaySettings {
	return GatewaySettings{
		Entry: GatewayEntrySettings{MaxAge: Duration(defaultMaxAge)},
		Peer: GatewayPeerSettings{
			ProbeEvery: Duration(defaultGatewayProbeEvery),
			LoadEvery:  Duration(defaultLoadEvery),
		},
		Platform: GatewayPlatformSettings{
			LongPollTimeout: Duration(defaultLongPollTimeout),
			ReturnTime:      Duration(defaultReturnTime),
			RewriteTime:     Duration(defaultRewriteTime),
		},
		Limits: GatewayLimitSettings{ReplicaRequests: defaultReplicaRequests},
		Retry:  RetrySettings{Share: defaultRetryShare, Window: Duration(10 * time.Second)},
		Stop:   StopSettings{Grace: Duration(8 * time.Second)},
		Orders: OrderSettings{MinInterval: Duration(3 * time.Second), MaxRolloutTime: Duration(10 * time.Second)},
		Cold:   ColdSettings{Overage: 1},

		Evacuation: EvacuationSettings{MaxTime: Duration(defaultMaxEvacuationTime)},
		Canary:     CanarySettings{Share: defaultCanaryShare},

		Log: LogSettings{Level: "info", Format: "json", RoutinePerSecond: defaultRoutinePerSecond},
	}
}
