package config

import "time"

// Names of the placement policies; all but PolicyDrumpath are baselines.
const (
	PolicyDrumpath      = "drumpath"
	PolicyRoundRobin    = "round-robin"
	PolicyLeastLoaded   = "least-loaded"
	PolicyLongestPrefix = "longest-prefix"
	PolicyNeverImport   = "never-import"
)

const (
	defaultMaxAge          = 10 * time.Second
	defaultMaxBody         = Size(8 << 20)
	defaultProbeEvery      = time.Second
	defaultPlatformTimeout = 2 * time.Second
	defaultLinkWeight      = 0.1
	defaultMaxExtraLatency = 200 * time.Millisecond
	defaultQueueWait       = 30 * time.Second
	defaultRetryShare      = 0.1
	defaultDirectoryKeys   = 400_000
	defaultLeaseTerm       = 15 * time.Second
)
