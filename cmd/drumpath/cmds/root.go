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
	// ExitOK: the command did what it was asked.
	ExitOK = 0
	// ExitFailed: it could not, and says why.
	ExitFailed = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitSettings: the settings file is wrong.
	ExitSettings = 3
	// ExitRefused: the system refused a statement.
	ExitRefused = 4
	// ExitUnknown: the outcome of a change is unknown.
	ExitUnknown = 5
)

// stdio is where a command reads and writes.
type stdio struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exitError ends a command with an exit code; what there is to say was said.
type exitError struct{ code int }

// Error gives the code.
func (e *exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

const longHelp = `drumpath serves prompts that come back after long gaps.

Examples:
  drumpath check -c node.json            list every fault of a settings file
  drumpath serve -c node.json            run a node
  drumpath ctl -n 127.0.0.1:9080 -t TOKEN "show replicas order by wait_ms"
  drumpath dump -n 127.0.0.1:9080 -t TOKEN
  drumpath gateway -c settings.json      run a node on the users' platform
  drumpath explain REQUEST-ID node.log   tell why a request failed
  drumpath load -p profile.json --entry 127.0.0.1:8080
  drumpath try --json                    see a prompt return, in one process

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 wrong settings,
4 refused by the system, 5 outcome of a change unknown, 6 the request failed,
7 the request is not known.`

// Run carries out a command line and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	std := stdio{in: in, out: out, err: errOut}
	p := flags.NewNamedParser("drumpath", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = longHelp
	commands := []struct {
		name, short, long string
		data              flags.Commander
	}{
		{"serve", "Run a node", serveHelp, &serveCommand{std: std}},
		{"gateway", "Run a node on the users' platform", gatewayHelp, &gatewayCommand{std: std}},
		{"check", "Check a settings file", checkHelp, &checkCommand{std: std}},
		{"explain", "Tell why a request failed", explainHelp, &explainCommand{std: std}},
		{"ctl", "Query and change the system", ctlHelp, &ctlCommand{std: std}},
		{"dump", "Show the state of a process", dumpHelp, &dumpCommand{std: std}},
		{"log-level", "Change the log level of a process", logLevelHelp, &logLevelCommand{std: std}},
		{"load", "Load a running system", loadHelp, &loadCommand{std: std}},
		{"try", "See a prompt return, in one process", tryHelp, &tryCommand{std: std}},
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

// exitCode says what went wrong and gives the exit code.
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
	_, _ = fmt.Fprintf(s.out, format, args...) // There is nowhere else to say it.
}

func (s stdio) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.err, format, args...) // There is nowhere else to say it.
}
