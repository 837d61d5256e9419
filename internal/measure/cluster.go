package main

import (
	"context"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/service/node"
	"github.com/drumpath/drumpath/service/operator"
)

// cluster is a few nodes before a site of stand-ins.
type cluster struct {
	site  *standin.Site
	nodes []*node.Node
}

// startCluster starts nodes with a policy before a new site and tells them of
// it.
func startCluster(cfg standin.SiteConfig, nodes int, policy config.PolicySettings, organisations []string) (c *cluster, err error) {
	c = &cluster{}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if c.site, err = standin.StartSite(cfg); err != nil {
		return c, err
	}
	var seeds []netip.AddrPort
	for i := range nodes {
		s, err := c.site.NodeSettings("vm-"+strconv.Itoa(i), seeds...)
		if err != nil {
			return c, err
		}
		s.Policy = policy
		s.Log.Level = "error"
		log, level := node.NewLogger(s.Log, os.Stderr)
		n, err := node.New(s, log, level)
		if err != nil {
			return c, err
		}
		seeds = append(seeds, s.Peer.Listen)
		n.Start()
		c.nodes = append(c.nodes, n)
	}
	if err := c.setUp(organisations); err != nil {
		return c, err
	}
	return c, c.waitReady(nodes, cfg.Engines)
}

func (c *cluster) setUp(organisations []string) error {
	a, err := c.nodes[0].Operator.Run(context.Background(), operator.RunRequest{
		Text: c.site.Setup("m", "w1", organisations...),
	})
	if err != nil {
		return err
	}
	for _, r := range a.Results {
		if r.Error != nil {
			return r.Error
		}
	}
	return nil
}

// waitReady waits until all nodes know each other and every engine's load.
func (c *cluster) waitReady(nodes, engines int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range c.nodes {
			reported := 0
			for _, r := range n.Fleet.Status(time.Now()) {
				if r.Report.Weights != "" {
					reported++
				}
			}
			ready = ready && len(n.Members.Working()) == nodes && reported == engines
		}
		if ready {
			return nil
		}
	}
	return eris.New("nodes did not learn of all members and engine loads in time")
}

func (c *cluster) entries() []netip.AddrPort {
	var list []netip.AddrPort
	for _, n := range c.nodes {
		list = append(list, n.Entry.Addr())
	}
	return list
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.Close()
	}
	if c.site != nil {
		c.site.Close()
	}
}
