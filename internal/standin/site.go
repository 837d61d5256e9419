package standin

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Site is a set of stand-ins in one process, for trials and tests.
type Site struct {
	Table    *Table
	Objects  *Objects
	VMs      *VMs
	Engines  []*Engine
	Stores   []*Store
	Services []*Service
}

// SiteConfig sizes a site.
type SiteConfig struct {
	Engines  int
	Stores   int
	Services int
	Engine   EngineConfig
	Store    StoreConfig
}

// StartSite starts the platform's stand-ins and so many upstreams.
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

// Close stops all stand-ins and waits.
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

// Setup is the script of the command language that tells drumpath of the site,
// with organisations whose API keys are "key-" and their name.
func (s *Site) Setup(model, weights string, organisations ...string) string {
	text := fmt.Sprintf("create model %s with weights '%s';\n", model, weights)
	for _, o := range organisations {
		text += fmt.Sprintf("create organisation %s with key 'key-%s';\n", o, o)
	}
	for i, e := range s.Engines {
		text += fmt.Sprintf("create upstream engine-%d with kind engine, model %s, data_hall north, address '%s';\n", i, model, e.Addr())
	}
	for i, st := range s.Stores {
		text += fmt.Sprintf("create upstream store-%d with kind store, data_hall north, address '%s';\n", i, st.Addr())
	}
	for i, sv := range s.Services {
		text += fmt.Sprintf("create upstream service-%d with kind service, path pickups, address '%s';\n", i, sv.Addr())
	}
	return text
}

// freeAddrs counts the calls of FreeAddr.
var freeAddrs atomic.Uint32

// FreeAddr returns a loopback address whose port was free just now. Each call
// has an IP number of its own within 127.0.0.0/8, so that no one else is given
// the port before it is used.
func FreeAddr() (netip.AddrPort, error) {
	const ofPID = 200
	n := freeAddrs.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%ofPID), byte(n >> 8), byte(n)})
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	addr := ln.Addr().(*net.TCPAddr).AddrPort() // It listens on TCP.
	return addr, ln.Close()
}
