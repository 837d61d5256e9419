package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/load"
)

// policyCommand compares placement policies under the same loads.
type policyCommand struct {
	Profiles []string `long:"profile" description:"only these"`
	Policies []string `long:"policy" description:"only these"`
	Nodes    int      `long:"nodes" default:"4"`
	Engines  int      `long:"engines" default:"18"`
	Fixtures string   `long:"fixtures" default:"_fixtures"`
	JSON     string   `long:"json" description:"also write all reports to this file"`
}

// Execute implements flags.Commander.
func (c *policyCommand) Execute([]string) error {
	cases, err := c.cases()
	if err != nil {
		return err
	}
	policies := c.Policies
	if len(policies) == 0 {
		policies = []string{
			config.PolicyDrumpath, config.PolicyNeverImport, config.PolicyLongestPrefix,
			config.PolicyLeastLoaded, config.PolicyRoundRobin,
		}
	}
	var results []policyResult
	printHeader()
	for _, cs := range cases {
		if len(c.Profiles) > 0 && !slices.Contains(c.Profiles, cs.profile.Name) {
			continue
		}
		for _, policy := range policies {
			m, err := c.run(cs, policy)
			if err != nil {
				return err
			}
			m.print()
			results = append(results, m)
		}
	}
	if c.JSON == "" {
		return nil
	}
	body, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, body, 0o600)
}

// policyCase is one load and, if set, the fault injected half-way through it.
type policyCase struct {
	profile load.Profile
	weights config.PolicySettings
	fault   func(s *standin.Site)
}

var (
	corribWeights = config.PolicySettings{
		LatencyWeight: 1, RecomputeWeight: 3, LinkWeight: 0.1, MaxExtraLatency: config.Duration(200 * time.Millisecond),
	}
	milklineWeights = config.PolicySettings{
		LatencyWeight: 1, RecomputeWeight: 0.3, LinkWeight: 0.1, MaxExtraLatency: config.Duration(50 * time.Millisecond),
	}
)

// overloadFactor is the rate of the overload case, relative to capacityRate.
const overloadFactor = 1.5

// cases returns the loads that docs/POLICY.md reports on.
func (c *policyCommand) cases() ([]policyCase, error) {
	corrib, err := load.ReadProfile(filepath.Join(c.Fixtures, "corrib.load.json"))
	if err != nil {
		return nil, err
	}
	milkline, err := load.ReadProfile(filepath.Join(c.Fixtures, "milkline.load.json"))
	if err != nil {
		return nil, err
	}
	variant := func(name string, change func(p *load.Profile)) load.Profile {
		p := corrib
		p.Name = name
		change(&p)
		return p
	}
	return []policyCase{
		{profile: corrib, weights: corribWeights},
		{profile: milkline, weights: milklineWeights},
		{
			profile: variant("hot-prompt", func(p *load.Profile) { p.HotShare = 0.5 }),
			weights: corribWeights,
		},
		{
			profile: variant("store-lost", func(*load.Profile) {}),
			weights: corribWeights,
			fault:   func(s *standin.Site) { s.Stores[0].SetFault(standin.Fault{Down: true}) },
		},
		{
			profile: variant("slow-link", func(*load.Profile) {}),
			weights: corribWeights,
			fault: func(s *standin.Site) {
				for _, st := range s.Stores {
					st.SetFault(standin.Fault{LinkFactor: 0.1})
				}
			},
		},
		{
			profile: variant("capacity", func(p *load.Profile) { p.Rate = capacityRate; p.SendDeadline = true }),
			weights: corribWeights,
		},
		{
			profile: variant("overload", func(p *load.Profile) { p.Rate = capacityRate * overloadFactor; p.SendDeadline = true }),
			weights: corribWeights,
		},
	}, nil
}

// capacityRate is about the highest rate, in requests per second, at which drumpath
// answered every request within its deadline in trial runs of this measurement.
const capacityRate = 70

// policyResult is the result of one load under one policy.
type policyResult struct {
	Policy string      `json:"policy"`
	Report load.Report `json:"report"`
	// LinkBytes is how many bytes were moved over the stores' links.
	LinkBytes int64 `json:"link_bytes"`
	BadReads  int   `json:"bad_reads"`
	// Imports and the following counts are sums over the nodes.
	Imports       int64 `json:"imports"`
	ImportsShared int64 `json:"imports_shared"`
	ImportsFailed int64 `json:"imports_failed"`
	Exports       int64 `json:"exports"`
}

func siteConfig(engines int) standin.SiteConfig {
	cfg := standin.SiteConfig{
		Engines: engines,
		Stores:  2,
		Engine:  standin.DefaultEngineConfig(),
		Store:   standin.DefaultStoreConfig(),
	}
	cfg.Store.LinkRate = 300e6
	return cfg
}

func (c *policyCommand) run(cs policyCase, policy string) (m policyResult, err error) {
	weights := cs.weights
	weights.Name = policy
	var names []string
	for _, o := range cs.profile.Organisations {
		names = append(names, o.Name)
	}
	cluster, err := startCluster(siteConfig(c.Engines), c.Nodes, weights, names)
	if err != nil {
		return m, err
	}
	defer cluster.close()
	var once sync.Once
	faultTime := (cs.profile.Duration.Std() + cs.profile.Warm.Std()) / 2
	report, err := load.Run(context.Background(), cs.profile, load.Options{
		Entries: cluster.entries(),
		Verify:  standin.Answer,
		OnTick: func(since time.Duration) {
			if cs.fault != nil && since >= faultTime {
				once.Do(func() { cs.fault(cluster.site) })
			}
		},
	})
	m = policyResult{Policy: policy, Report: report}
	for _, st := range cluster.site.Stores {
		s := st.Stats()
		m.LinkBytes += s.Moved
		m.BadReads += s.BadReads
	}
	for _, n := range cluster.nodes {
		m.Imports += n.Metrics.Imports.Value()
		m.ImportsShared += n.Metrics.ImportsShared.Value()
		m.ImportsFailed += n.Metrics.ImportsFailed.Value()
		m.Exports += n.Metrics.Exports.Value()
	}
	return m, err
}

func printHeader() {
	fmt.Println("| load | policy | p50 ms | p95 ms | p99 ms | recomputed | imports, failed | exports | link MB | fairness | refused | failed | wrong, lost | in deadline |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

func (m policyResult) print() {
	r := m.Report
	fmt.Printf("| %s | %s | %.0f | %.0f | %.0f | %.1f%% | %d, %d | %d | %d | %.2f | %d of %d | %d | %d, %d | %.1f/s |\n",
		r.Profile, m.Policy, r.FirstTokenP50, r.FirstTokenP95, r.FirstTokenP99, 100*r.RecomputedShare,
		m.Imports, m.ImportsFailed, m.Exports, m.LinkBytes/1e6, r.Fairness, r.Refused, r.Sent, r.Failed, r.Wrong, r.Lost, float64(r.InDeadline)/r.Seconds)
}
