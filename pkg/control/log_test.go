package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

const testTimeout = 300 * time.Millisecond

var discardLog = slog.New(slog.DiscardHandler)

type fixture struct {
	table   *standin.Table
	objects *standin.Objects
	client  *tablestore.Table
	store   *tablestore.Objects
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	table, err := standin.StartTable(standin.Loopback)
	assert.NilError(t, err)
	t.Cleanup(table.Close)
	objects, err := standin.StartObjects(standin.Loopback)
	assert.NilError(t, err)
	t.Cleanup(objects.Close)
	return &fixture{
		table:   table,
		objects: objects,
		client:  tablestore.NewTable(table.Addr(), testTimeout),
		store:   tablestore.NewObjects(objects.Addr(), testTimeout),
	}
}

func (f *fixture) log(node string) *Log { return newLog(node, f.client, f.store, discardLog) }

func createModel(name string) config.Command {
	return config.Command{
		Verb:   config.VerbCreate,
		Kind:   config.KindModel,
		Name:   name,
		Fields: []config.Field{{Name: "weights", Value: "w"}},
	}
}

func TestProposeSucceedsAfterLostCommitAnswer(t *testing.T) {
	f := newFixture(t)
	l := f.log("a")
	f.table.SetFault(standin.Fault{LoseAnswers: 1, Path: tablestore.PathCommit})
	v, err := l.Propose(t.Context(), createModel("m"), 0)
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(1))
	assert.Equal(t, f.table.Commits(), 1)
}

func TestProposeCommitsOnceWhenWriteLandsLate(t *testing.T) {
	f := newFixture(t)
	l := f.log("a")
	f.table.SetFault(standin.Fault{LoseAnswers: 1, LateMillis: 200, Path: tablestore.PathCommit})
	v, err := l.Propose(t.Context(), createModel("m"), 0)
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(1))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, f.table.Commits(), 1, "the late write must not land as well")
}

func TestProposeDuringOutageReturnsUnknownOrNotApplied(t *testing.T) {
	f := newFixture(t)
	l := f.log("a")
	f.table.SetFault(standin.Fault{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := l.Propose(ctx, createModel("m"), 0)
	var unknown *OutcomeUnknownError
	assert.Assert(t, errors.As(err, &unknown) || errors.Is(err, tablestore.ErrNotApplied), "%v", err)
}

func TestProposeReturnsConflictError(t *testing.T) {
	f := newFixture(t)
	a, b := f.log("a"), f.log("b")
	_, err := a.Propose(t.Context(), createModel("m"), 0)
	assert.NilError(t, err)
	_, err = b.Propose(t.Context(), createModel("m"), 0)
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Winner, uint64(1))
	_, err = b.Propose(t.Context(), createModel("other"), 7)
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	v, err := b.Propose(t.Context(), createModel("other"), 1)
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(2))
}

func TestNewNodeCatchesUpFromSnapshotEntriesOrDelta(t *testing.T) {
	f := newFixture(t)
	a := f.log("a")
	for i := range 3 * snapshotEvery {
		_, err := a.Propose(t.Context(), createModel(fmt.Sprint("m", i)), 0)
		assert.NilError(t, err)
	}
	b := f.log("b")
	assert.NilError(t, b.Load(t.Context()))
	assert.Equal(t, b.State().Version, uint64(3*snapshotEvery))
	assert.Assert(t, b.Load(t.Context()) != nil, "the snapshot brings nothing newer")
	assert.Equal(t, b.State().Version, uint64(3*snapshotEvery))
	c := f.log("c")
	assert.NilError(t, c.Refresh(t.Context()))
	assert.Equal(t, c.State().Version, uint64(3*snapshotEvery))
	d := f.log("d")
	d.Merge(a.Since(0))
	assert.Equal(t, d.State().Version, uint64(3*snapshotEvery))
}

func TestMergeNeverLowersVersion(t *testing.T) {
	f := newFixture(t)
	a, b := f.log("a"), f.log("b")
	_, err := a.Propose(t.Context(), createModel("m1"), 0)
	assert.NilError(t, err)
	old := a.Since(0)
	_, err = a.Propose(t.Context(), createModel("m2"), 0)
	assert.NilError(t, err)
	b.Merge(a.Since(0))
	b.Merge(old)
	b.Merge(Delta{State: config.NewState()})
	assert.Equal(t, b.State().Version, uint64(2))
}

// logInput is a proposal and logOutput its outcome.
type logInput struct{ name string }

type logOutput struct {
	version uint64
	unknown bool
}

// logModel gives each accepted command the next version, once. A proposal with an
// unknown outcome may or may not have taken it.
var logModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, _, output any) []any {
		v, out := state.(uint64), output.(logOutput)
		switch {
		case out.unknown:
			return []any{v, v + 1}
		case out.version == 0:
			return []any{v}
		case out.version == v+1:
			return []any{v + 1}
		default:
			return nil
		}
	},
}

func TestLogHistoryIsLinearizableUnderFaults(t *testing.T) {
	f := newFixture(t)
	var mu sync.Mutex
	var ops []porcupine.Operation
	start := time.Now()
	var wg sync.WaitGroup
	for node := range 4 {
		wg.Go(func() {
			l := newLog(fmt.Sprint("n", node), tablestore.NewTable(f.table.Addr(), testTimeout), f.store, discardLog)
			for i := range 8 {
				in := logInput{name: fmt.Sprintf("m-%d-%d", node, i)}
				call := time.Since(start)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				v, err := l.Propose(ctx, createModel(in.name), 0)
				cancel()
				out := logOutput{version: v}
				var unknown *OutcomeUnknownError
				out.unknown = errors.As(err, &unknown)
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: node, Input: in, Output: out,
					Call: call.Nanoseconds(), Return: time.Since(start).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	for i := range 6 {
		f.table.SetFault(standin.Fault{LoseAnswers: 2, LateMillis: int64(i%3) * 40, Path: tablestore.PathCommit})
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	assert.Assert(t, porcupine.CheckOperations(logModel.ToModel(), ops))
	seen := map[uint64]bool{}
	for _, op := range ops {
		v := op.Output.(logOutput).version
		assert.Assert(t, v == 0 || !seen[v], "version %d was given twice", v)
		seen[v] = true
	}
}
