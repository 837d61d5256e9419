package events

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// loggingFiles are the files whose log lines the catalogue declares.
var loggingFiles = []string{"../../service/gateway/*.go", "../../service/tables/*.go", "../../service/suspects/*.go", "../../service/origins/*.go", "../../service/ratelimit/*.go", "../../pkg/rollout/*.go", "../../pkg/stall/*.go", "../../cmd/drumpath/cmds/gateway.go"}

// logCall is a call of a logger in the source.
type logCall struct {
	at   string
	name string
	keys []string
}

func logCalls(t *testing.T) (list []logCall) {
	fset := token.NewFileSet()
	for _, pattern := range loggingFiles {
		files, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, pattern)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			f, err := parser.ParseFile(fset, name, nil, 0)
			assert.NilError(t, err)
			ast.Inspect(f, func(n ast.Node) bool {
				if l, ok := parseLogCall(fset, n); ok {
					list = append(list, l)
				}
				return true
			})
		}
	}
	return list
}

// parseLogCall recognises calls such as log.Info("message", "key", value).
func parseLogCall(fset *token.FileSet, n ast.Node) (l logCall, ok bool) {
	call, isCall := n.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return l, false
	}
	fun, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector || !slices.Contains([]string{"Info", "Warn", "Error"}, fun.Sel.Name) {
		return l, false
	}
	l.at = fset.Position(n.Pos()).String()
	texts := make([]string, len(call.Args))
	for i, a := range call.Args {
		if lit, isLit := a.(*ast.BasicLit); isLit && lit.Kind == token.STRING {
			texts[i], _ = strconv.Unquote(lit.Value) // The parser has accepted the literal.
		}
	}
	if texts[0] == "" {
		return l, false
	}
	l.name = texts[0]
	for i := 1; i < len(texts); i += 2 {
		l.keys = append(l.keys, texts[i])
	}
	return l, true
}

func TestLogCallsMatchCatalogue(t *testing.T) {
	declared := map[string]Event{}
	for _, e := range Catalogue {
		_, twice := declared[e.Name]
		assert.Assert(t, !twice, "%q is declared twice", e.Name)
		declared[e.Name] = e
	}
	used := map[string]bool{"log lines dropped": true}
	for _, l := range logCalls(t) {
		e, ok := declared[l.name]
		assert.Assert(t, ok, "%s: %q is not declared", l.at, l.name)
		used[l.name] = true
		for _, key := range l.keys {
			assert.Assert(t, slices.ContainsFunc(e.Keys, func(k Key) bool { return k.Name == key }), "%s: %q has no key %q", l.at, l.name, key)
		}
	}
	for name := range declared {
		assert.Assert(t, used[name], "%q is declared and not logged", name)
	}
}

func TestLogsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Markdown(), "run go run ./_scripts/logs > docs/LOGS.md")
}
