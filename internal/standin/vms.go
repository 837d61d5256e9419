package standin

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/platform"
)

// VMs stands in for the platform's list of VMs.
type VMs struct {
	*host

	mu   sync.Mutex
	list []platform.VM
}

// StartVMs starts a VM list.
func StartVMs(addr netip.AddrPort) (*VMs, error) {
	h, err := newHost(addr)
	if err != nil {
		return nil, err
	}
	v := &VMs{host: h, list: []platform.VM{}}
	h.router.GET(platform.PathVMs, v.get)
	h.router.PUT(platform.PathVMs, v.put)
	h.start()
	return v, nil
}

// Set replaces the list, as PUT does.
func (v *VMs) Set(list []platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = list
}

func (v *VMs) put(c *fasthttp.RequestCtx) {
	var list []platform.VM
	if decode(c, &list) {
		v.Set(list)
	}
}

func (v *VMs) get(c *fasthttp.RequestCtx) {
	v.mu.Lock()
	defer v.mu.Unlock()
	reply(c, http.StatusOK, v.list)
}
