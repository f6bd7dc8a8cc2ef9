package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { plays["cut"] = playCut }

const (
	cutLength  = 60 * time.Second
	cutClients = 16
	// uploadBytes is the size of an upload. The example configuration allows 64 MiB.
	uploadBytes = 2_500_000
	// crashInterval is the time between two crashes of an endpoint, crashDowntime how
	// long it is down. The site file has 4.5 s.
	crashInterval, crashDowntime = 3 * time.Second, 4500 * time.Millisecond
)

// playCut lets endpoints crash, one of eight at a time, while callers upload photos. The
// endpoints begin their answers before they have read the whole body.
func playCut(dir, binary string, trouble bool) ([]string, error) {
	var configs []endpointConfig
	for i, zone := range []string{"recife-a", "recife-b", "natal-a", "natal-b", "recife-a", "natal-a", "recife-b", "natal-b"} {
		configs = append(configs, endpointConfig{base: fmt.Sprintf("i-91d%d", i), service: "claims", zone: zone, slots: 3, queue: 9, work: 400 * time.Millisecond, streams: true})
	}
	w, err := newWorld(dir, binary, []string{"recife-a", "recife-b", "natal-a"}, configs)
	if err != nil {
		return nil, err
	}
	defer w.end()
	end := time.Now().Add(cutLength)
	var group sync.WaitGroup
	crashes := 0
	if trouble {
		group.Go(func() {
			for ; time.Now().Before(end); crashes++ {
				time.Sleep(crashInterval)
				e := w.endpoints[crashes%len(w.endpoints)]
				record("endpoint %s crashes", e.id)
				e.crash()
				e.restartAfter(crashDowntime)
				time.Sleep(crashDowntime - crashInterval)
			}
		})
	}
	body := bytes.Repeat([]byte("a photo. "), uploadBytes/9)
	for i := range cutClients {
		group.Go(func() {
			c := newClient(w.sent)
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%04x%08x", i, n)
				s := c.send(w.gateways[rand.IntN(len(w.gateways))].front(), request{id: id, method: "POST", path: "/claims/" + id, affinity: fmt.Sprint(rand.IntN(24)), body: body, once: true, deadline: 4 * time.Second})
				if s.status != 200 {
					record("attempt %s at gateway %s: status %d, %v", id, s.gateway, s.status, s.err)
				}
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	list := w.sent.all()
	w.finish(list)
	record("%d uploads, by status %v; %d crashes", len(list), statuses(list), crashes)
	fmt.Printf("%d uploads, by status %v; %d crashes\n", len(list), statuses(list), crashes)
	return verdicts(list, w.runs), nil
}
