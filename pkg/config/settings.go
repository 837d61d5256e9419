package config

import "net/netip"

// Settings is a node's settings file.
type Settings struct {
	Node     NodeSettings     `json:"node"`
	Entry    EntrySettings    `json:"entry"`
	Peer     PeerSettings     `json:"peer"`
	Operator OperatorSettings `json:"operator"`
	Platform PlatformSettings `json:"platform"`
	Policy   PolicySettings   `json:"policy"`
	Limits   LimitSettings    `json:"limits"`
	Log      LogSettings      `json:"log"`
}

// NodeSettings names the VM that the node runs on and its data hall.
type NodeSettings struct {
	Name     string `json:"name" validate:"required"`
	DataHall string `json:"data_hall" validate:"required"`
}

// EntrySettings is the interface for clients.
type EntrySettings struct {
	Listen  netip.AddrPort `json:"listen" validate:"required"`
	MaxAge  Duration       `json:"max_age" validate:"gt=0"`
	MaxBody Size           `json:"max_body" validate:"gt=0"`
}

// PeerSettings is the interface between nodes; Listen is used for TCP and UDP.
type PeerSettings struct {
	Listen     netip.AddrPort   `json:"listen" validate:"required"`
	Key        string           `json:"key" validate:"min=8"`
	Seeds      []netip.AddrPort `json:"seeds"`
	ProbeEvery Duration         `json:"probe_every" validate:"gt=0"`
}

// OperatorSettings is the interface for operators, served on Peer.Listen.
type OperatorSettings struct {
	Token string `json:"token" validate:"min=8"`
}

// PlatformSettings are the addresses of the platform's services.
type PlatformSettings struct {
	Table   netip.AddrPort `json:"table" validate:"required"`
	Object  netip.AddrPort `json:"object" validate:"required"`
	VMs     netip.AddrPort `json:"vms"`
	Timeout Duration       `json:"timeout" validate:"gt=0"`
}

// PolicySettings configures placement. A weight is the first-token time, in seconds, that
// one unit of its cost counts as.
type PolicySettings struct {
	Name            string  `json:"name" validate:"oneof=drumpath round-robin least-loaded longest-prefix never-import"`
	LatencyWeight   float64 `json:"latency_weight" validate:"gt=0"`
	RecomputeWeight float64 `json:"recompute_weight" validate:"gte=0"`
	LinkWeight      float64 `json:"link_weight" validate:"gte=0"`
	// MaxExtraLatency is how much later than with the fastest choice the first token may
	// come for the sake of a lower cost.
	MaxExtraLatency Duration `json:"patience" validate:"gte=0"`
}

// LimitSettings bounds the work and state of a node.
type LimitSettings struct {
	QueueWait     Duration `json:"queue_wait" validate:"gt=0"`
	RetryShare    float64  `json:"retry_share" validate:"gte=0,lte=1"`
	DirectoryKeys int      `json:"directory_keys" validate:"gt=0"`
	LeaseTerm     Duration `json:"lease_term" validate:"gt=0"`
}

// LogSettings configures the log.
type LogSettings struct {
	Level  string `json:"level" validate:"oneof=debug info warn error"`
	Format string `json:"format" validate:"oneof=text json"`
	// RoutinePerSecond limits a gateway's log lines of successful requests.
	RoutinePerSecond int `json:"routine_per_second" validate:"gte=0"`
}

// Defaults returns the values of settings that the file leaves out.
func Defaults() Settings {
	return Settings{
		Entry: EntrySettings{MaxAge: Duration(defaultMaxAge), MaxBody: defaultMaxBody},
		Peer:  PeerSettings{ProbeEvery: Duration(defaultProbeEvery)},
		Platform: PlatformSettings{
			Timeout: Duration(defaultPlatformTimeout),
		},
		Policy: PolicySettings{
			Name:            PolicyDrumpath,
			LatencyWeight:   1,
			RecomputeWeight: 1,
			LinkWeight:      defaultLinkWeight,
			MaxExtraLatency: Duration(defaultMaxExtraLatency),
		},
		Limits: LimitSettings{
			QueueWait:     Duration(defaultQueueWait),
			RetryShare:    defaultRetryShare,
			DirectoryKeys: defaultDirectoryKeys,
			LeaseTerm:     Duration(defaultLeaseTerm),
		},
		Log: LogSettings{Level: "info", Format: "text"},
	}
}
