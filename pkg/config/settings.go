package config

import "net/netip"

// Settings is everything a node reads from its settings file.
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

// NodeSettings says which VM this is.
type NodeSettings struct {
	Name     string `json:"name" validate:"required"`
	DataHall string `json:"data_hall" validate:"required"`
}

// EntrySettings is the interface for callers.
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

// PlatformSettings says where the platform's services are.
type PlatformSettings struct {
	Table   netip.AddrPort `json:"table" validate:"required"`
	Object  netip.AddrPort `json:"object" validate:"required"`
	VMs     netip.AddrPort `json:"vms"`
	Timeout Duration       `json:"timeout" validate:"gt=0"`
}

// PolicySettings weighs the decisions; weights are in seconds of first-token
// time that one unit of the price is worth.
type PolicySettings struct {
	Name            string  `json:"name" validate:"oneof=drumpath round-robin least-loaded longest-prefix never-import"`
	LatencyWeight   float64 `json:"latency_weight" validate:"gt=0"`
	RecomputeWeight float64 `json:"recompute_weight" validate:"gte=0"`
	LinkWeight      float64 `json:"link_weight" validate:"gte=0"`
	// Patience is how much later the first token may come than it could, for a
	// decision that is cheaper otherwise.
	Patience Duration `json:"patience" validate:"gte=0"`
}

// LimitSettings bounds what a node takes on.
type LimitSettings struct {
	QueueWait     Duration `json:"queue_wait" validate:"gt=0"`
	RetryShare    float64  `json:"retry_share" validate:"gte=0,lte=1"`
	DirectoryKeys int      `json:"directory_keys" validate:"gt=0"`
	LeaseTerm     Duration `json:"lease_term" validate:"gt=0"`
}

// LogSettings says what is logged and how.
type LogSettings struct {
	Level  string `json:"level" validate:"oneof=debug info warn error"`
	Format string `json:"format" validate:"oneof=text json"`
	// RoutinePerSecond bounds a gateway's lines of requests that went well.
	RoutinePerSecond int `json:"routine_per_second" validate:"gte=0"`
}

// Defaults returns the settings that hold where the file is silent.
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
			Patience:        Duration(defaultPatience),
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
