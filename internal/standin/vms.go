package standin

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/tablestore"
)

// VMs stands in for the platform's list of VMs.
type VMs struct {
	*httpServer

	mu   sync.Mutex
	list []tablestore.VM
}

// StartVMs starts a VM list.
func StartVMs(addr netip.AddrPort) (*VMs, error) {
	h, err := newHTTPServer(addr)
	if err != nil {
		return nil, err
	}
	v := &VMs{httpServer: h, list: []tablestore.VM{}}
	h.router.GET(tablestore.PathVMs, v.get)
	h.router.PUT(tablestore.PathVMs, v.put)
	h.start()
	return v, nil
}

// Set replaces the list, as PUT does.
func (v *VMs) Set(list []tablestore.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = list
}

func (v *VMs) put(c *fasthttp.RequestCtx) {
	var list []tablestore.VM
	if decode(c, &list) {
		v.Set(list)
	}
}

func (v *VMs) get(c *fasthttp.RequestCtx) {
	v.mu.Lock()
	defer v.mu.Unlock()
	reply(c, http.StatusOK, v.list)
}
