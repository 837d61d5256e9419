package cmds

import (
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/events"
	"github.com/drumpath/drumpath/platform"
	"github.com/drumpath/drumpath/service/gateway"
)

const gatewayHelp = `Runs a node on the hosting platform: it forwards requests to the replicas
that the platform lists, according to the configuration that the operator
keeps in the platform's store. It runs until SIGTERM or SIGINT. Then it
still accepts new requests for a while, and finishes those in flight.

Without -c it uses the settings file that the platform provides.

Example: drumpath gateway -c settings.json`

type gatewayCommand struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings file, JSON with comments"`
	std    stdio
}

var errNoSettings = errors.New("no settings file: name one with -c")

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	signals := notifySignals() // Must come first: a signal during startup would end the process.
	defer signals.close()
	path := c.Config
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return errNoSettings
	}
	s, err := config.LoadGateway(path)
	if err != nil {
		return err
	}
	var level slog.LevelVar
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return err
	}
	handler := events.NewHandler(c.std.out, &level, s.Log.RoutinePerSecond)
	defer handler.Close(logFlushTimeout)
	log := slog.New(handler)
	g, err := gateway.New(s, gateway.Platform{
		Store:   platform.NewStore(s.Platform.Store),
		Engines: platform.NewEngines(),
		Codec:   platform.Codec{},
		Paths:   platform.Paths(),
	}, log)
	if err != nil {
		return err
	}
	g.Start()
	serveUntilStopped(g, path, log, signals)
	g.Drain()
	g.Close()
	return nil
}

// logFlushTimeout is how long the gateway waits at exit until its last log lines are
// written: the output may be blocked.
const logFlushTimeout = 500 * time.Millisecond

// settingsPollInterval is how often the settings file is read again, as it may change
// without a signal.
const settingsPollInterval = 5 * time.Second

// gatewaySignals receives the signals to a gateway. A signal is dropped if its channel is
// full, so stop signals have their own: while the settings file is slow to read, reload
// signals can't fill it.
type gatewaySignals struct {
	stop   chan os.Signal
	reload chan os.Signal // Holds one signal: any number of them need one reload.
}

func notifySignals() gatewaySignals {
	s := gatewaySignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func (s gatewaySignals) close() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// serveUntilStopped returns at a stop signal. Until then it applies changed settings; if
// they are not usable, the current ones stay in force.
func serveUntilStopped(g *gateway.Gateway, path string, log *slog.Logger, signals gatewaySignals) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-signals.stop:
			return
		case <-signals.reload:
			log.Info("settings reload requested", "file", path)
		case <-t.C:
		}
		settings, err := config.LoadGateway(path)
		if err != nil {
			log.Error("settings not usable, those in force stay", "file", path, "err", err)
			continue
		}
		g.Reload(settings)
	}
}
