package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/suspect"
)

const (
	service = "llm"
	maxRun  = 4 * time.Second
)

// lostRun records that a run with some parts was in flight at a replica that ended.
func lostRun(r *suspect.Register, replica string, run uint32, s float64, parts ...string) {
	for _, p := range parts {
		r.Merge(suspect.Case{
			Cause: suspect.PartCause(service, p),
			Ends:  []suspect.ReplicaEnd{{Replica: replica, StartedAt: at(s - 0.1), EndedAt: at(s), Runs: []uint32{run}}},
		})
	}
}

// finishedRun records that a replica has finished a run with some parts.
func finishedRun(r *suspect.Register, s float64, parts ...string) {
	for _, p := range parts {
		r.RecordFinish(suspect.PartHash(service, p), at(s))
		r.Merge(suspect.Case{Cause: suspect.PartCause(service, p)})
	}
}

// decide asks for finishes and returns what has changed.
func decide(r *suspect.Register, service string) []suspect.Case {
	now := at(1e6)
	r.TakeUnasked(service, 100, now.Add(-suspect.AnswerTime))
	changed, _ := r.Decide(service, now)
	return changed
}

// judge returns the verdict on a request with some parts.
func judge(r *suspect.Register, parts ...string) suspect.Verdict {
	var causes []suspect.Cause
	for _, p := range parts {
		causes = append(causes, suspect.PartCause(service, p))
	}
	_, v := r.Judge(requestCause(fmt.Sprint(parts)), causes)
	return v
}

func TestPartIsBlockedFromTheFourthEnd(t *testing.T) {
	r := suspect.NewRegister()
	for i := range 4 {
		assert.Equal(t, len(decide(r, service)), 0, "%d ends", i)
		assert.Equal(t, judge(r, "aa", "bad"), suspect.Allowed)
		finishedRun(r, float64(i), "aa", "b0")
		lostRun(r, fmt.Sprint("r", i), uint32(i), float64(i)+0.5, "aa", "bad", fmt.Sprint("b", i%2))
		if i > 0 {
			lostRun(r, fmt.Sprint("r", i), uint32(i+50), float64(i)+0.5, "often beside it")
		}
	}
	assert.Equal(t, len(decide(r, "another service")), 0)
	blocked := decide(r, service)
	assert.Equal(t, len(blocked), 1)
	assert.Equal(t, blocked[0].Part, "bad")
	assert.Equal(t, judge(r, "aa", "bad"), suspect.Blocked)
	assert.Equal(t, judge(r, "aa", "b0", "b1"), suspect.Allowed)
	assert.Equal(t, r.Count(), suspect.Counts{BlockedParts: 1})

	lostRun(r, "r99", 99, 4, "often beside it")
	assert.Equal(t, len(decide(r, service)), 0, "the blocked part explains the other ends")

	// Runs that were in flight meanwhile don't count against others, in whichever order the reports come.
	for i := 4; i < 9; i++ {
		replica := fmt.Sprint("r", i)
		lostRun(r, replica, uint32(i), float64(i), "rare")
		lostRun(r, replica, uint32(i+100), float64(i), "bad")
		lostRun(r, replica, uint32(i+200), float64(i), "rare2")
	}
	assert.Equal(t, len(decide(r, service)), 0)
	assert.Equal(t, judge(r, "rare", "rare2"), suspect.Allowed)
}

// Parts that were sound until a moment ago have many finishes.
func TestPartIsBlockedThatHasBegunToEndReplicas(t *testing.T) {
	r := suspect.NewRegister()
	for i := range 100 {
		finishedRun(r, float64(i)*0.1, "bad", "aa")
	}
	for i := range 6 {
		assert.Equal(t, len(decide(r, service)), 0, "%d ends", i)
		lostRun(r, fmt.Sprint("r", i), uint32(i), 11+float64(i), "bad", "aa")
		finishedRun(r, 11.5+float64(i), "aa")
		finishedRun(r, 11.6+float64(i), "aa")
	}
	assert.Equal(t, len(decide(r, service)), 1)
	assert.Equal(t, judge(r, "bad"), suspect.Blocked)
	assert.Equal(t, judge(r, "aa"), suspect.Allowed)
}

