package config

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// filled are values that the platform fills the deploy template's gaps with.
var filled = map[string]string{
	"node_name|json":                 `"front-a-1"`,
	"zone|json":                      `"hall-a"`,
	"ip":                             "10.1.0.19",
	"listen_addrs.front|json":        `"10.1.0.19:8749"`,
	"listen_addrs.ready|json":        `"10.1.0.19:8741"`,
	"listen_addrs.directory|json":    `"10.1.0.19:8747"`,
	"zones|json":                     `{"hall-a":"region-1","hall-b":"region-2"}`,
	"#bounds.cold_overage":           "",
	"/bounds.cold_overage":           "",
	"bounds.cold_overage|json":       "1.5",
	"bounds.cold_slack|json":         "5",
	"#bounds.evacuation_ms":          "",
	"/bounds.evacuation_ms":          "",
	"bounds.evacuation_ms":           "5000",
	"internal_port_range.0":          "7580",
	"platform.addr":                  "10.200.1.7:8744",
	"platform.addr|json":             `"10.200.1.7:8744"`,
	"limits.memory_mb|json":          "284",
	"limits.max_fds|json":            "4100",
	"limits.link_mbps|json":          "1000.0",
	"bounds.retry_budget_ratio|json": "0.2",
	"bounds.budget_window_s":         "10",
	"bounds.retry_budget_slack|json": "54",
	"bounds.grace_s":                 "8",
	"bounds.lease_ms":                "3000",
	"bounds.version_ms":              "10000",
}

func deployTemplate(t *testing.T, change map[string]string) []byte {
	text, err := os.ReadFile("../../deploy/node.json")
	assert.NilError(t, err)
	gap := regexp.MustCompile(`\{\{([^}]+)\}\}`)
	return gap.ReplaceAllFunc(text, func(g []byte) []byte {
		name := strings.Trim(string(g), "{}")
		value, ok := change[name]
		if !ok {
			value, ok = filled[name]
		}
		assert.Assert(t, ok, "gap %q", name)
		return []byte(value)
	})
}

func TestDeployTemplateMakesSettings(t *testing.T) {
	s, err := ParseGateway(deployTemplate(t, nil))
	assert.NilError(t, err)
	assert.Equal(t, s.Node.DataHall, "hall-a")
	assert.Equal(t, s.Peer.Listen.String(), "10.1.0.19:7580")
	assert.Equal(t, s.Retry.Slack, 54.0)
	assert.Equal(t, s.Limits.LinkMbps, 1000.0)
	assert.Equal(t, s.Orders.Within.Std(), 10*time.Second)
	assert.Equal(t, s.Stop.Grace.Std(), 8*time.Second)
	assert.DeepEqual(t, s.Regions, map[string]string{"hall-a": "region-1", "hall-b": "region-2"})
	assert.Equal(t, s.Cold, ColdSettings{Overage: 1.5, Slack: 5})
	assert.Equal(t, s.Evacuation.Within.Std(), 5*time.Second)
}

// Every fault is named by its field and line.
func TestFaultsOfAGatewaysSettings(t *testing.T) {
	_, err := ParseGateway(deployTemplate(t, map[string]string{
		"zone|json":               `""`,
		"listen_addrs.front|json": `"nowhere"`,
		"bounds.grace_s":          "",
		"limits.memory_mb|json":   `"much"`,
	}))
	faults, ok := err.(SettingErrors)
	assert.Assert(t, ok)
	text := faults.Error()
	for _, field := range []string{"entry.listen", "stop.grace", "limits.memory_mb"} {
		assert.Assert(t, strings.Contains(text, field), "%s lacks %s", text, field)
	}
	_, err = ParseGateway([]byte(`{"node": {"name": "n"}}`))
	faults, ok = err.(SettingErrors)
	assert.Assert(t, ok)
	for _, field := range []string{"node.data_hall", "entry.listen", "entry.ready", "entry.directory", "peer.listen", "peer.key", "platform.store"} {
		assert.Assert(t, strings.Contains(faults.Error(), field), "%s lacks %s", faults.Error(), field)
	}
}
