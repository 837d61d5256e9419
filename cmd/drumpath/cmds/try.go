package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/load"
	"github.com/drumpath/drumpath/service/node"
	"github.com/drumpath/drumpath/service/operator"
)

const tryHelp = `Starts a node and small stand-ins of engines, a store and the platform
services in this process, on loopback. It sends a long prompt, evicts it
from the engines, sends it again, and prints for both requests the time to
the first token, how many tokens were recomputed, and where the others came
from. The exit code is not 0 if the prompt was not reused.

Example: drumpath try --json`

type tryCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	std  stdio
}

// tryReport is what try prints.
type tryReport struct {
	First     tryRun `json:"first"`
	Returning tryRun `json:"returning"`
}

type tryRun struct {
	TTFTMillis       float64 `json:"ttft_ms"`
	PromptTokens     int     `json:"prompt_tokens"`
	RecomputedTokens int     `json:"recomputed_tokens"`
	Source           string  `json:"source"`
}

func (r tryRun) print(std stdio, name string) {
	std.printf("%-10s %10.1f %14d %11d  %s\n", name, r.TTFTMillis, r.PromptTokens, r.RecomputedTokens, r.Source)
}

const (
	tryOrganisation       = "corrib"
	tryModel              = "m"
	tryPromptBytes        = 64 << 10
	tryConditionTimeout   = 10 * time.Second
	tryPollInterval       = 20 * time.Millisecond
	tryMaxRecomputedShare = 0.1
	// At these rates computing the prompt takes about 1.6 s and importing it 0.4 s, long
	// enough that other load on the machine hardly matters.
	tryPrefillRate = 10_000
	tryLinkRate    = 40e6
)

// Execute implements flags.Commander.
func (c *tryCommand) Execute([]string) error {
	report, err := c.run()
	if err != nil {
		return err
	}
	if c.JSON {
		if err := c.std.printJSON(report); err != nil {
			return err
		}
	} else {
		c.std.printf("%-10s %10s %14s %11s  %s\n", "", "ttft_ms", "prompt_tokens", "recomputed", "source")
		report.First.print(c.std, "first")
		report.Returning.print(c.std, "returning")
	}
	if float64(report.Returning.RecomputedTokens) >= tryMaxRecomputedShare*float64(report.First.RecomputedTokens) {
		c.std.errorf("the returning prompt was not reused\n")
		return &exitError{code: ExitFailed}
	}
	return nil
}

func (c *tryCommand) run() (report tryReport, err error) {
	defer func() { err = eris.Wrap(err, "try") }()
	engine := standin.DefaultEngineConfig()
	engine.PrefillRate = tryPrefillRate
	engine.LinkRate = tryLinkRate
	site, err := standin.StartSite(standin.SiteConfig{
		Engines: 2,
		Stores:  1,
		Engine:  engine,
		Store:   standin.DefaultStoreConfig(),
	})
	if err != nil {
		return report, err
	}
	defer site.Close()
	cfg, err := site.NodeSettings("vm-1")
	if err != nil {
		return report, err
	}
	log, level := node.NewLogger(cfg.Log, c.std.err)
	n, err := node.New(cfg, log, level)
	if err != nil {
		return report, err
	}
	n.Start()
	defer n.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := runStatements(ctx, n, site.Setup(tryModel, site.Engines[0].Stats().State.Weights, tryOrganisation)); err != nil {
		return report, err
	}
	n.Loads.Poll(ctx)
	text := strings.Repeat("A long job specification, screened against again and again. ", tryPromptBytes/60)
	if report.First, err = tryOnce(ctx, n.Entry.Addr(), text); err != nil {
		return report, err
	}
	if err := waitSaved(ctx, site); err != nil {
		return report, err
	}
	for _, e := range site.Engines {
		e.Evict()
	}
	if err := waitEvicted(ctx, n); err != nil {
		return report, err
	}
	report.Returning, err = tryOnce(ctx, n.Entry.Addr(), text)
	return report, err
}

// runStatements runs a script of statements on a node of this process.
func runStatements(ctx context.Context, n *node.Node, script string) error {
	a, err := n.Operator.Run(ctx, operator.RunRequest{Text: script})
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

// waitSaved waits until the store has the prompt.
func waitSaved(ctx context.Context, site *standin.Site) error {
	ctx, cancel := context.WithTimeout(ctx, tryConditionTimeout)
	defer cancel()
	return poll(ctx, "the prompt was not saved to the store", func() bool { return site.Stores[0].Stats().Objects > 0 })
}

// waitEvicted waits until the node knows that the engines have evicted the prompt.
func waitEvicted(ctx context.Context, n *node.Node) error {
	ctx, cancel := context.WithTimeout(ctx, tryConditionTimeout)
	defer cancel()
	return poll(ctx, "the node did not see the engines evict the prompt", func() bool {
		for _, w := range n.Watches.Status() {
			if w.Kind == "engine" && w.Entries > 0 {
				return false
			}
		}
		return true
	})
}

// poll waits until cond is true and fails with a message when ctx ends.
func poll(ctx context.Context, failure string, cond func() bool) error {
	for !cond() {
		select {
		case <-ctx.Done():
			return eris.New(failure)
		case <-time.After(tryPollInterval):
		}
	}
	return nil
}

// tryOnce sends the prompt to the entry address as a client would, and verifies the answer.
func tryOnce(ctx context.Context, entry netip.AddrPort, text string) (r tryRun, err error) {
	const tokens = 16
	body, err := json.Marshal(map[string]any{"model": tryModel, "prompt": text, "max_tokens": tokens, "stream": true})
	if err != nil {
		return r, err
	}
	url := fmt.Sprintf("http://%s/v1/completions", entry)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	req.Header.Set("Authorization", "Bearer key-"+tryOrganisation)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, err
	}
	defer func() { _ = resp.Body.Close() }()
	a, err := load.ReadStream(resp, start)
	if err != nil {
		return r, err
	}
	if want := standin.Answer(text, tokens); a.Text != want {
		return r, eris.Errorf("wrong answer: %q, wanted %q", a.Text, want)
	}
	return tryRun{
		TTFTMillis:       float64(a.FirstToken.Microseconds()) / 1000,
		PromptTokens:     a.PromptTokens,
		RecomputedTokens: a.PromptTokens - a.CachedTokens,
		Source:           a.Source,
	}, nil
}
