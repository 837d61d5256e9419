package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

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

// eventually is how long scenarios wait for a condition, far longer than it
// should take, so that a slow machine gives the same verdict.
const eventually = 60 * time.Second

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("DRUMPATH_TOKEN", standin.OperatorToken)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addrs":   cmdAddrs,
			"node":    cmdNode,
			"await":   cmdAwait,
			"request": cmdRequest,
			"fault":   cmdFault,
		},
	})
}

// cmdAddrs sets each named variable to a free loopback address.
func cmdAddrs(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		addr, err := standin.FreeAddr()
		ts.Check(err)
		ts.Setenv(name, addr.String())
	}
}

// cmdNode writes a node's settings: node NAME HALL ENTRY PEER [SEED...].
func cmdNode(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 {
		ts.Fatalf("usage: node NAME HALL ENTRY PEER [SEED...]")
	}
	seeds := []string{}
	for _, s := range args[4:] {
		seeds = append(seeds, fmt.Sprintf("%q", s))
	}
	text := fmt.Sprintf(`{
  "node": {"name": %q, "data_hall": %q},
  "entry": {"listen": %q, "max_age": "1s"},
  "peer": {"listen": %q, "key": %q, "seeds": [%s], "probe_every": "200ms"},
  "operator": {"token": %q},
  "platform": {"table": %q, "object": %q, "vms": %q, "timeout": "500ms"},
  "limits": {"lease_term": "3s"},
}`, args[0], args[1], args[2], args[3], standin.PeerKey, strings.Join(seeds, ", "), standin.OperatorToken,
		ts.Getenv("TABLE"), ts.Getenv("OBJECTS"), ts.Getenv("VMS"))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".json"), []byte(text), 0o600))
}

// cmdAwait repeats a command until its output has a text: await TEXT CMD ARGS.
// With ! it waits until the output no longer has it.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	var out string
	for end := time.Now().Add(eventually); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		err := ts.Exec(args[1], args[2:]...)
		out = ts.ReadFile("stdout")
		if has := strings.Contains(out, args[0]); has != neg && (err == nil || neg) {
			return
		}
	}
	ts.Fatalf("never came true: %v of %v; last output:\n%s", args[0], args[1:], out)
}

// cmdRequest sends a completion: request ENTRY ORGANISATION FILE [HEADER=VALUE...]
// and writes the status and body to the file "answer".
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	prompt := ts.ReadFile(args[2])
	body := fmt.Sprintf(`{"model": "m", "prompt": %q, "max_tokens": 8}`, prompt)
	req, err := http.NewRequest(http.MethodPost, "http://"+args[0]+"/v1/completions", strings.NewReader(body))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer key-"+args[1])
	for _, h := range args[3:] {
		name, value, _ := strings.Cut(h, "=")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(resp.Body)
	ts.Check(err)
	answer := fmt.Sprintf("status %d\n%s\n", resp.StatusCode, buf.String())
	ts.Check(os.WriteFile(ts.MkAbs("answer"), []byte(answer), 0o600))
}

// cmdFault switches a stand-in's faults: fault ADDRESS JSON.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post("http://"+args[0]+"/fault", "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("fault: status %d", resp.StatusCode)
	}
}
