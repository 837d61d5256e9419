package operator

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/lang"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
)

// explain answers where a request would run now, and why. It records no occurrence in
// the directory.
func (s *Service) explain(ctx context.Context, e *lang.Explain) (lang.Table, error) {
	state := s.Log.State()
	if _, ok := state.Organisations[e.Organisation]; !ok {
		return lang.Table{}, &lang.QueryError{Message: fmt.Sprintf("organisation %q does not exist", e.Organisation)}
	}
	model, ok := state.Models[e.Model]
	if !ok {
		return lang.Table{}, &lang.QueryError{Message: fmt.Sprintf("model %q does not exist", e.Model)}
	}
	scope := prompt.Scope{
		Organisation: e.Organisation,
		Model:        e.Model,
		Weights:      s.Fleet.ServedWeights(e.Model, model.Weights),
		Adapter:      e.Adapter,
	}
	rule, _ := state.RuleFor(e.Organisation, e.Model)
	scope.Reuse = rule.Scope(e.Label, "explain")
	chain := prompt.NewChain(scope, e.Prompt)
	match := s.Directory.Lookup(ctx, chain.Marks)
	t := lang.Table{Columns: []string{"what", "value"}}
	add := func(what, value string) { t.Rows = append(t.Rows, []string{what, value}) }
	add("weights", scope.Weights)
	add("reuse rule", ruleText(rule))
	add("prompt tokens", strconv.Itoa(chain.Tokens))
	for _, location := range match.Locations {
		kind := "hot on engine "
		if location.Object != nil {
			kind = "kept in store "
		}
		add(kind+location.Upstream, fmt.Sprintf("%d tokens", location.Tokens()))
	}
	for _, o := range match.Occurrences {
		add(fmt.Sprintf("seen, first %d tokens", o.Chunks*prompt.ChunkTokens),
			fmt.Sprintf("%d times, last %s ago, mean gap %s", o.Count, o.Since, o.Gap))
	}
	d, err := s.Policy.Place(&route.Request{
		Model:    e.Model,
		Weights:  scope.Weights,
		DataHall: s.Settings.Node.DataHall,
		Chain:    chain,
		Match:    match,
	}, time.Now())
	if errors.Is(err, route.ErrNoReplica) {
		add("decision", "refused: "+err.Error())
		return t, nil
	}
	if err != nil {
		return lang.Table{}, err
	}
	add("decision", "run on "+d.Replica)
	if d.Import != nil {
		add("import", fmt.Sprintf("%d tokens from %s, given up after %s",
			d.Import.Chunks*prompt.ChunkTokens, d.Import.Store, d.Import.Timeout.Round(time.Millisecond)))
	}
	add("recomputed tokens", strconv.Itoa(d.Recompute))
	add("wait", d.Wait.Round(time.Microsecond).String())
	add("import time", d.Fetch.Round(time.Microsecond).String())
	add("prefill time", d.Prefill.Round(time.Microsecond).String())
	add("first token", d.FirstToken().Round(time.Microsecond).String())
	add("score", strconv.FormatFloat(d.Score, 'f', 4, 64))
	return t, nil
}

func ruleText(r config.Rule) string {
	if r.Name == "" {
		return "none: the organisation shares"
	}
	return fmt.Sprintf("%s: %s", r.Name, r.Mode)
}
