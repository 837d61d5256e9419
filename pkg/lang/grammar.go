package lang

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Script is a list of statements.
type Script struct {
	Statements []*Statement `parser:"(@@ (';' @@?)*)?"`
}

// Statement is one query or command.
type Statement struct {
	Pos     lexer.Position
	Change  *Change  `parser:"  @@"`
	Show    *Show    `parser:"| @@"`
	Explain *Explain `parser:"| @@"`
}

// Change is a command that changes the configuration.
type Change struct {
	Verb      string   `parser:"@('create' | 'alter' | 'drop' | 'drain' | 'restore')"`
	Kind      string   `parser:"@('organisation' | 'model' | 'adapter' | 'rule' | 'upstream' | 'node')"`
	Name      string   `parser:"@(Ident | String)"`
	Fields    []*Field `parser:"('with' @@ (',' @@)*)?"`
	IfVersion *uint64  `parser:"('if' 'version' @Number)?"`
	Wait      bool     `parser:"@('wait')?"`
}

// Field is a named value of a change.
type Field struct {
	Name  string `parser:"@Ident '='?"`
	Value string `parser:"@(Ident | String | Number)"`
}

// Show is a query over one table.
type Show struct {
	Table   string       `parser:"'show' @Ident"`
	Where   []*Condition `parser:"('where' @@ ('and' @@)*)?"`
	OrderBy string       `parser:"('order' 'by' @Ident"`
	Desc    bool         `parser:" (@'desc' | 'asc')?)?"`
	Limit   *int         `parser:"('limit' @Number)?"`
}

// Condition compares a column with a value.
type Condition struct {
	Column string `parser:"@Ident"`
	Op     string `parser:"@('=' | '!=' | '<=' | '>=' | '<' | '>' | 'like')"`
	Value  string `parser:"@(Ident | String | Number)"`
}

// Explain asks where a request would be routed, and why.
type Explain struct {
	Organisation string `parser:"'explain' 'organisation' @(Ident | String)"`
	Model        string `parser:"'model' @(Ident | String)"`
	Adapter      string `parser:"('adapter' @(Ident | String))?"`
	Label        string `parser:"('label' @(Ident | String))?"`
	Prompt       string `parser:"'prompt' @String"`
}

var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `'(''|[^'])*'`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
	{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_.\-]*`},
	{Name: "Op", Pattern: `!=|<=|>=|[=<>]`},
	{Name: "Punct", Pattern: `[;,]`},
})

var parser = participle.MustBuild[Script](
	participle.Lexer(tokenRules),
	participle.Elide("Comment", "Space"),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(2),
	participle.Map(func(t lexer.Token) (lexer.Token, error) {
		t.Value = strings.ReplaceAll(t.Value[1:len(t.Value)-1], "''", "'")
		return t, nil
	}, "String"),
)
