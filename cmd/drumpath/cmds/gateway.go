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

const gatewayHelp = `Runs a node on the users' platform: it forwards requests to the replicas
that the platform lists, by the configuration that the operator keeps in
the platform's store. It runs until SIGTERM or SIGINT, then serves on
what still comes and finishes what is in flight.

The settings file is the one that the platform laid, unless -c names one.

Example: drumpath gateway -c settings.json`

type gatewayCommand struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings file, JSON with comments"`
	std    stdio
}

var errNoSettings = errors.New("no settings file: name one with -c")

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	in := takeSignals() // First: a signal during the start would end the process.
	defer in.close()
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
	lines := events.NewHandler(c.std.out, &level, s.Log.RoutinePerSecond)
	defer lines.Close(closeLines)
	log := slog.New(lines)
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
	serveUntilStopped(g, path, log, in)
	g.Drain()
	g.Close()
	return nil
}

// closeLines is for how long the last lines are waited for: the output may take
// nothing.
const closeLines = 500 * time.Millisecond

// rereadEvery is how often the settings file is looked at: it may change without
// a signal.
const rereadEvery = 5 * time.Second

// gatewaySignals are the signals to a gateway. A signal that finds its channel full
// is dropped: a stop has a channel of its own, so that a series of reloads can't
// have it lost while the settings file is slow to read.
type gatewaySignals struct {
	stop   chan os.Signal
	reload chan os.Signal // Holds one: it has the newest file read, whatever came.
}

func takeSignals() gatewaySignals {
	s := gatewaySignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func (s gatewaySignals) close() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// serveUntilStopped returns at a signal to stop. Settings that have changed are
// put in force; if they can't be used, those in force stay.
func serveUntilStopped(g *gateway.Gateway, path string, log *slog.Logger, in gatewaySignals) {
	t := time.NewTicker(rereadEvery)
	defer t.Stop()
	for {
		select {
		case <-in.stop:
			return
		case <-in.reload:
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
