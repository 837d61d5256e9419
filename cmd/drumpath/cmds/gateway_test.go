package cmds

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/platform"
	"github.com/drumpath/drumpath/service/gateway"
)

const gatewaySettings = `{
	"node": {"name": "n", "data_hall": "h"},
	"entry": {"listen": "%[1]s:8001", "ready": "%[1]s:8002", "directory": "%[1]s:8003"},
	"peer": {"listen": "%[1]s:8004", "key": "test-key-1"},
	"platform": {"store": "%[1]s:8005"},
	"retry": {"share": %[2]s}
}`

// Guards against a stop signal that is lost behind reload signals while the settings file is
// slow to read: all signals shared a channel of four, and a signal to a full channel is
// dropped. The node went on until it was killed, which cut off its requests.
func TestReloadSignalsDoNotDropAStopSignal(t *testing.T) {
	signals := notifySignals()
	defer signals.close()
	const reloads = 5
	for range reloads {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(10 * time.Millisecond) // The kernel merges signals that are sent at once.
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case <-signals.stop:
	case <-time.After(10 * time.Second):
		t.Fatal("the stop was lost")
	}
	assert.Equal(t, len(signals.reload), 1)
}

// Guards against SIGHUP ending the gateway instead of reloading its settings.
func TestOnlyAStopSignalEndsTheGateway(t *testing.T) {
	ip := fmt.Sprintf("127.%d.201.1", 64+os.Getpid()%128) // Not used by other tests.
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(share string) {
		assert.NilError(t, os.WriteFile(path, []byte(fmt.Sprintf(gatewaySettings, ip, share)), 0o600))
	}
	write("0.1")
	s, err := config.LoadGateway(path)
	assert.NilError(t, err)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	g, err := gateway.New(s, gateway.Platform{
		Store:   platform.NewStore(s.Platform.Store),
		Engines: platform.NewEngines(),
		Codec:   platform.Codec{},
		Paths:   platform.Paths(),
	}, log)
	assert.NilError(t, err)
	g.Start()
	write("0.3")
	signals := gatewaySignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	reloadAndStop := func() {
		signals.reload <- syscall.SIGHUP
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			serveUntilStopped(g, path, log, signals)
		}()
		for len(signals.reload) > 0 {
			time.Sleep(time.Millisecond)
		}
		signals.stop <- syscall.SIGTERM
		<-ended
		assert.Equal(t, len(signals.stop), 0, "only the stop signal may end it")
	}
	reloadAndStop()
	write("much")
	reloadAndStop()
	g.Close()
	text := out.String()
	assert.Equal(t, strings.Count(text, `msg="settings in force"`), 1)
	assert.Assert(t, strings.Contains(text, "retry_share=0.3"))
	assert.Equal(t, strings.Count(text, `msg="settings not usable, those in force stay"`), 1)
}

func TestStrictCheckRejectsDisabledMechanisms(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	text := fmt.Sprintf(gatewaySettings, "127.0.0.1", "0.1")
	text = strings.TrimSuffix(strings.TrimSpace(text), "}") + `, "without": {"saves": true, "held": true}}`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	c := checkCommand{settingsFlag: settingsFlag{Config: path}, Gateway: true}
	assert.NilError(t, c.check())
	c.Strict = true
	assert.ErrorContains(t, c.check(), "held, saves")
}
