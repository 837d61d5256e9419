package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/drumpath/drumpath/pkg/config"
)

// Exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the command failed with an error message.
	ExitFailed = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitSettings: the settings file is wrong.
	ExitSettings = 3
	// ExitRefused: a statement failed.
	ExitRefused = 4
	// ExitOutcomeUnknown: the outcome of a change is unknown.
	ExitOutcomeUnknown = 5
)

// stdio has the standard streams of a command.
type stdio struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exitError ends a command with an exit code; its message was already printed.
type exitError struct{ code int }

// Error returns the exit code as text.
func (e *exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

const longHelp = `drumpath routes LLM prompts to engines and reuses the KV caches of
prompts that are repeated after a long time.

Examples:
  drumpath check -c node.json            list every fault of a settings file
  drumpath serve -c node.json            run a node
  drumpath ctl -n 127.0.0.1:9080 -t TOKEN "show replicas order by wait_ms"
  drumpath dump -n 127.0.0.1:9080 -t TOKEN
  drumpath gateway -c settings.json      run a node on the hosting platform
  drumpath explain REQUEST-ID node.log   explain why a request failed
  drumpath load -p profile.json --entry 127.0.0.1:8080
  drumpath try --json                    show the reuse of a prompt, in one process

Exit codes: 0 success, 1 failure, 2 wrong command line, 3 wrong settings,
4 statement refused, 5 outcome of a change unknown, 6 the request failed,
7 the request is not known.`

// Run runs a command line and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	std := stdio{in: in, out: out, err: errOut}
	p := flags.NewNamedParser("drumpath", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = longHelp
	commands := []struct {
		name, short, long string
		data              flags.Commander
	}{
		{"serve", "Run a node", serveHelp, &serveCommand{std: std}},
		{"gateway", "Run a node on the hosting platform", gatewayHelp, &gatewayCommand{std: std}},
		{"check", "Check a settings file", checkHelp, &checkCommand{std: std}},
		{"explain", "Explain why a request failed", explainHelp, &explainCommand{std: std}},
		{"ctl", "Query and change the system", ctlHelp, &ctlCommand{std: std}},
		{"dump", "Show the state of a process", dumpHelp, &dumpCommand{std: std}},
		{"log-level", "Change the log level of a process", logLevelHelp, &logLevelCommand{std: std}},
		{"load", "Send load to a running system", loadHelp, &loadCommand{std: std}},
		{"try", "Show the reuse of a prompt, in one process", tryHelp, &tryCommand{std: std}},
		{"version", "Show the version", "Shows the version of this program.", &versionCommand{std: std}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			std.errorf("drumpath: %v\n", err)
			return ExitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return std.exitCode(err)
}

// exitCode prints an error and returns the exit code for it.
func (s stdio) exitCode(err error) int {
	var usage *flags.Error
	var exit *exitError
	var faults config.SettingErrors
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		s.printf("%s\n", usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		s.errorf("%s\n", usage.Message)
		return ExitUsage
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &faults):
		s.errorf("%v\n", faults)
		return ExitSettings
	default:
		s.errorf("drumpath: %v\n", err)
		return ExitFailed
	}
}

func (s stdio) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format, args...) // A failed write can't be reported.
}

func (s stdio) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.err, format, args...) // A failed write can't be reported.
}
