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

// SIGHUP has the settings read again and ends nothing; only a signal to stop does.
func TestSignalsOfAGateway(t *testing.T) {
	ip := fmt.Sprintf("127.%d.201.1", 64+os.Getpid()%128) // No other test's.
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
		Paths:   gateway.Paths{Ready: platform.PathReady, Resolve: platform.PathResolve, DataHall: platform.QueryDataHall},
	}, log)
	assert.NilError(t, err)
	g.Start()
	write("0.3")
	signals := make(chan os.Signal, 4)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	serveUntilStopped(g, path, log, signals)
	write("much")
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	serveUntilStopped(g, path, log, signals)
	g.Close()
	assert.Equal(t, len(signals), 0, "both signals of each round were taken")
	text := out.String()
	assert.Equal(t, strings.Count(text, `msg="settings in force"`), 1)
	assert.Assert(t, strings.Contains(text, "retry_share=0.3"))
	assert.Equal(t, strings.Count(text, `msg="settings not usable, those in force stay"`), 1)
}
