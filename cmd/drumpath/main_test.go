package main

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/drumpath/drumpath/cmd/drumpath/cmds"
	"github.com/drumpath/drumpath/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"drumpath": func() { os.Exit(cmds.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
		"standind": func() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) { runScripts(t, "testdata") }

// These scenarios send prompts that end each engine that runs them.
func TestPromptsThatEndEngines(t *testing.T) { runScripts(t, "testdata/ends_engines") }

func runScripts(t *testing.T, dir string) {
	testscript.Run(t, testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			env.Setenv("DRUMPATH_TOKEN", standin.OperatorToken)
			env.Values[scenarioKey{}] = newScenario()
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"answer":     cmdAnswer,
			"await":      cmdAwait,
			"await-get":  cmdAwaitGet,
			"await-runs": cmdAwaitRuns,
			"ended":      cmdEnded,
			"explained":  cmdExplained,
			"fault":      cmdFault,
			"long":       cmdLong,
			"nodes":      cmdNodes,
			"put":        cmdPut,
			"request":    cmdRequest,
			"runs":       cmdRuns,
			"setup":      cmdSetup,
			"signal":     cmdSignal,
			"site":       cmdSite,
			"start":      cmdStart,
			"upstream":   cmdUpstream,
		},
	})
}

// countRuns adds up the runs of the requests that contain a text. It returns -1 if body is
// not valid.
func countRuns(body []byte, text string) int {
	var runs map[string]int
	if err := json.Unmarshal(body, &runs); err != nil {
		return -1
	}
	n := 0
	for request, times := range runs {
		if strings.Contains(request, text) {
			n += times
		}
	}
	return n
}
