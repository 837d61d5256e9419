package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

var errStoreRefuses = errors.New("the store refuses")

// recordStore is a store with one table, for a record in one row. Its calls take virtual time.
type recordStore struct {
	Store

	table     site.Table
	clock     time.Time // Virtual; the nodes' clocks go with it.
	zero      time.Time // Of the store's clock.
	latency   func() (before, after time.Duration)
	eras      history.Eras
	row       site.Row
	lists     int
	puts      int // Including those refused.
	fail      error
	loseNext  bool   // Whether the answer to the next write is lost.
	beforePut func() // Called once before the next write.
}

func newRecordStore(table site.Table) *recordStore {
	now := time.Now()
	s := &recordStore{table: table, clock: now, zero: now.Add(-time.Hour), latency: func() (_, _ time.Duration) { return time.Millisecond, time.Millisecond }}
	s.eras.Observe(1, now)
	return s
}

func (s *recordStore) now() time.Time { return s.clock }

func (s *recordStore) Eras() *history.Eras { return &s.eras }

func (s *recordStore) position(version int64) history.Position {
	era, _, _ := s.eras.Current()
	return history.Position{Era: era, Version: version}
}

func (s *recordStore) listing() site.Listing {
	return site.Listing{Position: s.position(s.row.Position.Version), Now: s.clock.Sub(s.zero)}
}

// call lets the time of a call pass around what it does.
func (s *recordStore) call(ctx context.Context, do func() error) error {
	before, after := s.latency()
	if before+after > weightRecordTimeout {
		s.clock = s.clock.Add(weightRecordTimeout)
		return context.DeadlineExceeded
	}
	s.clock = s.clock.Add(before)
	err := do()
	s.clock = s.clock.Add(after)
	return errors.Join(err, ctx.Err())
}

func (s *recordStore) List(ctx context.Context, t site.Table) (l site.Listing, err error) {
	s.lists++
	err = s.call(ctx, func() error {
		if t != s.table {
			return fmt.Errorf("table %d", t)
		}
		l = s.listing()
		if s.row.Position.Version > 0 {
			row := s.row
			row.Position = s.position(row.Position.Version)
			l.Rows = []site.Row{row}
		}
		return s.fail
	})
	return l, err
}

func (s *recordStore) Put(ctx context.Context, t site.Table, key string, value []byte, expected history.Position) (l site.Listing, err error) {
	s.puts++
	if fn := s.beforePut; fn != nil {
		s.beforePut = nil
		fn()
	}
	err = s.call(ctx, func() error {
		if s.fail != nil {
			return s.fail
		}
		if expected != s.position(s.row.Position.Version) {
			return site.ErrConflict
		}
		s.row = site.Row{Key: key, Value: value, Position: s.position(s.row.Position.Version + 1)}
		l = s.listing()
		if s.loseNext {
			s.loseNext = false
			return errors.New("the answer is lost")
		}
		return nil
	})
	return l, err
}

// record returns the record in the store's row.
func (s *recordStore) record(t *testing.T) (r route.WeightRecord) {
	t.Helper()
	assert.NilError(t, json.Unmarshal(s.row.Value, &r))
	return r
}

// recorded returns when the record says a version was named, by the nodes' clock.
func (s *recordStore) recorded(t *testing.T, model string, version int64) (named time.Time, ok bool) {
	t.Helper()
	r := s.record(t)
	at := route.StoreTime{Era: r.Era, Reading: s.clock.Sub(s.zero), Before: s.clock, After: s.clock}
	v, ok := r.Histories(at)[model].Find(version)
	return v.Since, ok
}

func (s *recordStore) calls() int { return s.lists + s.puts }

// recordFleet is nodes that keep a record in one store.
type recordFleet struct {
	*recordStore

	members   *control.Members
	registers []*weightRegister // By rank for the duty.
	log       *strings.Builder
}

