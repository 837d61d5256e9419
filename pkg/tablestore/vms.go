package tablestore

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/httpjson"
)

// PathVMs is the path of the platform's list of VMs.
const PathVMs = "/v1/vms"

// VM is one machine of the platform's list.
type VM struct {
	Name    string         `json:"name"`
	Peer    netip.AddrPort `json:"peer"` // Unset for VMs of upstreams.
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving"`
}

// VMs is a client of the platform's list of VMs, which lags behind.
type VMs struct {
	http    *httpjson.Client
	timeout time.Duration
}

// NewVMs returns a client of the list at addr.
func NewVMs(addr netip.AddrPort, timeout time.Duration) *VMs {
	return &VMs{http: httpjson.NewClient(addr), timeout: timeout}
}

// List returns the current list.
func (v *VMs) List(ctx context.Context) (list []VM, err error) {
	defer func() { err = eris.Wrap(err, "list VMs") }()
	ctx, cancel := context.WithTimeout(ctx, v.timeout)
	defer cancel()
	err = v.http.Call(ctx, http.MethodGet, PathVMs, nil, &list)
	return list, err
}

// Close drops idle connections.
func (v *VMs) Close() { v.http.Close() }