// All replicas of a hall end at once, three times, with a common part in flight at each of them.
func TestSimultaneousEndsDoNotBlockAPart(t *testing.T) {
	r := suspect.NewRegister()
	for round := range 3 {
		for i := range 30 {
			lostRun(r, fmt.Sprint("r", round, i), uint32(100*round+i), float64(round)+float64(i)*0.001, "aa")
		}
		assert.Equal(t, len(decide(r, service)), 0, "round %d", round)
		for i := range 4 {
			finishedRun(r, float64(round)+0.2+float64(i)*0.1, "aa")
		}
	}
}

// A frequent part has several runs in flight wherever a replica ends, and one run ends it.
func TestRunsThatDidNotEndTheirReplicaSpeakForTheirPart(t *testing.T) {
	r := suspect.NewRegister()
	for i := range 20 {
		for run := range 4 {
			lostRun(r, fmt.Sprint("r", i), uint32(10*i+run), float64(i), "aa")
		}
		assert.Equal(t, len(decide(r, service)), 0, "%d ends", i+1)
	}
}

// Requests with a bad part come several times each. Each is blocked by itself, and the part all the same.
func TestRepeatedRequestsDoNotHideTheirPart(t *testing.T) {
	r := suspect.NewRegister()
	n := 0
	end := func(name string) {
		n++
		replica := fmt.Sprint("r", n)
		r.Merge(endCase(name, replica, float64(n)))
		lostRun(r, replica, uint32(n), float64(n), "bad", name+" only")
	}
	for range 4 {
		end("one")
	}
	assert.Equal(t, verdict(r, "one"), suspect.Blocked)
	assert.Equal(t, len(decide(r, service)), 0, "the request explains all ends")
	end("two")
	blocked := decide(r, service)
	assert.Equal(t, len(blocked), 1)
	assert.Equal(t, blocked[0].Part, "bad")
}

func TestTwoPartsAreBlocked(t *testing.T) {
	r := suspect.NewRegister()
	for i := range 10 {
		lostRun(r, fmt.Sprint("r", i), uint32(i), float64(i), "aa", []string{"bad", "bad2"}[i%2], fmt.Sprint("b", i))
		finishedRun(r, float64(i)+0.1, "aa")
		finishedRun(r, float64(i)+0.2, "aa")
		decide(r, service)
	}
	assert.Equal(t, judge(r, "bad"), suspect.Blocked)
	assert.Equal(t, judge(r, "bad2"), suspect.Blocked)
	assert.Equal(t, judge(r, "aa"), suspect.Allowed)
}

// A sound part was in flight wherever one of two others ended a replica, and no run of it had been finished. It explained
// the ends of both, and was blocked for an hour in their place.
func TestSoundPartIsReleasedOnceTwoOthersExplainItsEnds(t *testing.T) {
	r := suspect.NewRegister()
	n := 0
	end := func(parts ...string) {
		n++
		lostRun(r, fmt.Sprint("r", n), uint32(n), float64(n), parts...)
	}
	for i := range 6 {
		end("sound", []string{"bad", "bad2"}[i%2])
	}
	blocked := decide(r, service)
	assert.Equal(t, len(blocked), 1)
	assert.Equal(t, blocked[0].Part, "sound")
	for i := range 12 {
		end([]string{"bad", "bad2"}[i%2])
		decide(r, service)
	}
	assert.Equal(t, judge(r, "bad"), suspect.Blocked)
	assert.Equal(t, judge(r, "bad2"), suspect.Blocked)
	assert.Equal(t, judge(r, "sound"), suspect.Allowed)
}

// groupedRegister returns a register in which nothing tells which of two parts ends replicas.
func groupedRegister(t *testing.T) *suspect.Register {
	r := suspect.NewRegister()
	for i := range 4 {
		lostRun(r, fmt.Sprint("r", i), uint32(i), float64(i), "x", "y")
	}
	assert.Equal(t, len(decide(r, service)), 2)
	assert.Equal(t, judge(r, "x", "y"), suspect.Blocked)
	assert.Equal(t, judge(r, "x"), suspect.Watched)
	assert.Equal(t, judge(r, "y", "aa"), suspect.Watched)
	return r
}

