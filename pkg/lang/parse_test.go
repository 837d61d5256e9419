package lang

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/config"
)

func TestParseScript(t *testing.T) {
	s, err := Parse(`-- a comment
create organisation corrib with key 'it''s', share 2 if version 7;
Show upstreams where kind = engine and data_hall != 'north' order by name desc limit 3;
drain node vm-1; explain organisation corrib model m prompt 'hello';`)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Statements), 4)
	c := s.Statements[0].Change
	assert.Equal(t, *c.IfVersion, uint64(7))
	assert.DeepEqual(t, c.Command(), config.Command{
		Verb: config.VerbCreate, Kind: config.KindOrganisation, Name: "corrib",
		Fields: []config.Field{{Name: "key", Value: "it's"}, {Name: "share", Value: "2"}},
	})
	assert.Equal(t, *s.Statements[1].Show.Limit, 3)
	assert.Equal(t, s.Statements[3].Explain.Prompt, "hello")
}

func TestSyntaxErrorHasPositionAndWhatWasExpected(t *testing.T) {
	_, err := Parse("show upstreams;\ncreate organization x")
	var syntax *SyntaxError
	assert.Assert(t, errors.As(err, &syntax), "%v", err)
	assert.Equal(t, syntax.Line, 2)
	assert.Equal(t, syntax.Column, 8)
	assert.ErrorContains(t, err, "expected")
}

func TestShowFiltersOrdersAndLimits(t *testing.T) {
	table := Table{Columns: []string{"name", "n"}, Rows: [][]string{{"a", "9"}, {"b", "10"}, {"c", "2"}}}
	run := func(text string) (Table, error) {
		s, err := Parse(text)
		assert.NilError(t, err)
		return s.Statements[0].Show.Run(table)
	}
	got, err := run("show x where n >= 9 order by n desc limit 1")
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Rows, [][]string{{"b", "10"}})
	_, err = run("show x where m = 1")
	assert.ErrorContains(t, err, `no column "m"; there are name, n`)
}

func FuzzParse(f *testing.F) {
	f.Add("create upstream e with kind engine, address '127.0.0.1:1'")
	f.Add("show x where a like 'b' order by c")
	f.Add("explain organisation '")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse(text)
		var syntax *SyntaxError
		if err != nil && !errors.As(err, &syntax) {
			t.Fatalf("not a syntax error: %v", err)
		}
	})
}
