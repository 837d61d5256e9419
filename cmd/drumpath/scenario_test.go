package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/drumpath/drumpath/internal/standin"
)

// awaitTimeout is how long scenarios wait for a condition. It is far longer than a
// condition should take, so that a slow machine gets the same result.
const awaitTimeout = 60 * time.Second

// scenario is the state of one script.
type scenario struct {
	mu         sync.Mutex
	procs      map[string]*exec.Cmd
	ended      map[string]chan struct{}
	answers    map[string]chan string
	statements string // Configures the model and the upstreams.
	engines    int
}

func newScenario() *scenario {
	return &scenario{
		procs:      map[string]*exec.Cmd{},
		ended:      map[string]chan struct{}{},
		answers:    map[string]chan string{},
		statements: "create model m with weights w1;\n",
	}
}

type scenarioKey struct{}

func scenarioOf(ts *testscript.TestScript) *scenario {
	return ts.Value(scenarioKey{}).(*scenario)
}

// start runs a process in the background and kills it when the script ends.
func (s *scenario) start(ts *testscript.TestScript, name string, args ...string) {
	path := filepath.Join(strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator))[0], args[0])
	cmd := exec.Command(path, args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = append(os.Environ(), "DRUMPATH_TOKEN="+standin.OperatorToken)
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	cmd.Stdout, cmd.Stderr = log, log
	ts.Check(cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.procs[name], s.ended[name] = cmd, ended
	ts.Defer(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	})
}

// cmdSite starts the stand-ins of the platform services.
func cmdSite(ts *testscript.TestScript, _ bool, _ []string) {
	s := scenarioOf(ts)
	for _, kind := range []string{"table", "objects", "vms"} {
		addr := freeAddr(ts)
		ts.Setenv(strings.ToUpper(kind), addr)
		s.start(ts, kind, "standind", "--kind", kind, "--listen", addr)
		awaitListening(ts, addr)
	}
}

// cmdUpstream starts an upstream: upstream KIND NAME [JSON] [FIELDS]. It sets the
// variable NAME to the upstream's address.
func cmdUpstream(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	kind, name := args[0], args[1]
	config, fields := "{}", ""
	if len(args) > 2 {
		config = args[2]
	}
	if len(args) > 3 {
		fields = ", " + args[3]
	}
	addr := freeAddr(ts)
	ts.Setenv(name, addr)
	s.start(ts, name, "standind", "--kind", kind, "--listen", addr, "--config", config)
	awaitListening(ts, addr)
	switch kind {
	case "engine":
		s.engines++
		fields += ", model m"
	case "service":
		fields += ", path pickups"
	}
	s.statements += fmt.Sprintf("create upstream %s with kind %s, data_hall north, address '%s'%s;\n", name, kind, addr, fields)
}

// cmdNodes starts nodes and waits until all know each other: nodes NAME... It sets the
// variables ENTRYn and PEERn to their addresses.
func cmdNodes(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	n := len(args)
	for i := range n {
		ts.Setenv(fmt.Sprint("ENTRY", i+1), freeAddr(ts))
		ts.Setenv(fmt.Sprint("PEER", i+1), freeAddr(ts))
	}
	for i, name := range args {
		s.writeSettings(ts, name, i+1, n)
		s.start(ts, name, "drumpath", "serve", "-c", name+".json")
	}
	for i := range n {
		await(ts, fmt.Sprintf("members %d", n), func() (string, bool) {
			out := ctl(ts, i+1, "show nodes where state = alive")
			return out, strings.Count(out, "alive") == n
		})
	}
}

// cmdStart starts a node again: start NAME.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	scenarioOf(ts).start(ts, args[0], "drumpath", "serve", "-c", args[0]+".json")
}

