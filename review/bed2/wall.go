package main

import (
	"errors"
	"fmt"
	"time"
)

// runWall has a tenant become isolated whose requests have made memory in a shared document, and another tenant use the
// document after that.
func runWall(b *bed) (broken bool, err error) {
	alpha, beta := tenant{Name: "alpha", Keys: []string{"key-alpha"}}, tenant{Name: "beta", Keys: []string{"key-beta"}}
	b.configure(1, nil, alpha, beta)
	var engines []*engine
	for i := range 3 {
		e, err := b.startEngine(i, serviceName)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := b.startNodes(3); err != nil {
		return false, err
	}
	ask := func(t tenant, number int) *try {
		p := &prompt{path: "/draft/", key: t.Keys[0], parts: fmt.Sprintf("d0c5a1b2:4000,%s:170", newID()), tokensIn: 4170, out: 30, deadline: 4 * time.Second}
		x := b.nodes[number%len(b.nodes)].send(p, p.deadline, 0)
		b.note("%s of %s to %s: status %d, last event %d, whole %v, by %s, %v", x.id, t.Name, x.node.name, x.status, x.lastID, x.whole, x.stamp, x.err)
		return x
	}
	for i := range 12 { // Alpha's requests read the document at the engines.
		ask(alpha, i)
	}
	if b.trouble {
		alpha.Isolated = true
		b.configure(2, nil, alpha, beta)
	}
	time.Sleep(configApplyTime + time.Second)
	since, served := time.Now(), 0
	for i := range 12 {
		if x := ask(beta, i); x.status == 200 && x.whole {
			served++
		}
	}
	if served == 0 {
		return false, errors.New("no request of beta was served")
	}
	isolated := map[string]bool{alpha.Name: alpha.Isolated, beta.Name: beta.Isolated}
	count := 0
	for _, e := range engines {
		for _, r := range e.ran() {
			b.note("%s ran %s of %s on memory of %v", r.engine, r.request, r.tenant, r.memoryOf)
			for part, maker := range r.memoryOf {
				if r.at.After(since) && maker != r.tenant && (isolated[maker] || isolated[r.tenant]) {
					b.note("WALL: %s of %s uses part %s, made by a request of %s, which is isolated", r.request, r.tenant, part, maker)
					count++
				}
			}
		}
	}
	b.note("requests of beta served: %d; uses of memory across the wall: %d", served, count)
	return count > 0, nil
}
