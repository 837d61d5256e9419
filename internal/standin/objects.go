package standin

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/tablestore"
)

// Objects stands in for the platform's object store.
type Objects struct {
	*httpServer

	mu      sync.Mutex
	objects map[string][]byte
}

// StartObjects starts an object store.
func StartObjects(addr netip.AddrPort) (*Objects, error) {
	h, err := newHTTPServer(addr)
	if err != nil {
		return nil, err
	}
	o := &Objects{httpServer: h, objects: map[string][]byte{}}
	h.router.PUT(tablestore.PathObjects+"{name:*}", o.put)
	h.router.GET(tablestore.PathObjects+"{name:*}", o.get)
	h.start()
	return o, nil
}

func (o *Objects) put(c *fasthttp.RequestCtx) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[c.UserValue("name").(string)] = append([]byte(nil), c.PostBody()...) // The route always sets name.
}

func (o *Objects) get(c *fasthttp.RequestCtx) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.objects[c.UserValue("name").(string)] // The route always sets name.
	if !ok {
		c.Error("no such object", http.StatusNotFound)
		return
	}
	c.SetBody(body)
}
