package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func createCommand(kind Kind, name string, pairs ...string) Command {
	cmd := Command{Verb: VerbCreate, Kind: kind, Name: name}
	for i := 0; i < len(pairs); i += 2 {
		cmd.Fields = append(cmd.Fields, Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return cmd
}

func TestApplyRejectsMissingReferencesAndDuplicateKeys(t *testing.T) {
	s := NewState()
	_, err := s.Apply(createCommand(KindRule, "r", "organisation", "corrib"))
	assert.ErrorContains(t, err, `"corrib" does not exist`)
	s, err = s.Apply(createCommand(KindOrganisation, "corrib", "key", "k1"))
	assert.NilError(t, err)
	_, err = s.Apply(createCommand(KindOrganisation, "other", "key", "k1"))
	assert.ErrorContains(t, err, "another organisation has this key")
	o, ok := s.OrganisationByKey("k1")
	assert.Assert(t, ok)
	assert.Equal(t, o.Name, "corrib")
}

func TestCommandStringHidesKey(t *testing.T) {
	assert.Equal(t, createCommand(KindOrganisation, "a", "key", "secret", "share", "2").String(),
		"create organisation a with key '***', share '2'")
}

// Nodes build the state by replaying the accepted commands: a refused command must change
// nothing, and an accepted one raises the version by one.
func TestReplayedCommandsGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		verbs := rapid.SampledFrom([]Verb{VerbCreate, VerbAlter, VerbDrop, VerbDrain, VerbRestore})
		kinds := rapid.SampledFrom([]Kind{KindOrganisation, KindModel, KindUpstream, KindNode, KindRule})
		names := rapid.SampledFrom([]string{"a", "b"})
		s := NewState()
		var accepted []Command
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			cmd := createCommand(kinds.Draw(t, "kind"), names.Draw(t, "name"))
			cmd.Verb = verbs.Draw(t, "verb")
			cmd.Fields = map[Kind][]Field{
				KindOrganisation: {{"key", cmd.Name}},
				KindModel:        {{"weights", "v1"}},
				KindUpstream:     {{"kind", "store"}, {"address", "127.0.0.1:1"}},
				KindRule:         {{"organisation", "a"}},
			}[cmd.Kind]
			before, _ := json.Marshal(s)
			next, err := s.Apply(cmd)
			after, _ := json.Marshal(s)
			assert.Equal(t, string(before), string(after))
			if err != nil {
				continue
			}
			assert.Equal(t, next.Version, s.Version+1)
			accepted = append(accepted, cmd)
			s = next
		}
		replay := NewState()
		for _, cmd := range accepted {
			var err error
			replay, err = replay.Apply(cmd)
			assert.NilError(t, err)
		}
		want, _ := json.Marshal(s)
		got, _ := json.Marshal(replay)
		assert.Equal(t, string(got), string(want))
	})
}
