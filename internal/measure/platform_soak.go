package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	platformsoak "github.com/drumpath/drumpath/internal/soak"
)

// platformSoakCommand soaks gateways with one seed after the other.
type platformSoakCommand struct {
	Drumpath string        `long:"drumpath" required:"true" description:"the program under test"`
	Nodes    int           `long:"nodes" default:"5"`
	Replicas int           `long:"replicas" default:"6"`
	Clients  int           `long:"clients" default:"24"`
	Engines  int           `long:"engines" default:"4"`
	Rounds   int           `long:"rounds" default:"2" description:"in which weights are named while processes are disturbed, after the faults"`
	Duration time.Duration `long:"duration" default:"20s" description:"of the faults, for each seed"`
	Seed     uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds    int           `long:"seeds" default:"1"`
	Logs     string        `long:"logs" description:"folder in which the logs of seeds that failed are kept"`
}

var errViolated = errors.New("guarantees were violated")

// Execute implements flags.Commander.
func (c *platformSoakCommand) Execute([]string) error {
	failed := 0
	for i := range c.Seeds {
		violated, err := c.runSeed(c.Seed + uint64(i))
		if err != nil {
			return err
		}
		if violated {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w with %d of %d seeds", errViolated, failed, c.Seeds)
	}
	return nil
}

// runSeed soaks with one seed and prints the report as a line of JSON.
func (c *platformSoakCommand) runSeed(seed uint64) (violated bool, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	r, err := platformsoak.Run(context.Background(), platformsoak.Config{
		Program: c.Drumpath, Seed: seed, Nodes: c.Nodes, Replicas: c.Replicas, Clients: c.Clients, Engines: c.Engines, Rounds: c.Rounds, Duration: c.Duration, Dir: dir,
	})
	if err != nil {
		return false, err
	}
	line, err := json.Marshal(r)
	if err != nil {
		return false, err
	}
	fmt.Println(string(line))
	if len(r.Broken) == 0 || c.Logs == "" {
		return len(r.Broken) > 0, nil
	}
	return true, os.CopyFS(filepath.Join(c.Logs, fmt.Sprint("seed-", seed)), os.DirFS(dir))
}
