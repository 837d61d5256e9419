package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const service = "s"

// model is a site whose nodes follow the protocol: the store's list, the nodes' copies of it, which may be
// old, their records, and the streams that have begun.
type model struct {
	now     time.Time
	store   Versions
	nodes   []*modelNode
	streams []modelStream
	// inUse are the versions that replicas have, which all nodes see at once.
	inUse    []string
	unusedAt map[string]time.Time
}

type modelNode struct {
	list    Versions
	readAt  time.Time
	records *Records
}

type modelStream struct {
	key     Key
	began   Origin
	beganAt time.Time
}

func (m *model) storeNow() time.Duration { return m.now.Sub(time.Unix(0, 0)) }

// read copies the store's list to a node.
func (m *model) read(n *modelNode) { n.list, n.readAt = slices.Clone(m.store), m.now }

// correct has a node read the list and write it as it should be, as one step: it writes only the version
// of the row that it has read.
func (m *model) correct(n *modelNode) {
	unused := func(software string) bool {
		since, known := m.unusedAt[software]
		return known && m.now.Sub(since) >= time.Minute
	}
	if next, changed := m.store.Update(m.inUse, unused, m.storeNow()); changed {
		m.store = next
	}
	m.read(n)
}

// wait advances the time. A node reads the list again before its copy is as old as versions are retained.
func (m *model) wait(d time.Duration) {
	m.now = m.now.Add(d)
	for _, n := range m.nodes {
		n.records.Forget(m.now)
		if m.now.Sub(n.readAt) >= Retention/4 {
			m.read(n)
		}
	}
}

func (m *model) begin(n *modelNode, software string) {
	if !n.list.Admits(software) {
		return
	}
	s := modelStream{key: KeyOf("", "h", "/", fmt.Sprint(len(m.streams))), began: Origin{Service: service, Software: software}, beganAt: m.now}
	m.streams = append(m.streams, s)
	n.records.Add(s.key, Record{Origin: s.began, BegunAt: m.now, Until: m.now.Add(20 * time.Second)})
}

// takeUp returns the evidence that a node finds for a stream.
func (m *model) takeUp(t *rapid.T, s modelStream) *Evidence {
	e := &Evidence{Service: service}
	if rapid.Bool().Draw(t, "named") {
		for _, n := range m.nodes { // Of the others, some don't answer.
			if rec, ok := n.records.Find(s.key, m.now); ok && rapid.Bool().Draw(t, "answers") {
				e.Record = &rec
			}
		}
	}
	if rapid.Bool().Draw(t, "store answers") {
		e.Versions, e.ReadVersions = slices.Clone(m.store), true
	}
	e.Unasked = rapid.Bool().Draw(t, "isolated")
	return e
}

// A stream must never go on at another version than its own, whatever is lost or old.
func TestStreamsNeverGoOnAtAnotherVersion(t *testing.T) {
	software := rapid.SampledFrom([]string{"", "v1", "v1.1", "v2"})
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(0, 0).Add(time.Hour), inUse: []string{"v1"}, unusedAt: map[string]time.Time{}}
		for range 3 {
			m.nodes = append(m.nodes, &modelNode{records: NewRecords()})
		}
		node := func(t *rapid.T) *modelNode { return rapid.SampledFrom(m.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"correct": func(t *rapid.T) { m.correct(node(t)) },
			"read":    func(t *rapid.T) { m.read(node(t)) },
			"begin":   func(t *rapid.T) { m.begin(node(t), software.Draw(t, "software")) },
			"replicas change": func(t *rapid.T) {
				v := software.Draw(t, "software")
				if i := slices.Index(m.inUse, v); i < 0 {
					m.inUse = append(m.inUse, v)
					delete(m.unusedAt, v)
				} else if len(m.inUse) > 1 {
					m.inUse = slices.Delete(m.inUse, i, i+1)
					m.unusedAt[v] = m.now
				}
			},
			"wait": func(t *rapid.T) {
				m.wait(rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, time.Minute, Retention}).Draw(t, "time"))
			},
			"replicate": func(t *rapid.T) {
				from, to := node(t), node(t)
				for _, e := range from.records.TakeUnsent(1, 10, func(string) bool { return true }, m.now) {
					e.From = "other"
					to.records.Add(e.Key, e.Record)
				}
			},
			"kill": func(t *rapid.T) {
				n := node(t)
				n.records, n.list = NewRecords(), nil
				m.read(n)
			},
			"take up": func(t *rapid.T) {
				if len(m.streams) == 0 {
					return
				}
				s := m.streams[len(m.streams)-1]
				if m.now.Sub(s.beganAt) >= Retention {
					return // No client returns so late.
				}
				if o, v := m.takeUp(t, s).Decide(); v == GoesOn {
					assert.Equal(t, o, s.began)
				}
			},
		})
	})
}