func newRecordFleet(n int) *recordFleet {
	f := &recordFleet{recordStore: newRecordStore(site.TableWeights), log: &strings.Builder{}}
	list := make([]control.Member, n)
	for i := range list {
		list[i] = control.Member{Name: fmt.Sprintf("n%d", i), Incarnation: 1}
	}
	f.members = control.NewMembers(list[0], time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	f.members.Merge(list, f.clock)
	f.registers = make([]*weightRegister, n)
	for _, m := range list {
		f.registers[control.Rank(f.members.Working(), weightRecordDuty, m.Name)] = f.newRegister(m)
	}
	return f
}

// newRegister returns the register of a node that has just started.
func (f *recordFleet) newRegister(m control.Member) *weightRegister {
	r := newWeightRegister(m, f.members, f.recordStore, newWeightsState(), slog.New(slog.NewTextHandler(f.log, nil)))
	r.now = f.now
	return r
}

// restart replaces the register of a rank by that of a node that knows nothing.
func (f *recordFleet) restart(rank int) *weightRegister {
	f.registers[rank] = f.newRegister(f.registers[rank].self)
	return f.registers[rank]
}

// name lets some nodes hear of a version when it is named.
func (f *recordFleet) name(model string, version int64, list ...*weightRegister) {
	for _, r := range list {
		r.siteState.MarkOperatorRead(f.clock)
		r.siteState.hearWeights(model, version, false, f.clock)
	}
}

// run lets time pass, in which nodes take their steps and afterEach is called, which may be nil.
func (f *recordFleet) run(d time.Duration, afterEach func()) {
	for end := f.clock.Add(d); f.clock.Before(end); f.clock = f.clock.Add(weightRegisterInterval) {
		for _, r := range f.registers {
			r.step(context.Background())
		}
		if afterEach != nil {
			afterEach()
		}
	}
}

// gossip has each node tell some others the ages that it knows.
func (f *recordFleet) gossip() {
	for i, r := range f.registers {
		ages := r.siteState.recentWeightAges(f.clock)
		for range 3 {
			f.registers[(i+1+rand.IntN(len(f.registers)))%len(f.registers)].siteState.learnWeightAges(ages, f.clock)
		}
	}
}

// Each node of a fleet would write or read the record for each naming, or go on doing so.
func TestFleetRecordsNamingOnce(t *testing.T) {
	for _, nodes := range []int{1, 7, 71, 295, 900} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := newRecordFleet(nodes)
			f.run(time.Second, nil)
			assert.Equal(t, f.calls(), 0, "calls without new weights")
			f.name("m", 1, f.registers...)
			f.run(time.Second, nil)
			assert.Equal(t, f.calls(), 0, "calls for the first version")
			for version := int64(2); version < 5; version++ {
				f.lists, f.puts = 0, 0
				named := f.clock
				f.name("m", version, f.registers...)
				f.run(weightRegisterInterval, f.gossip)
				assert.Equal(t, f.puts, 1, "the first by rank writes at once")
				assert.Equal(t, f.lists, 1)
				since, ok := f.recorded(t, "m", version)
				assert.Assert(t, ok && since.Sub(named).Abs() <= minAge, "recorded %v after the naming", since.Sub(named))
				f.run(weightRecorders*weightRecorderDelay+time.Second, f.gossip)
				assert.Equal(t, f.puts, 1, "nobody writes what is recorded")
				assert.Equal(t, f.lists, min(weightRecorders, nodes), "the second and third look whether it is")
				f.run(time.Second, f.gossip)
				assert.Equal(t, f.calls(), 1+min(weightRecorders, nodes), "nothing is called once it is settled")
			}
		})
	}
}

// minAge is by how much times may differ that are the same to nodes.
const minAge = 50 * time.Millisecond

// The record would be missing if the node that was to write it stood still or had left.
func TestRecordIsWrittenWithoutFirstNode(t *testing.T) {
	for rank := range weightRecorders {
		f := newRecordFleet(7)
		f.registers = f.registers[rank:]
		f.name("m", 2, f.registers...)
		f.run(time.Duration(rank)*weightRecorderDelay, nil)
		assert.Equal(t, f.calls(), 0, "rank %d calls too early", rank)
		f.run(2*weightRegisterInterval, nil)
		assert.Equal(t, f.puts, 1, "rank %d", rank)
	}
}

// A node would give up, or write over what another one had recorded, after a conflict.
func TestRecordIsReadAgainAfterConflict(t *testing.T) {
	f := newRecordFleet(2)
	first, second := f.registers[0], f.registers[1]
	f.name("m", 2, first)
	f.name("other", 2, first, second)
	f.beforePut = func() { f.row.Position.Version++ } // Another node writes meanwhile.
	f.row = site.Row{Key: weightRecordKey, Value: []byte(`{"era":1}`), Position: f.position(1)}
	f.run(3*time.Second, nil)
	for _, model := range []string{"m", "other"} {
		_, ok := f.recorded(t, model, 2)
		assert.Assert(t, ok, model)
	}
	assert.Assert(t, f.puts <= 3, "%d writes", f.puts)
	assert.Equal(t, strings.Count(f.log.String(), "not synced"), 0, "a conflict is nothing to log")
}

// A write whose answer was lost would be repeated, or never settled.
func TestRecordIsSettledAfterLostAnswer(t *testing.T) {
	f := newRecordFleet(1)
	f.name("m", 2, f.registers...)
	f.loseNext = true
	f.run(10*time.Second, nil)
	assert.Equal(t, f.puts, 1)
	assert.Equal(t, f.lists, 2)
}

