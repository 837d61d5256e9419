package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case.
const (
	splitNodes     = 7
	splitEngines   = 3 // Of each service.
	streamInterval = 50 * time.Millisecond
	streamTokens   = 480 // 80 events, 3.2 s.
)

// runSplit has a configuration divide a route between two services, and then kills a node in the middle of its streams, which
// their clients take up at other nodes.
func runSplit(b *bed) (broken bool, err error) {
	alpha := tenant{Name: "alpha", Keys: []string{"key-alpha"}}
	b.configure(1, nil, alpha)
	for i := range splitEngines {
		for j, service := range []string{serviceName, otherName} {
			if _, err := b.startEngine(2*i+j, service); err != nil {
				return false, err
			}
		}
	}
	if err := b.startNodes(splitNodes); err != nil {
		return false, err
	}
	c := &streamClients{bed: b, stop: make(chan struct{})}
	c.wg.Go(c.run)
	time.Sleep(contactTime + time.Second)
	if b.trouble {
		b.configure(2, []share{{serviceName, 90}, {otherName, 10}}, alpha)
	}
	time.Sleep(configApplyTime + contactTime + 5*time.Second) // All streams from before have ended.
	for _, n := range b.nodes[:2] {
		b.note("%s is killed", n.name)
		n.kill()
		time.Sleep(500 * time.Millisecond)
		if err := n.begin(); err != nil {
			return false, err
		}
		time.Sleep(6 * time.Second)
	}
	close(c.stop)
	c.wg.Wait()
	return c.judge()
}

// streamClients are clients that begin streams and take up those that break off.
type streamClients struct {
	bed  *bed
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	tries   int
	resumed int // Tries that took a stream up.
	rest    int // Of these, the ones that brought it to its end.
	denied  map[int]int
	served  int
}

func (c *streamClients) run() {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(streamInterval):
			c.wg.Go(c.ask)
		}
	}
}

// ask sends one request, and takes its stream up once if it breaks off, as the clients of the sheet do.
func (c *streamClients) ask() {
	p := &prompt{path: "/draft/", key: "key-alpha", parts: fmt.Sprintf("d0c5a1b2:650,%s:177", newID()), tokensIn: 827, out: streamTokens, deadline: 12 * time.Second}
	end := time.Now().Add(p.deadline)
	first := c.bed.nodes[rand.IntN(len(c.bed.nodes))]
	x := first.send(p, p.deadline, 0)
	c.count(x, 0)
	if x.whole || x.lastID == 0 {
		return
	}
	other := first
	for other == first { // A client leaves out an address that has failed it.
		other = c.bed.nodes[rand.IntN(len(c.bed.nodes))]
	}
	c.count(other.send(p, time.Until(end), x.lastID), x.lastID)
}

// count counts a try; after is the last event that its client had.
func (c *streamClients) count(x *try, after int) {
	if !x.whole || after > 0 || x.status != 200 {
		c.bed.note("%s to %s after event %d: status %d, last event %d, whole %v, by %s, %v", x.id, x.node.name, after, x.status, x.lastID, x.whole, x.stamp, x.err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries++
	ended := x.status == 200 && x.whole
	if ended {
		c.served++
	}
	if after > 0 {
		c.resumed++
		if ended {
			c.rest++
		}
	}
	if c.denied == nil {
		c.denied = map[int]int{}
	}
	own := x.status >= 300 && x.status < 500 && x.stamp == ""
	if own && x.inTouch && x.status != 408 && x.status != 421 && x.status != 429 {
		c.denied[x.status]++
	}
}

func (c *streamClients) judge() (broken bool, err error) {
	denied := 0
	for _, n := range c.denied {
		denied += n
	}
	bound := 5 + float64(c.tries)/500
	c.bed.note("requests: %d, served: %d, streams taken up: %d, brought to their end: %d, denied by machines in touch: %v, bound %.1f",
		c.tries, c.served, c.resumed, c.rest, c.denied, bound)
	if c.resumed == 0 {
		return false, errors.New("no stream was taken up")
	}
	return float64(denied) > bound, nil
}
