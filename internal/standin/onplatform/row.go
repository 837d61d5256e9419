package onplatform

import "net/netip"

// UpstreamRow is the row that a replica writes of itself, with all that a real one says, but
// for what only engines have.
func UpstreamRow(service string, addr netip.AddrPort, slots int, state string) map[string]any {
	return map[string]any{
		"service": service, "addr": addr.String(), "zone": "hall-a", "config_version": "v1",
		"slots": slots, "state": state, "cold_left_ms": 0, "call_seq": 0,
	}
}