func (s *scenario) writeSettings(ts *testscript.TestScript, name string, i, n int) {
	var seeds []string
	for j := 1; j <= n; j++ {
		seeds = append(seeds, fmt.Sprintf("%q", ts.Getenv(fmt.Sprint("PEER", j))))
	}
	text := fmt.Sprintf(`{
  "node": {"name": %q, "data_hall": "north"},
  "entry": {"listen": %q, "max_age": %q},
  "peer": {"listen": %q, "key": %q, "seeds": [%s], "probe_every": "200ms"},
  "operator": {"token": %q},
  "platform": {"table": %q, "object": %q, "vms": %q, "timeout": "500ms"},
  "limits": {"lease_term": "2s"},
}`, name, ts.Getenv(fmt.Sprint("ENTRY", i)), maxAge(ts), ts.Getenv(fmt.Sprint("PEER", i)), standin.PeerKey,
		strings.Join(seeds, ", "), standin.OperatorToken,
		ts.Getenv("TABLE"), ts.Getenv("OBJECTS"), ts.Getenv("VMS"))
	ts.Check(os.WriteFile(ts.MkAbs(name+".json"), []byte(text), 0o600))
}

// maxAge is how long clients may cache an answer of /v1/entries: the variable MAXAGE, or
// one second.
func maxAge(ts *testscript.TestScript) string {
	if age := ts.Getenv("MAXAGE"); age != "" {
		return age
	}
	return "1s"
}

// cmdSetup configures the model, the upstreams and organisations through node 1, and waits
// until each node has the loads of all engines: setup ORGANISATION...
func cmdSetup(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	text := s.statements
	for _, o := range args {
		text += fmt.Sprintf("create organisation %s with key 'key-%s';\n", o, o)
	}
	text += "drain node nobody wait;\nrestore node nobody wait"
	ts.Check(ts.Exec("drumpath", "ctl", "-n", ts.Getenv("PEER1"), text))
	for i := 1; ts.Getenv(fmt.Sprint("PEER", i)) != ""; i++ {
		await(ts, "loads of all engines", func() (string, bool) {
			out := ctl(ts, i, "show replicas where weights like w")
			return out, strings.Count(out, "\n") == s.engines+1
		})
	}
}

// ctl runs statements on a node and returns what was printed.
func ctl(ts *testscript.TestScript, node int, text string) string {
	_ = ts.Exec("drumpath", "ctl", "-n", ts.Getenv(fmt.Sprint("PEER", node)), text)
	return ts.ReadFile("stdout")
}

// cmdSignal sends a signal: signal STOP|CONT|KILL|TERM NAME.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	sig, ok := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP,
		"CONT": syscall.SIGCONT,
		"KILL": syscall.SIGKILL,
		"TERM": syscall.SIGTERM,
	}[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[0])
	}
	ts.Check(s.procs[args[1]].Process.Signal(sig))
	if sig == syscall.SIGKILL {
		<-s.ended[args[1]]
	}
}

// cmdEnded waits until a process has ended with exit code 0: ended NAME.
func cmdEnded(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	select {
	case <-s.ended[args[0]]:
	case <-time.After(awaitTimeout):
		ts.Fatalf("%s has not ended", args[0])
	}
	if code := s.procs[args[0]].ProcessState.ExitCode(); code != 0 {
		ts.Fatalf("%s ended with exit code %d:\n%s", args[0], code, ts.ReadFile(args[0]+".log"))
	}
}

// cmdAwait repeats a command until its output contains a text: await TEXT CMD ARGS.
// With ! it waits until the output no longer contains it.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	await(ts, args[0], func() (string, bool) {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout")
		return out, strings.Contains(out, args[0]) != neg && (err == nil || neg)
	})
}

// await waits until cond is true; cond also returns the output to show on a timeout.
func await(ts *testscript.TestScript, what string, cond func() (string, bool)) {
	var out string
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var ok bool
		if out, ok = cond(); ok {
			return
		}
	}
	ts.Fatalf("timed out waiting for: %s; last output:\n%s", what, out)
}

// cmdAwaitGet waits until a URL's body contains a text, or with ! no longer contains it:
// await-get TEXT URL.
func cmdAwaitGet(ts *testscript.TestScript, neg bool, args []string) {
	await(ts, args[0], func() (string, bool) {
		req, err := http.NewRequest(http.MethodGet, "http://"+args[1], nil)
		ts.Check(err)
		req.Header.Set("Authorization", "Bearer key-corrib")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err.Error(), false
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return string(body), strings.Contains(string(body), args[0]) != neg
	})
}

// cmdExplained waits until the output of an explain statement for a prompt contains a text,
// or with ! no longer contains it: explained TEXT ORGANISATION FILE.
func cmdExplained(ts *testscript.TestScript, neg bool, args []string) {
	text := strings.ReplaceAll(ts.ReadFile(args[2]), "'", "''")
	await(ts, args[0], func() (string, bool) {
		out := ctl(ts, 1, fmt.Sprintf("explain organisation %s model m prompt '%s'", args[1], text))
		return out, strings.Contains(out, "decision") && strings.Contains(out, args[0]) != neg
	})
}