// A store that refuses or does not answer would be called at each step, or never again.
func TestFailingStoreIsCalledWithPauses(t *testing.T) {
	for _, tc := range []struct {
		name    string
		disturb func(f *recordFleet)
	}{
		{"refuses", func(f *recordFleet) { f.fail = errStoreRefuses }},
		{"does_not_answer", func(f *recordFleet) {
			f.latency = func() (_, _ time.Duration) { return time.Minute, 0 }
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const nodes, duration = 7, 2 * time.Minute
			f := newRecordFleet(nodes)
			usual := f.latency
			tc.disturb(f)
			f.name("m", 2, f.registers...)
			f.run(duration, nil)
			longest := maxWeightRecordRetry * 3 / 2
			assert.Assert(t, f.calls() >= weightRecorders*int(duration/(longest+weightRecorders*weightRecordTimeout)), "%d calls", f.calls())
			assert.Assert(t, f.calls() <= weightRecorders*(8+int(duration/(maxWeightRecordRetry/2))), "%d calls", f.calls())
			assert.Equal(t, strings.Count(f.log.String(), "not synced"), f.calls(), "each failure is logged")
			f.fail, f.latency = nil, usual
			f.lists, f.puts = 0, 0
			f.run(longest+time.Second, nil)
			assert.Equal(t, f.puts, 1)
			assert.Equal(t, f.lists, weightRecorders)
		})
	}
}

// A row that can't be decoded would keep nodes from recording anything.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	for _, text := range []string{"", "{", `"x"`, `{"era":"x"}`, `{"models":[]}`, `null`, `{"era":1,"models":{"m":null}}`, `{"era":1,"models":{"m":[{"version":-1,"named_ms":-9223372036854775808}]}}`} {
		f := newRecordFleet(3)
		f.row = site.Row{Key: weightRecordKey, Value: []byte(text), Position: f.position(4)}
		named := f.clock
		f.name("m", 2, f.registers...)
		f.run(5*time.Second, nil)
		since, ok := f.recorded(t, "m", 2)
		assert.Assert(t, ok && since.Sub(named).Abs() <= minAge, "row %q: %v", text, since.Sub(named))
		assert.Equal(t, f.puts, 1, "row %q", text)
		logged := strings.Count(f.log.String(), "can't be decoded")
		assert.Equal(t, logged > 0, json.Unmarshal([]byte(text), &route.WeightRecord{}) != nil, "row %q", text)
	}
}

// A node that knew nothing but an estimate wrote it over what was known, or believed its estimate.
func TestEstimateDoesNotReplaceRecordedTime(t *testing.T) {
	f := newRecordFleet(1)
	named := f.clock
	f.name("m", 2, f.registers...)
	f.run(time.Second, nil)
	started := f.restart(0)
	started.siteState.hearWeights("m", 2, true, f.clock)
	f.lists, f.puts = 0, 0
	f.run(5*time.Second, nil)
	assert.Equal(t, f.puts, 0)
	assert.Equal(t, f.lists, 1)
	v := started.siteState.WeightHistory("m").Newest()
	assert.Assert(t, !v.Estimated && v.Since.Sub(named).Abs() <= minAge, "%v", v)
	since, _ := f.recorded(t, "m", 2)
	assert.Assert(t, since.Sub(named).Abs() <= minAge, "%v", since.Sub(named))
}

// An estimate that had been recorded stood beside what a node knew.
func TestKnownTimeReplacesRecordedEstimate(t *testing.T) {
	f := newRecordFleet(2)
	guessing, knowing := f.registers[0], f.registers[1]
	f.registers = f.registers[:1]
	guessing.siteState.hearWeights("m", 2, true, f.clock)
	f.run(5*time.Second, nil)
	assert.Assert(t, f.record(t).Models["m"][0].Estimated)
	named := f.clock.Add(-6 * time.Second)
	knowing.siteState.LearnWeights("m", route.WeightVersion{Version: 2, Since: named, Heard: named}, weightsChanged)
	f.registers = append(f.registers, knowing)
	f.run(5*time.Second, nil)
	assert.Assert(t, !f.record(t).Models["m"][0].Estimated)
	since, _ := f.recorded(t, "m", 2)
	assert.Assert(t, since.Sub(named).Abs() <= minAge, "%v", since.Sub(named))
}

