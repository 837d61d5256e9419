package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/service/node"
)

// nodesCommand measures what idle nodes cost, and how fast a change spreads.
type nodesCommand struct {
	Counts  []int         `long:"count" description:"numbers of nodes" default:"8" default:"30" default:"100"`
	Rest    time.Duration `long:"rest" default:"10s" description:"how long to measure at rest"`
	Changes int           `long:"changes" default:"10" description:"changes of configuration to time"`
}

// Execute implements flags.Commander.
func (c *nodesCommand) Execute([]string) error {
	fmt.Println("| nodes | probe bytes/s a node | core share a node | heap MB a node | table writes/s | in force, median | in force, worst |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, n := range c.Counts {
		if err := c.run(n); err != nil {
			return err
		}
	}
	return nil
}

func (c *nodesCommand) run(count int) error {
	site, err := standin.StartSite(standin.SiteConfig{})
	if err != nil {
		return err
	}
	defer site.Close()
	heapBefore := heap()
	nodes, err := startIdle(site, count)
	defer func() {
		for _, n := range nodes {
			n.Close()
		}
	}()
	if err != nil {
		return err
	}
	heapEach := float64(heap()-heapBefore) / float64(count) / (1 << 20)
	sent, cpu, commits := sentBytes(nodes), cpuTime(), site.Table.Commits()
	time.Sleep(c.Rest)
	perNode := func(x float64) float64 { return x / float64(count) / c.Rest.Seconds() }
	bytes := perNode(float64(sentBytes(nodes) - sent))
	share := perNode((cpuTime() - cpu).Seconds())
	writes := float64(site.Table.Commits()-commits) / c.Rest.Seconds()
	times, err := c.spread(nodes)
	if err != nil {
		return err
	}
	fmt.Printf("| %d | %.0f | %.3f%% | %.2f | %.1f | %s | %s |\n", count, bytes, 100*share, heapEach, writes,
		times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	return nil
}

// startIdle starts nodes without upstreams, at a product's pace, and waits
// until they know each other.
func startIdle(site *standin.Site, count int) (nodes []*node.Node, err error) {
	var seeds []netip.AddrPort
	for i := range count {
		s, err := site.NodeSettings("vm-"+strconv.Itoa(i), seeds[:min(len(seeds), 3)]...)
		if err != nil {
			return nodes, err
		}
		s.Peer.ProbeEvery = config.Duration(time.Second)
		n, err := node.New(s, slog.New(slog.DiscardHandler), new(slog.LevelVar))
		if err != nil {
			return nodes, err
		}
		seeds = append(seeds, s.Peer.Listen)
		n.Start()
		nodes = append(nodes, n)
	}
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !slices.ContainsFunc(nodes, func(n *node.Node) bool { return len(n.Members.Working()) != count }) {
			// Let the news of joining die down.
			time.Sleep(30 * time.Second)
			return nodes, nil
		}
	}
	return nodes, eris.Errorf("%d nodes did not all learn of each other in time", count)
}

// spread makes changes and times until every node has each.
func (c *nodesCommand) spread(nodes []*node.Node) (times []time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	for i := range c.Changes {
		cmd := config.Command{
			Verb: config.VerbCreate, Kind: config.KindModel, Name: "m" + strconv.Itoa(i),
			Fields: []config.Field{{Name: "weights", Value: "w"}},
		}
		start := time.Now()
		version, err := nodes[i%len(nodes)].Config.Propose(ctx, cmd, 0)
		if err != nil {
			return nil, err
		}
		for _, n := range nodes {
			if err := n.Config.Wait(ctx, version); err != nil {
				return nil, err
			}
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	return times, nil
}

func sentBytes(nodes []*node.Node) int64 {
	sum := int64(0)
	for _, n := range nodes {
		sum += n.Probes.SentBytes()
	}
	return sum
}

// cpuTime is the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
