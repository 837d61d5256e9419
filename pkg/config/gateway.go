package config

import (
	"net/netip"
	"time"
)

// GatewaySettings is everything a gateway reads from its settings file. What
// the site consists of comes from the platform.
type GatewaySettings struct {
	Node NodeSettings `json:"node"`
	// Regions is the region of each data hall.
	Regions  map[string]string       `json:"regions"`
	Entry    GatewayEntrySettings    `json:"entry"`
	Peer     GatewayPeerSettings     `json:"peer"`
	Platform GatewayPlatformSettings `json:"platform"`
	Limits   GatewayLimitSettings    `json:"limits"`
	Retry    RetrySettings           `json:"retry"`
	Stop     StopSettings            `json:"stop"`
	Orders   OrderSettings           `json:"orders"`
	Cold     ColdSettings            `json:"cold"`
	// Evacuation is how a data hall is left that operators evacuate.
	Evacuation EvacuationSettings `json:"evacuation"`
	Log        LogSettings        `json:"log"`
	Disabled   DisabledMechanisms `json:"without"`
	Test       TestSettings       `json:"test"`
}

// TestSettings are for tests only.
type TestSettings struct {
	// Suspended is for how long the machine is to be taken to have been suspended. A reload
	// with a longer time is a suspension of what it is longer.
	Suspended Duration `json:"suspended" validate:"gte=0"`
}

// GatewayEntrySettings is where callers reach the node.
type GatewayEntrySettings struct {
	// Listen is for requests, Ready for the platform's question whether the
	// node is ready, and Directory for callers that ask where to go.
	Listen    netip.AddrPort `json:"listen" validate:"required"`
	Ready     netip.AddrPort `json:"ready" validate:"required"`
	Directory netip.AddrPort `json:"directory" validate:"required"`
	// Metrics is where figures and a dump are served, if it is set.
	Metrics netip.AddrPort `json:"metrics"`
	// MaxAge is for how long an answer of the directory holds.
	MaxAge Duration `json:"max_age" validate:"gt=0"`
}

// GatewayPeerSettings is the interface between nodes; Listen is used for TCP
// and UDP.
type GatewayPeerSettings struct {
	Listen netip.AddrPort `json:"listen" validate:"required"`
	// Key keeps nodes of different sites apart.
	Key        string   `json:"key" validate:"min=8"`
	ProbeEvery Duration `json:"probe_every" validate:"gt=0"`
	// LoadEvery is how often nodes tell each other what they have in flight.
	LoadEvery Duration `json:"load_every" validate:"gt=0"`
}

// GatewayPlatformSettings says how the platform's store is used.
type GatewayPlatformSettings struct {
	Store netip.AddrPort `json:"store" validate:"required"`
	// LongPollTimeout is for how long a call that waits for changes is held.
	LongPollTimeout Duration `json:"hold" validate:"gt=0"`
	// ReturnTime is for how long an upstream that the store has dropped while
	// it was away is still used.
	ReturnTime Duration `json:"return_time" validate:"gte=0"`
}

// GatewayLimitSettings bounds what the process takes.
type GatewayLimitSettings struct {
	MemoryMB    float64 `json:"memory_mb" validate:"gte=0"`
	Descriptors int     `json:"descriptors" validate:"gte=0"`
	// LinkMbps is the rate of the node's link in Mbit/s, 0 if it is not known.
	// Duties that send much fall to the nodes with the widest links.
	LinkMbps float64 `json:"link_mbps" validate:"gte=0"`
}

// RetrySettings is the budget of retries that all nodes share.
type RetrySettings struct {
	Share  float64  `json:"share" validate:"gte=0"`
	Window Duration `json:"window" validate:"gt=0"`
	Slack  float64  `json:"slack" validate:"gte=0"`
}

// StopSettings says how a planned stop goes.
type StopSettings struct {
	// Grace is the time from the signal to the kill.
	Grace Duration `json:"grace" validate:"gt=0"`
}

// OrderSettings is what orders to replicas keep to.
type OrderSettings struct {
	// Pause is the least time between the orders of two nodes to a replica.
	Pause Duration `json:"pause" validate:"gte=0"`
	// Within is by when replicas must have weights that were named.
	Within Duration `json:"within" validate:"gt=0"`
}

// ColdSettings bounds what all nodes together send to one replica that is cold: in any
// second as many requests as its service says that one bears, times Overage, and Slack.
type ColdSettings struct {
	Overage float64 `json:"overage" validate:"gte=1"`
	Slack   float64 `json:"slack" validate:"gte=0"`
}

// EvacuationSettings is how a data hall is left.
type EvacuationSettings struct {
	// Within is by when its replicas get nothing more.
	Within Duration `json:"within" validate:"gt=0"`
}

// Defaults of a gateway.
const (
	// defaultGatewayProbe finds a lost node in about a second at ten nodes.
	defaultGatewayProbe = 300 * time.Millisecond
	// defaultLoadEvery is about the time that a prompt takes to be read.
	defaultLoadEvery = 150 * time.Millisecond
	// defaultHold is short enough to notice a store that has fallen silent
	// before the bounds of the configuration run again.
	defaultHold = 2500 * time.Millisecond
	// defaultRoutineLines is some times the requests of a small node.
	defaultRoutineLines = 200
	// defaultReturnTime: the users' rules of work say that the entries of
	// upstreams that live are back about two seconds after the store.
	defaultReturnTime = 1800 * time.Millisecond
	// defaultEvacuation is the least that operators of the users' sites allow.
	defaultEvacuation = 5 * time.Second
)

// GatewayDefaults returns the settings that hold where the file is silent.
func GatewayDefaults() GatewaySettings {
	return GatewaySettings{
		Entry: GatewayEntrySettings{MaxAge: Duration(defaultMaxAge)},
		Peer: GatewayPeerSettings{
			ProbeEvery: Duration(defaultGatewayProbe),
			LoadEvery:  Duration(defaultLoadEvery),
		},
		Platform: GatewayPlatformSettings{
			LongPollTimeout: Duration(defaultHold),
			ReturnTime:      Duration(defaultReturnTime),
		},
		Retry:  RetrySettings{Share: defaultRetryShare, Window: Duration(10 * time.Second)},
		Stop:   StopSettings{Grace: Duration(8 * time.Second)},
		Orders: OrderSettings{Pause: Duration(3 * time.Second), Within: Duration(10 * time.Second)},
		Cold:   ColdSettings{Overage: 1},

		Evacuation: EvacuationSettings{Within: Duration(defaultEvacuation)},

		Log: LogSettings{Level: "info", Format: "json", RoutinePerSecond: defaultRoutineLines},
	}
}
