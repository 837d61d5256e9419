package standin

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Site is a set of stand-ins in one process, for tests and measurements.
type Site struct {
	Table    *Table
	Objects  *Objects
	VMs      *VMs
	Engines  []*Engine
	Stores   []*Store
	Services []*Service
}

// SiteConfig sets the number and the configuration of a site's stand-ins.
type SiteConfig struct {
	Engines  int
	Stores   int
	Services int
	Engine   EngineConfig
	Store    StoreConfig
}

// StartSite starts the stand-ins of the platform and of the configured
// Upstreams.
func StartSite(cfg SiteConfig) (s *Site, err error) {
	s = &Site{}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	if s.Table, err = StartTable(Loopback); err != nil {
		return s, err
	}
	if s.Objects, err = StartObjects(Loopback); err != nil {
		return s, err
	}
	if s.VMs, err = StartVMs(Loopback); err != nil {
		return s, err
	}
	for range cfg.Engines {
		e, err := StartEngine(Loopback, cfg.Engine)
		if err != nil {
			return s, err
		}
		s.Engines = append(s.Engines, e)
	}
	for range cfg.Stores {
		st, err := StartStore(Loopback, cfg.Store)
		if err != nil {
			return s, err
		}
		s.Stores = append(s.Stores, st)
	}
	for range cfg.Services {
		sv, err := StartService(Loopback)
		if err != nil {
			return s, err
		}
		s.Services = append(s.Services, sv)
	}
	return s, nil
}

// Close stops all stand-ins and waits for them.
func (s *Site) Close() {
	for _, e := range s.Engines {
		e.Close()
	}
	for _, st := range s.Stores {
		st.Close()
	}
	for _, sv := range s.Services {
		sv.Close()
	}
	if s.VMs != nil {
		s.VMs.Close()
	}
	if s.Objects != nil {
		s.Objects.Close()
	}
	if s.Table != nil {
		s.Table.Close()
	}
}

// Setup returns statements of the command language that create the model, the
// site's Upstreams and the organisations. An organisation's API key is "key-"
// and its name.
func (s *Site) Setup(model, weights string, organisations ...string) string {
	script := fmt.Sprintf("create model %s with weights '%s';\n", model, weights)
	for _, o := range organisations {
		script += fmt.Sprintf("create organisation %s with key 'key-%s';\n", o, o)
	}
	for i, e := range s.Engines {
		script += fmt.Sprintf("create upstream engine-%d with kind engine, model %s, data_hall north, address '%s';\n", i, model, e.Addr())
	}
	for i, st := range s.Stores {
		script += fmt.Sprintf("create upstream store-%d with kind store, data_hall north, address '%s';\n", i, st.Addr())
	}
	for i, sv := range s.Services {
		script += fmt.Sprintf("create upstream service-%d with kind service, path pickups, address '%s';\n", i, sv.Addr())
	}
	return script
}

// freeAddrCalls counts the calls of FreeAddr.
var freeAddrCalls atomic.Uint32

// FreeAddr returns a loopback address whose port was free a moment ago. Each call
// uses its own IP address within 127.0.0.0/8, so that no other process gets the
// port before the caller listens on it.
func FreeAddr() (netip.AddrPort, error) {
	const pidRange = 200
	n := freeAddrCalls.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%pidRange), byte(n >> 8), byte(n)})
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	addr := ln.Addr().(*net.TCPAddr).AddrPort() // The listener is a TCP listener.
	return addr, ln.Close()
}
