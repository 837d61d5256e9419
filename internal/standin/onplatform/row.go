package onplatform

import "net/netip"

// UpstreamRow returns the row that a replica of a plain service writes about itself, with
// all fields that a real one has. Fields that only engines have are left out.
func UpstreamRow(service string, addr netip.AddrPort, slots int, state string) map[string]any {
	return map[string]any{
		"service": service, "addr": addr.String(), "zone": "hall-a", "config_version": "v1",
		"slots": slots, "state": state, "cold_left_ms": 0, "call_seq": 0,
	}
}