// cmdRequest sends a request and writes its status, headers and body to the
// file "answer": request [-bg NAME] ENTRY ORGANISATION PATH BODY [HEADER=VALUE...].
// A BODY of the form @FILE requests a completion of the prompt in the file.
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	background := ""
	if args[0] == "-bg" {
		background, args = args[1], args[2:]
	}
	body := args[3]
	if file, ok := strings.CutPrefix(body, "@"); ok {
		body = fmt.Sprintf(`{"model": "m", "prompt": %q, "max_tokens": 40, "stream": true}`, ts.ReadFile(file))
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+args[0]+args[2], strings.NewReader(body))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer key-"+args[1])
	for _, h := range args[4:] {
		name, value, _ := strings.Cut(h, "=")
		req.Header.Set(name, value)
	}
	if background == "" {
		writeAnswer(ts, send(req))
		return
	}
	done := make(chan string, 1)
	scenarioOf(ts).answers[background] = done
	go func() { done <- send(req) }()
}

// send sends a request and returns the answer as text.
func send(req *http.Request) string {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer: " + err.Error() + "\n"
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "status %d\n", resp.StatusCode)
	_ = resp.Header.Write(&b)
	if _, err := b.ReadFrom(resp.Body); err != nil && !errors.Is(err, io.EOF) {
		_, _ = fmt.Fprintf(&b, "\nbroken: %v", err)
	}
	return b.String() + "\n"
}

func writeAnswer(ts *testscript.TestScript, text string) {
	ts.Check(os.WriteFile(ts.MkAbs("answer"), []byte(text), 0o600))
}

// cmdAnswer waits for the answer of a request that was sent in the background and writes
// it to the file "answer": answer NAME.
func cmdAnswer(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case text := <-scenarioOf(ts).answers[args[0]]:
		writeAnswer(ts, text)
	case <-time.After(awaitTimeout):
		ts.Fatalf("no answer to %s", args[0])
	}
}

// cmdFault sets the faults of a stand-in: fault ADDRESS JSON.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post("http://"+args[0]+"/fault", "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("fault: status %d", resp.StatusCode)
	}
}

// cmdRuns checks how often an upstream has run requests that contain a text: runs
// ADDRESS TEXT N.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	if body, ok := runsMatch(ts, args); !ok {
		ts.Fatalf("%s did not run %s times: %s", args[1], args[2], body)
	}
}

// cmdAwaitRuns waits until cmdRuns would pass.
func cmdAwaitRuns(ts *testscript.TestScript, _ bool, args []string) {
	await(ts, args[1]+" runs", func() (string, bool) { return runsMatch(ts, args) })
}

// runsMatch reports whether an upstream has run requests that contain a text N times; args are
// those of cmdRuns. It also returns all runs, as JSON.
func runsMatch(ts *testscript.TestScript, args []string) (body string, ok bool) {
	resp, err := http.Get("http://" + args[0] + "/runs")
	ts.Check(err)
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	return string(text), fmt.Sprint(countRuns(text, args[1])) == args[2]
}

// cmdPut sends a PUT request: put URL BODY.
func cmdPut(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+args[0], strings.NewReader(args[1]))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
}

// cmdLong writes a long text to a file: long FILE WORD BYTES.
func cmdLong(ts *testscript.TestScript, _ bool, args []string) {
	var n int
	_, err := fmt.Sscan(args[2], &n)
	ts.Check(err)
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		_, _ = fmt.Fprintf(&b, "%s, line %d of a text that comes back after hours.\n", args[1], i)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(b.String()[:n]), 0o600))
}

func freeAddr(ts *testscript.TestScript) string {
	addr, err := standin.FreeAddr()
	ts.Check(err)
	return addr.String()
}

func awaitListening(ts *testscript.TestScript, addr string) {
	await(ts, addr+" listens", func() (string, bool) {
		resp, err := http.Get("http://" + addr + "/")
		if err != nil {
			return err.Error(), false
		}
		_ = resp.Body.Close()
		return "", true
	})
}