// One row has all models: writing one would lose the other.
func TestRecordHasAllModels(t *testing.T) {
	f := newRecordFleet(7)
	first := f.clock
	f.name("a", 2, f.registers...)
	f.run(4*time.Second, f.gossip)
	second := f.clock
	f.name("b", 5, f.registers...)
	f.run(4*time.Second, f.gossip)
	assert.Equal(t, f.puts, 2)
	for model, want := range map[string]struct {
		version int64
		named   time.Time
	}{"a": {2, first}, "b": {5, second}} {
		since, ok := f.recorded(t, model, want.version)
		assert.Assert(t, ok && since.Sub(want.named).Abs() <= minAge, "%s: %v", model, since.Sub(want.named))
	}
	for rank := range f.registers {
		f.restart(rank).siteState.hearWeights("a", 2, true, f.clock)
		f.registers[rank].siteState.hearWeights("b", 5, true, f.clock)
	}
	f.run(4*time.Second, nil)
	for _, r := range f.registers {
		assert.Assert(t, !r.siteState.WeightHistory("a").Newest().Estimated)
		assert.Assert(t, !r.siteState.WeightHistory("b").Newest().Estimated)
	}
}

// Versions between two that a node saw were missing from the record, and with them when the first was replaced.
func TestRecordHasVersionsThatItsWriterDidNotSee(t *testing.T) {
	f := newRecordFleet(2)
	first := f.clock
	f.name("m", 2, f.registers[1])
	f.run(2*time.Second, nil)
	f.name("m", 3, f.registers[0])
	f.run(2*time.Second, nil)
	versions := []int64{}
	for _, n := range f.record(t).Models["m"] {
		versions = append(versions, n.Version)
	}
	assert.Assert(t, slices.Equal(versions, []int64{2, 3}), "%v", versions)
	replaced := f.registers[0].siteState.WeightHistory("m").ReplacedAt(1)
	assert.Assert(t, replaced.Sub(first).Abs() <= minAge, "%v", replaced.Sub(first))
}

// Times on the clock of a store that is gone would be taken for times on the clock of the one that came back.
func TestRecordIsWrittenAgainInNewEra(t *testing.T) {
	f := newRecordFleet(7)
	named := f.clock
	f.name("m", 2, f.registers...)
	f.run(4*time.Second, f.gossip)
	f.lists, f.puts = 0, 0
	f.zero = f.clock.Add(-time.Minute)
	f.eras.Observe(2, f.clock)
	started := f.restart(6)
	started.siteState.hearWeights("m", 2, true, f.clock)
	estimate := started.siteState.WeightHistory("m").Newest().Since
	started.step(context.Background())
	assert.Equal(t, started.siteState.WeightHistory("m").Newest().Since, estimate, "a time of another era is used")
	f.run(4*time.Second, nil)
	assert.Equal(t, f.puts, 1)
	assert.Assert(t, f.lists <= weightRecorders+1, "%d reads", f.lists)
	assert.Equal(t, f.record(t).Era, history.Era(2))
	since, _ := f.recorded(t, "m", 2)
	assert.Assert(t, since.Sub(named).Abs() <= minAge, "%v", since.Sub(named))
}

// A node that had started alone read the record of an era that was over, and never that of the new era.
func TestStartedNodeReadsRecordOfNewEra(t *testing.T) {
	f := newRecordFleet(7)
	named := f.clock
	f.name("m", 2, f.registers...)
	f.run(4*time.Second, nil)
	f.zero = f.clock.Add(-time.Minute)
	f.eras.Observe(2, f.clock)
	started := f.restart(6)
	started.siteState.hearWeights("m", 2, true, f.clock)
	started.step(context.Background())
	assert.Assert(t, started.siteState.WeightHistory("m").Newest().Estimated)
	f.eras.Observe(3, f.clock)
	f.run(4*time.Second, nil)
	v := started.siteState.WeightHistory("m").Newest()
	assert.Assert(t, !v.Estimated && v.Since.Sub(named).Abs() <= minAge, "%v", v)
}

// Each call to a slow store made weights a little older, and nodes that told each other of it read and wrote on, so
// that weights that were still to be used were believed too old.
func TestSlowStoreDoesNotAgeWeights(t *testing.T) {
	for _, nodes := range []int{7, 71, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := newRecordFleet(nodes)
			const longest = 1400 * time.Millisecond // Of a call.
			f.latency = func() (before, after time.Duration) { return rand.N(longest / 2), rand.N(longest / 2) }
			named := f.clock
			f.name("m", 2, f.registers...)
			f.run(testWeightsTerm, f.gossip)
			assert.Assert(t, named.Sub(f.oldest("m")) <= minAge, "believed older by %v", named.Sub(f.oldest("m")))
			assert.Assert(t, f.calls() <= 1+weightRecorders, "%d calls", f.calls())
		})
	}
}

// oldest returns the earliest time at which a node believes the newest version of a model to have been named.
func (f *recordFleet) oldest(model string) (at time.Time) {
	for i, r := range f.registers {
		if v := r.siteState.WeightHistory(model).Newest(); i == 0 || v.Since.Before(at) {
			at = v.Since
		}
	}
	return at
}
