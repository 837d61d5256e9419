package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/lang"
)

const (
	peerRowsTimeout    = 2 * time.Second
	maxConcurrentPeers = 16
	maxChangeRows      = 100
)

// configTables are the tables of the configuration, which are the same on every node.
var configTables = map[string]func(*config.State) lang.Table{
	"organisations": organisationTable,
	"models":        modelTable,
	"adapters":      adapterTable,
	"rules":         ruleTable,
	"upstreams":     upstreamTable,
}

// nodeTables are the tables of which each node has its own rows.
var nodeTables = []string{"prompts", "queues", "links", "leases", "duties", "versions"}

// table returns a whole table by name.
func (s *Service) table(ctx context.Context, name string) (lang.Table, error) {
	name = strings.ToLower(name)
	if build, ok := configTables[name]; ok {
		return build(s.Log.State()), nil
	}
	if slices.Contains(nodeTables, name) {
		return s.tableFromAllNodes(ctx, name)
	}
	switch name {
	case "nodes":
		return s.nodeTable(), nil
	case "replicas":
		return s.replicaTable(), nil
	case "changes":
		return s.changeTable(), nil
	}
	tables := slices.Concat(slices.Sorted(maps.Keys(configTables)), nodeTables, []string{"nodes", "replicas", "changes"})
	return lang.Table{}, &lang.QueryError{Message: fmt.Sprintf("no table %q; there are %s", name, strings.Join(tables, ", "))}
}

// tableFromAllNodes collects a table's rows from all working nodes. A node that does not
// answer gets a row that says so.
func (s *Service) tableFromAllNodes(ctx context.Context, name string) (lang.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRowsTimeout)
	defer cancel()
	members := s.Members.Working()
	memberTables := make([]lang.Table, len(members))
	errs := make([]error, len(members))
	semaphore := make(chan struct{}, maxConcurrentPeers)
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			memberTables[i], errs[i] = s.memberRows(ctx, m, name)
		})
	}
	wg.Wait()
	all := lang.Table{Columns: []string{"node"}}
	for _, t := range memberTables {
		if len(t.Columns) > 0 {
			all.Columns = append([]string{"node"}, t.Columns...)
			break
		}
	}
	for i, m := range members {
		for _, row := range memberTables[i].Rows {
			all.Rows = append(all.Rows, append([]string{m.Name}, row...))
		}
		if errs[i] != nil {
			noAnswerRow := make([]string, len(all.Columns))
			noAnswerRow[0] = m.Name
			if len(noAnswerRow) > 1 {
				noAnswerRow[1] = "(no answer)"
			}
			all.Rows = append(all.Rows, noAnswerRow)
		}
	}
	return all, nil
}

func (s *Service) memberRows(ctx context.Context, m control.Member, name string) (lang.Table, error) {
	if m.Name == s.Settings.Node.Name {
		t, _ := s.Local.Rows(name)
		return t, nil
	}
	return s.Peers.Rows(ctx, m, name)
}

func organisationTable(s *config.State) lang.Table {
	t := lang.Table{Columns: []string{"name", "share", "concurrency", "tokens_per_second"}}
	for _, name := range slices.Sorted(maps.Keys(s.Organisations)) {
		o := s.Organisations[name]
		t.Rows = append(t.Rows, []string{name, number(o.Share), strconv.Itoa(o.Concurrency), number(o.TokensPerSecond)})
	}
	return t
}

func modelTable(s *config.State) lang.Table {
	t := lang.Table{Columns: []string{"name", "weights"}}
	for _, name := range slices.Sorted(maps.Keys(s.Models)) {
		t.Rows = append(t.Rows, []string{name, s.Models[name].Weights})
	}
	return t
}

func adapterTable(s *config.State) lang.Table {
	t := lang.Table{Columns: []string{"name", "model"}}
	for _, name := range slices.Sorted(maps.Keys(s.Adapters)) {
		t.Rows = append(t.Rows, []string{name, s.Adapters[name].Model})
	}
	return t
}

func ruleTable(s *config.State) lang.Table {
	t := lang.Table{Columns: []string{"name", "organisation", "model", "mode"}}
	for _, name := range slices.Sorted(maps.Keys(s.Rules)) {
		r := s.Rules[name]
		t.Rows = append(t.Rows, []string{name, r.Organisation, r.Model, string(r.Mode)})
	}
	return t
}

func upstreamTable(s *config.State) lang.Table {
	t := lang.Table{Columns: []string{"name", "kind", "address", "data_hall", "model", "path", "fenced", "drained"}}
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		u := s.Upstreams[name]
		t.Rows = append(t.Rows, []string{
			name, string(u.Kind), u.Address.String(), u.DataHall, u.Model, u.Path,
			strconv.FormatBool(u.Fenced), strconv.FormatBool(u.Drained),
		})
	}
	return t
}

func (s *Service) nodeTable() lang.Table {
	state := s.Log.State()
	t := lang.Table{Columns: []string{"name", "state", "data_hall", "entry", "peer", "drained"}}
	for _, m := range s.Members.All() {
		t.Rows = append(t.Rows, []string{
			m.Name, m.State.String(), m.DataHall, m.Entry.String(), m.Peer.String(),
			strconv.FormatBool(state.Nodes[m.Name].Drained),
		})
	}
	return t
}

func (s *Service) replicaTable() lang.Table {
	t := lang.Table{Columns: []string{
		"name", "model", "weights", "data_hall", "running", "queued", "prefill_queue", "in_flight", "wait_ms", "ejected",
	}}
	for _, r := range s.Fleet.Status(time.Now()) {
		t.Rows = append(t.Rows, []string{
			r.Name, r.Model, r.Report.Weights, r.DataHall,
			strconv.Itoa(r.Report.Running), strconv.Itoa(r.Report.Queued), strconv.Itoa(r.Report.PrefillQueue),
			strconv.Itoa(r.InFlight), milliseconds(r.Wait), strconv.FormatBool(r.Ejected),
		})
	}
	return t
}

func (s *Service) changeTable() lang.Table {
	t := lang.Table{Columns: []string{"version", "node", "nonce", "command"}}
	for _, e := range s.Log.Recent(maxChangeRows) {
		t.Rows = append(t.Rows, []string{strconv.FormatUint(e.Version, 10), e.Node, e.Nonce, e.Command.String()})
	}
	return t
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}