// While a service has one version, its streams go on without any record.
func TestStreamsOfTheOnlyVersionGoOnWithoutRecords(t *testing.T) {
	e := Evidence{Service: service, Versions: Versions{{Software: "v1"}}, ReadVersions: true, Complete: true}
	o, v := e.Decide()
	assert.Equal(t, v, GoesOn)
	assert.Equal(t, o, Origin{Service: service, Software: "v1"})
	e.ReadVersions = false
	_, v = e.Decide()
	assert.Equal(t, v, Unknown, "what was read before the client returned may be too old")
	e = Evidence{Service: service, Versions: Versions{{Software: "v1"}}, ReadVersions: true}
	_, v = e.Decide()
	assert.Equal(t, v, Unknown, "the store may have lost a version")
	e = Evidence{Versions: Versions{{Software: "v1"}}, ReadVersions: true, Complete: true}
	_, v = e.Decide()
	assert.Equal(t, v, Unknown, "the stream may have begun at another service of the route")
}

// A client is told to come back only where another node may know more.
func TestUnknownStreamsAreNotRetriedForNothing(t *testing.T) {
	several := Versions{{Software: "v1"}, {Software: "v2"}}
	e := Evidence{Service: service, Versions: several, ReadVersions: true}
	_, v := e.Decide()
	assert.Equal(t, v, Unknown)
	e.Unasked = true
	_, v = e.Decide()
	assert.Equal(t, v, Unreachable)
}

// Versions that no replica has any more stay listed for longer than clients return, but take no new streams.
func TestRetiredVersionsAreKeptForReturningClients(t *testing.T) {
	v := Versions{{Software: "v1"}, {Software: "v2"}}
	all := func(string) bool { return true }
	v, changed := v.Update([]string{"v2"}, all, time.Hour)
	assert.Assert(t, changed)
	assert.Assert(t, !v.Admits("v1") && v.Admits("v2"))
	_, sole := v.Sole()
	assert.Assert(t, !sole)
	_, changed = v.Update([]string{"v2"}, all, time.Hour+Retention-time.Millisecond)
	assert.Assert(t, !changed)
	again, changed := v.Update([]string{"v1", "v2"}, all, time.Hour+Retention)
	assert.Assert(t, changed && again.Admits("v1"), "a replica with it has come back")
	v, changed = v.Update([]string{"v2"}, all, time.Hour+Retention)
	assert.Assert(t, changed)
	software, sole := v.Sole()
	assert.Assert(t, sole && software == "v2")
	list := List{Versions: v, Era: 3, ConfirmedMS: 7}
	value, err := list.Encode()
	assert.NilError(t, err)
	decoded, err := DecodeList(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, list)
}

