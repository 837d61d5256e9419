package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// newTestState returns a state with the given number of organisations, a rule for each,
// and three engines for every two organisations, as in the design size.
func newTestState(tb testing.TB, organisations int) *State {
	tb.Helper()
	s := NewState()
	for i := range organisations {
		name := fmt.Sprint("o", i)
		s.Organisations[name] = Organisation{Name: name, KeyHash: HashKey(name), Share: 1}
		s.Rules[name] = Rule{Name: name, Organisation: name, Mode: ReuseLabel}
	}
	s.Models["m"] = Model{Name: "m", Weights: "w"}
	for i := range organisations * 3 / 2 {
		name := fmt.Sprint("e", i)
		s.Upstreams[name] = Upstream{Name: name, Kind: UpstreamEngine, Model: "m", DataHall: "north"}
	}
	s.Index()
	return s
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 460, 4600} {
		s := newTestState(b, n)
		cmd := Command{Verb: VerbAlter, Kind: KindOrganisation, Name: "o1", Fields: []Field{{Name: "share", Value: "2"}}}
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := s.Apply(cmd); err != nil {
					b.Fatal(err)
				}
			}
			body, err := json.Marshal(s)
			assert.NilError(b, err)
			b.ReportMetric(float64(len(body)), "JSON-bytes")
		})
	}
}

func BenchmarkRuleFor(b *testing.B) {
	for _, n := range []int{10, 460, 4600} {
		s := newTestState(b, n)
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			for b.Loop() {
				s.RuleFor("o7", "m")
			}
		})
	}
}
