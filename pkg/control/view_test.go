package control

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func memberInHall(i, halls int) Member {
	return Member{Name: fmt.Sprint("vm-", i), Peer: testAddr(i), DataHall: fmt.Sprint("h", i%halls), Incarnation: 1}
}

func newViewOf(n, halls int) *Members {
	m := NewMembers(memberInHall(0, halls), testPeriod, nil, rand.New(rand.NewPCG(1, 2)))
	var list []Member
	for i := 1; i < n; i++ {
		list = append(list, memberInHall(i, halls))
	}
	m.Merge(list, testNow)
	return m
}

// Random changes: the view has just what the members are.
func TestViewFollowsTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n, halls = 12, 3
		m := NewMembers(memberInHall(0, halls), testPeriod, nil, rand.New(rand.NewPCG(1, 2)))
		known := map[string]Member{"vm-0": m.Self()}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			u := memberInHall(rapid.IntRange(1, n-1).Draw(t, "member"), halls)
			u.State = MemberState(rapid.IntRange(int(MemberAlive), int(MemberDead)).Draw(t, "state"))
			u.Incarnation = uint64(step + 2)
			if rapid.Bool().Draw(t, "listed") {
				m.AddListed([]Member{u}, testNow)
				if _, there := known[u.Name]; !there {
					u.Incarnation, u.State = 0, MemberAlive
					known[u.Name] = u
				}
			} else {
				m.Merge([]Member{u}, testNow)
				if _, there := known[u.Name]; there || u.State != MemberDead {
					known[u.Name] = u
				}
			}
			if rapid.Bool().Draw(t, "look") {
				m.View()
			}
		}
		v := m.View()
		var all, working, alive []string
		for name, u := range known {
			all = append(all, name)
			if u.Working() {
				working = append(working, name)
			}
			if u.State == MemberAlive {
				alive = append(alive, name)
			}
		}
		slices.Sort(all)
		slices.Sort(working)
		slices.Sort(alive)
		assert.DeepEqual(t, memberNames(v.All()), all)
		assert.DeepEqual(t, memberNames(v.Working()), working)
		assert.DeepEqual(t, memberNames(v.Alive()), alive)
		assert.DeepEqual(t, v.Counts(), MemberCounts{All: len(all), Working: len(working), Alive: len(alive)})
		for _, u := range v.All() {
			assert.Equal(t, u.State, known[u.Name].State)
		}
		local, remote, _ := m.countOthers()
		assert.Equal(t, local+remote+1, len(all)-len(m.dead))
	})
}

func memberNames(list []Member) (names []string) {
	for _, m := range list {
		names = append(names, m.Name)
	}
	return names
}

// A change of one member had the lists of all members made anew: with 985 nodes that took up to
// a tenth of a node's time while the fleet came to be known.
func TestChangeOfOneMemberCostsAsMuchInAFleetOfManyHalls(t *testing.T) {
	const perHall, changes = 197, 50
	bytesPerChange := func(halls int) uint64 {
		m := newViewOf(perHall*halls, halls)
		m.View()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			u := memberInHall(1+i, halls)
			u.Incarnation = 2
			u.State = MemberSuspect
			m.Merge([]Member{u}, testNow)
			m.View()
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	few, many := bytesPerChange(2), bytesPerChange(10)
	assert.Assert(t, float64(many) < 1.1*float64(few), "%d bytes with 2 halls, %d with 10", few, many)
}

// A node that is known from a list only is replaced by any record of itself, also of an earlier
// start than this node's, and other nodes are not told of it.
func TestListedMemberGivesWayToItsOwnRecord(t *testing.T) {
	m := newViewOf(1, 2)
	listed := memberInHall(3, 2)
	m.AddListed([]Member{listed}, testNow)
	assert.Equal(t, m.View().Counts().Alive, 2)
	for _, p := range m.Tick(testNow, 0) {
		assert.Assert(t, !slices.ContainsFunc(p.Probe.Updates, func(u Member) bool { return u.Name == listed.Name }))
	}
	own := listed
	own.Incarnation, own.State = 1, MemberLeaving
	m.Merge([]Member{own}, testNow)
	assert.Equal(t, m.View().All()[1].State, MemberLeaving)
	m.AddListed([]Member{listed}, testNow)
	assert.Equal(t, m.View().All()[1].State, MemberLeaving, "the list does not undo what it said")
}

// A listed node that does not answer is found to be dead like any other.
func TestListedMemberThatDoesNotExistIsMarkedDead(t *testing.T) {
	f := newTestFleet(4)
	f.run(20)
	ghost := Member{Name: "vm-ghost", Peer: testAddr(99), DataHall: "north"}
	for _, v := range f.views {
		v.AddListed([]Member{ghost}, f.now)
	}
	f.run(40)
	for _, v := range f.views {
		assert.Equal(t, v.View().Counts().Working, 4)
	}
}

func TestRankAgreesWithOwners(t *testing.T) {
	list := newViewOf(50, 3).Working()
	for i, m := range Owners(list, "duty", len(list)) {
		assert.Equal(t, Rank(list, "duty", m.Name), i)
	}
	assert.Equal(t, Rank(list, "duty", "no such node"), len(list))
}