// A list that the store had in an earlier era lacks versions, and was taken for complete.
func TestListOfAnEarlierEraIsNotComplete(t *testing.T) {
	none := func(string) bool { return false }
	list := List{Versions: Versions{{Software: "v1"}}, Era: 1}
	assert.Assert(t, list.IsComplete(1, time.Hour) && !list.IsComplete(2, time.Hour))
	assert.Assert(t, list.IsComplete(0, 0), "a store without eras loses nothing")

	stranger := Knowledge{Era: 2, InUse: []string{"v3"}, Unused: none, StoreNow: time.Minute}
	next, changed := list.Next(&stranger)
	assert.Assert(t, changed && next.Versions.Admits("v3") && !next.IsConfirmed(2), "it only adds versions")
	_, changed = next.Next(&stranger)
	assert.Assert(t, !changed)

	retired := Versions{{Software: "v1"}, {Software: "v2", RetiredMS: 1}}
	witness := Knowledge{Era: 2, Before: retired, MayConfirm: true, InUse: []string{"v1"}, Unused: none, StoreNow: time.Minute}
	next, changed = list.Next(&witness)
	assert.Assert(t, changed && next.IsConfirmed(2) && next.Versions.Includes(retired))
	assert.Assert(t, !next.IsComplete(2, time.Minute), "another node may know more")
	assert.Assert(t, next.IsComplete(2, time.Minute+settleTime))
	assert.Equal(t, next.Versions[1].RetiredMS, time.Minute.Milliseconds(), "retired by the clock of this era")
	_, changed = next.Next(&witness)
	assert.Assert(t, !changed)

	late := Knowledge{Era: 2, Before: Versions{{Software: "v4"}}, MayConfirm: true, InUse: []string{"v1"}, Unused: none, StoreNow: time.Minute}
	next, changed = next.Next(&late)
	assert.Assert(t, changed && next.Versions.Admits("v4"), "known to another node only")
}

// A client must not learn or use the streams of others by naming their attempts.
func TestKeysDifferByOrganisationAndRequest(t *testing.T) {
	seen := map[Key]bool{}
	for _, parts := range [][4]string{{"a", "h", "/x", "1"}, {"b", "h", "/x", "1"}, {"a", "i", "/x", "1"}, {"a", "h", "/y", "1"}, {"a", "h", "/x", "2"}, {"ah", "", "/x", "1"}} {
		k := KeyOf(parts[0], parts[1], parts[2], parts[3])
		assert.Assert(t, !seen[k], "%v", parts)
		seen[k] = true
	}
}

// What clients can make a node keep is bounded in number and in time.
func TestRecordsAreBounded(t *testing.T) {
	r, now := NewRecords(), time.Unix(1000, 0)
	for i := range maxRecords + 10 {
		r.Add(KeyOf("", "", "", fmt.Sprint(i)), Record{Origin: Origin{Service: service}, BegunAt: now, Until: now.Add(24 * time.Hour)})
	}
	own, held, evicted := r.Count()
	assert.Equal(t, own, maxRecords)
	assert.Equal(t, held, 0)
	assert.Equal(t, evicted, int64(10))
	r.Forget(now.Add(MaxLifetime))
	own, _, _ = r.Count()
	assert.Equal(t, own, 0)
}

// A holder that is new has none of the records that were sent to others.
func TestNewHoldersAreSentAllRecords(t *testing.T) {
	r, now := NewRecords(), time.Unix(1000, 0)
	r.Add(KeyOf("", "", "", "1"), Record{Origin: Origin{Service: service}, BegunAt: now, Until: now.Add(time.Minute)})
	all := func(string) bool { return true }
	assert.Equal(t, len(r.TakeUnsent(1, 10, func(string) bool { return false }, now)), 0)
	assert.Equal(t, len(r.TakeUnsent(1, 10, all, now)), 1)
	assert.Equal(t, len(r.TakeUnsent(1, 10, all, now)), 0)
	assert.Equal(t, len(r.TakeUnsent(2, 10, all, now)), 1)
	assert.Equal(t, len(r.TakeUnsent(3, 10, all, now.Add(time.Minute))), 0)
}
