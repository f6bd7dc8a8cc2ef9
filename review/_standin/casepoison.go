package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	plays["poison"] = func(dir, binary string, trouble bool) ([]string, error) {
		return playPoison(dir, binary, poisonConfig{kills: trouble, crashes: true})
	}
	plays["poisonlate"] = func(dir, binary string, trouble bool) ([]string, error) {
		return playPoison(dir, binary, poisonConfig{crashes: trouble, late: true})
	}
}

// A poisonConfig says what is played.
type poisonConfig struct {
	// kills is true if all gateways are killed twice.
	kills bool
	// crashes is true if the request crashes the endpoints that run it, late if they have
	// sent a part of their answer before.
	crashes, late bool
}

const (
	poisonPath = "/renewals/poison"
	// contact is the bound of that name. A machine is in touch when its processes have
	// run for so long.
	contact = 4 * time.Second
	// maxLateDeliveries is how often the request may reach endpoints later than contact
	// after it crashed the third.
	maxLateDeliveries = 3
	poisonInterval    = time.Second
)

// playPoison sends a request that may crash each endpoint which runs it, again and again,
// and may kill all gateways twice.
func playPoison(dir, binary string, config poisonConfig) ([]string, error) {
	var configs []endpointConfig
	for i, zone := range []string{"recife-a", "recife-b", "natal-a", "natal-b", "recife-a", "natal-a", "recife-b", "natal-b"} {
		configs = append(configs, endpointConfig{base: fmt.Sprintf("i-3c%d", i), service: "renewals", zone: zone, slots: 3, queue: 9, work: 60 * time.Millisecond})
	}
	w, err := newWorld(dir, binary, []string{"recife-a", "recife-b", "natal-a"}, configs)
	if err != nil {
		return nil, err
	}
	defer w.end()
	var mu sync.Mutex
	var crashes []time.Time
	for _, e := range w.endpoints {
		e.mu.Lock()
		e.crashesLate = config.late
		e.crashes = func(id string, r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, poisonPath) || !config.crashes {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			count := len(crashes)
			mu.Unlock()
			record("endpoint %s runs the request as attempt %s and crashes, the %d. crash", id, r.Header.Get(names.AttemptID), count)
			e.restartAfter(3 * time.Second)
			return true
		}
		e.mu.Unlock()
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range 6 {
		load.Go(func() {
			c := newClient(w.sent)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%08x", i, n)
				c.send(w.gateways[rand.IntN(len(w.gateways))].front(), request{id: id, method: "POST", path: "/renewals/" + id, affinity: fmt.Sprint(n % 24), body: []byte(id), once: true, deadline: 4 * time.Second})
			}
		})
	}
	caller, n := newClient(w.sent), 0
	// send sends the request once each second for a time.
	send := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(poisonInterval) {
			n++
			id := fmt.Sprintf("ffff%08x", n)
			s := caller.send(w.gateways[rand.IntN(len(w.gateways))].front(), request{id: id, method: "POST", path: poisonPath, affinity: "7", body: []byte("the same body"), once: true, deadline: 4 * time.Second})
			record("attempt %s of the request at gateway %s: status %d, %v", id, s.gateway, s.status, s.err)
		}
	}
	send(14 * time.Second)
	for range 2 {
		if config.kills {
			for _, g := range w.gateways {
				g.signal(syscall.SIGKILL)
			}
			record("all gateways are killed")
			for _, g := range w.gateways {
				g.wait(time.Second)
			}
			time.Sleep(500 * time.Millisecond)
			for _, g := range w.gateways {
				if err := g.start(); err != nil {
					return nil, err
				}
			}
			if !waitReady(w.gateways, 20*time.Second) {
				return nil, fmt.Errorf("the gateways are not ready 20 s after they were killed")
			}
			record("all gateways are ready again")
		}
		time.Sleep(contact + 2*time.Second)
		send(12 * time.Second)
	}
	close(stop)
	load.Wait()
	w.finish(w.sent.all())
	mu.Lock()
	defer mu.Unlock()
	if config.crashes && len(crashes) < 3 {
		return nil, fmt.Errorf("the request crashed %d endpoints, want 3 before the disruption", len(crashes))
	}
	late := 0
	for i, at := range crashes {
		if i > 2 && at.Sub(crashes[2]) > contact {
			late++
		}
	}
	record("the request was sent %d times and reached endpoints %d times, %d of them later than %v after the third crash", n, len(crashes), late, contact)
	fmt.Printf("sent %d times, reached endpoints %d times, %d of them later than %v after the third crash\n", n, len(crashes), late, contact)
	if late > maxLateDeliveries {
		return []string{fmt.Sprintf("BUDGET: the request reached endpoints in %d retries later than %v after it had crashed the third, limit %d", late, contact, maxLateDeliveries)}, nil
	}
	return nil, nil
}
