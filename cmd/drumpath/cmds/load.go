package cmds

import (
	"context"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/load"
)

const loadHelp = `Sends the load of a profile to a running system and reports latencies and
errors as clients see them. Requests are sent at the profile's rate, without
waiting for earlier answers. The exit code is not 0 if an answer was lost or
wrong.

Examples:
  drumpath load -p _fixtures/corrib.load.json --entry 127.0.0.1:8080
  drumpath load -p profile.json --entry 127.0.0.1:8080 --verify --json`

type loadCommand struct {
	Profile string   `short:"p" long:"profile" value-name:"FILE" required:"true" description:"profile, JSON with comments"`
	Entry   []string `short:"e" long:"entry" value-name:"ADDRESS" required:"true" description:"entry address to ask first; may be repeated"`
	Verify  bool     `long:"verify" description:"check each answer, as the stand-ins give them"`
	JSON    bool     `long:"json" description:"print JSON"`
	std     stdio
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	p, err := load.ReadProfile(c.Profile)
	if err != nil {
		return err
	}
	opts := load.Options{Progress: c.progress}
	for _, text := range c.Entry {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		opts.Entries = append(opts.Entries, addr)
	}
	if c.Verify {
		opts.Verify = standin.Answer
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := load.Run(ctx, p, opts)
	if err != nil {
		return err
	}
	if err := c.print(r); err != nil {
		return err
	}
	if r.Lost > 0 || r.Wrong > 0 {
		c.std.errorf("%d answers lost, %d wrong\n", r.Lost, r.Wrong)
		return &exitError{code: ExitFailed}
	}
	return nil
}

func (c *loadCommand) progress(p load.Progress) {
	c.std.errorf("\r%s: sent %d, done %d, refused %d ", p.Since.Round(time.Second), p.Sent, p.Done, p.Refused)
}

func (c *loadCommand) print(r load.Report) error {
	c.std.errorf("\n")
	if c.JSON {
		return c.std.printJSON(r)
	}
	c.std.printf("sent %d, answered %d, refused %d, failed %d, outcome unknown %d, wrong %d, lost %d\n",
		r.Sent, r.Answered, r.Refused, r.Failed, r.Unknown, r.Wrong, r.Lost)
	c.std.printf("first token p50 %.1f ms, p95 %.1f ms, p99 %.1f ms; between tokens p95 %.1f ms\n",
		r.FirstTokenP50, r.FirstTokenP95, r.FirstTokenP99, r.BetweenTokensP95)
	c.std.printf("recomputed %.1f%% of prompt tokens; fairness %.2f; within deadline %d\n",
		100*r.RecomputedShare, r.Fairness, r.InDeadline)
	return nil
}