func TestPartsOfAGroupAreToldApart(t *testing.T) {
	x := suspect.PartCause(service, "x").Fingerprint
	t.Run("by an end", func(t *testing.T) {
		r := groupedRegister(t)
		assert.Assert(t, r.StartRun(x, maxRun, at(5)))
		assert.Assert(t, !r.StartRun(x, maxRun, at(5.1)), "once at a time")
		lostRun(r, "r9", 9, 6, "x")
		assert.Equal(t, len(decide(r, service)), 1)
		assert.Equal(t, judge(r, "x"), suspect.Blocked)
		assert.Equal(t, judge(r, "y"), suspect.Allowed)
		assert.Assert(t, !r.StartRun(x, maxRun, at(7)))
	})
	t.Run("by a finish", func(t *testing.T) {
		r := groupedRegister(t)
		finishedRun(r, 5, "y")
		assert.Equal(t, len(decide(r, service)), 1)
		assert.Equal(t, judge(r, "x"), suspect.Blocked)
		assert.Equal(t, judge(r, "y"), suspect.Allowed)
	})
}

// Nodes that collect evidence know only some of the finishes. The others object.
func TestFinishesReleaseAPart(t *testing.T) {
	r, other := suspect.NewRegister(), suspect.NewRegister()
	for i := range 4 {
		lostRun(r, fmt.Sprint("r", i), uint32(i), float64(i), "aa")
	}
	blocked := decide(r, service)
	assert.Equal(t, len(blocked), 1)
	for i := range 6 {
		other.RecordFinish(suspect.PartHash(service, "aa"), at(0.2+float64(i)*0.5))
	}
	change := other.Merge(blocked[0])
	assert.Assert(t, change.OwnFinish)
	assert.Equal(t, change.After, suspect.Allowed)
	released := other.Case(blocked[0].Fingerprint)
	assert.Equal(t, r.Merge(released).After, suspect.Allowed)
	assert.Equal(t, r.Merge(blocked[0]).After, suspect.Allowed, "an older message does not block it again")
	assert.Equal(t, r.Digest(), uint64(0))
}

// A node of an older version had passed on the case of a part as that of a request, and the part was not blocked.
func TestCaseOfAPartTakesThePlaceOfARequests(t *testing.T) {
	r, other := suspect.NewRegister(), suspect.NewRegister()
	for i := range 4 {
		lostRun(r, fmt.Sprint("r", i), uint32(i), float64(i), "bad")
	}
	blocked := decide(r, service)[0]
	other.Merge(suspect.Case{Cause: suspect.RequestCause(blocked.Fingerprint, blocked.QuickHash), Ends: blocked.Ends[:2]})
	other.Merge(blocked)
	assert.Equal(t, judge(other, "bad"), suspect.Blocked)
}

func TestBlockedPartIsForgottenAfterAnHour(t *testing.T) {
	r := suspect.NewRegister()
	for i := range 4 {
		lostRun(r, fmt.Sprint("r", i), uint32(i), float64(i), "bad")
	}
	decide(r, service)
	r.Expire(at(3600))
	assert.Equal(t, judge(r, "bad"), suspect.Blocked)
	r.Expire(at(3604))
	assert.Equal(t, judge(r, "bad"), suspect.Allowed)
	assert.Assert(t, r.Empty() && !r.HasBlockedParts())
}

// The result does not depend on the order in which evidence is learnt, nor on messages that come twice.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	var cases []suspect.Case
	for i := range 9 {
		cases = append(cases, suspect.Case{Cause: suspect.PartCause(service, "p"), Ends: []suspect.ReplicaEnd{
			{Replica: fmt.Sprint("r", i/2), StartedAt: at(float64(i) * 0.1), EndedAt: at(float64(i)*0.1 + 1), Runs: []uint32{uint32(i)}},
		}, Finishes: []suspect.Finish{{ID: uint32(i), At: at(float64(i))}}})
	}
	a, b := suspect.NewRegister(), suspect.NewRegister()
	for i := range cases {
		a.Merge(cases[i])
		a.Merge(cases[i/2])
		b.Merge(cases[len(cases)-1-i])
	}
	f := suspect.PartCause(service, "p").Fingerprint
	assert.DeepEqual(t, a.Case(f), b.Case(f))
}

func BenchmarkRecordFinishOfParts(b *testing.B) {
	r := suspect.NewRegister()
	parts := make([]string, 500)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x", i)
	}
	for i := 0; b.Loop(); i++ {
		r.RecordFinish(suspect.PartHash(service, parts[i%len(parts)]), at(float64(i)/1000))
	}
}
