package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { plays["heads"] = playHeads }

const (
	// headsLength is the length of the traffic, garbleOn and garbleOff the times for
	// which endpoints garble and don't. The site file has 5 s.
	headsLength         = 60 * time.Second
	garbleOn, garbleOff = 5 * time.Second, 3 * time.Second
	headsClients        = 36
)

// playHeads lets two of four endpoints send a second copy of some answers, late and
// broken off in its head, while callers renew subscriptions.
func playHeads(dir, binary string, trouble bool) ([]string, error) {
	var configs []endpointConfig
	for i, zone := range []string{"recife-a", "recife-b", "natal-a", "natal-b"} {
		configs = append(configs, endpointConfig{base: fmt.Sprintf("i-7f3a91c%d", i), service: "renewals", zone: zone, slots: 3, queue: 3, work: 60 * time.Millisecond})
	}
	w, err := newWorld(dir, binary, []string{"recife-a", "recife-b", "natal-a"}, configs)
	if err != nil {
		return nil, err
	}
	defer w.end()
	end := time.Now().Add(headsLength)
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				for i, e := range w.endpoints {
					e.mu.Lock()
					e.garbling = i%2 == n%2
					e.mu.Unlock()
				}
				time.Sleep(garbleOn)
				for _, e := range w.endpoints {
					e.mu.Lock()
					e.garbling = false
					e.mu.Unlock()
				}
				time.Sleep(garbleOff)
			}
		})
	}
	for i := range headsClients {
		group.Go(func() {
			c := newClient(w.sent)
			for n := 0; time.Now().Before(end); n++ {
				g := w.gateways[rand.IntN(len(w.gateways))]
				id := fmt.Sprintf("%04x%08x", i, n)
				c.send(g.front(), request{
					id: id, method: "POST", path: fmt.Sprintf("/renewals/%d", rand.IntN(24)), affinity: fmt.Sprint(rand.IntN(24)),
					body: []byte("renew the subscription for attempt " + id), once: true, deadline: 4 * time.Second,
				})
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	list := w.sent.all()
	w.finish(list)
	spoiled := 0
	for _, e := range w.endpoints {
		spoiled += e.spoiled
	}
	record("%d requests, by status %v; %d second answers", len(list), statuses(list), spoiled)
	fmt.Printf("%d requests, by status %v; %d second answers\n", len(list), statuses(list), spoiled)
	return verdicts(list, w.runs), nil
}
