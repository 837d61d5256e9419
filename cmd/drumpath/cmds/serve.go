package cmds

import (
	"context"
	"expvar"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/service/node"
)

const serveHelp = `Runs a node until SIGTERM or SIGINT, or until the platform's list marks
this VM as leaving. The node then announces its stop, keeps serving while
clients may still have its address, finishes requests in flight, and exits.
A second signal ends it without waiting for requests; claims are still
written.

Example: drumpath serve -c node.json`

type serveCommand struct {
	settingsFlag
	std stdio
}

// leavingPollInterval is how often the node checks whether its VM is leaving.
const leavingPollInterval = 500 * time.Millisecond

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	log, level := node.NewLogger(s.Log, c.std.err)
	n, err := node.New(s, log, level)
	if err != nil {
		return err
	}
	expvar.Publish("drumpath", n.MetricsVar())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	n.Start()
	waitForStop(n, signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	n.Leave(ctx)
	n.Close()
	log.Info("node stopped")
	return nil
}

// waitForStop returns at the first signal, or when the VM is leaving.
func waitForStop(n *node.Node, signals <-chan os.Signal) {
	t := time.NewTicker(leavingPollInterval)
	defer t.Stop()
	for {
		select {
		case <-signals:
			return
		case <-t.C:
			if n.Platform.SelfLeaving() {
				return
			}
		}
	}
}
