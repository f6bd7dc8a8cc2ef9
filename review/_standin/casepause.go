package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["pause"] = playPause }

const (
	pauseClients = 18
	// pauseBytes is the size of an upload, the largest of the site file.
	pauseBytes = 360_000
	// pauseWork is the mean time that an endpoint works on an upload, at most 1.3 times as
	// long. The site file has 2280 ms at most.
	pauseWork     = 1700 * time.Millisecond
	pauseDeadline = 4 * time.Second
	// grace is the time from SIGTERM to SIGKILL. A request that an endpoint still works on
	// in the last sixth of it isn't counted.
	grace = 6 * time.Second
)

// playPause stops and starts the gateways in turn while callers upload batches. The
// endpoints work on a batch before they read it, and again when they have read half of it.
func playPause(dir, binary string, trouble bool) ([]string, error) {
	var configs []endpointConfig
	for i, zone := range []string{"recife-a", "recife-b", "natal-a", "natal-b", "recife-a", "natal-a", "recife-b"} {
		configs = append(configs, endpointConfig{base: fmt.Sprintf("i-44a%d", i), service: "claims", zone: zone, slots: 3, queue: 9, work: pauseWork, pieces: 2})
	}
	w, err := newWorld(dir, binary, []string{"recife-a", "recife-b", "natal-a"}, configs)
	if err != nil {
		return nil, err
	}
	defer w.end()
	stop := make(chan struct{})
	var load sync.WaitGroup
	body := bytes.Repeat([]byte("a photo. "), pauseBytes/9)
	for i := range pauseClients {
		load.Go(func() {
			c := newClient(w.sent)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%08x", i, n)
				c.send(w.gateways[rand.IntN(len(w.gateways))].front(), request{id: id, method: "POST", path: "/claims/" + id, affinity: fmt.Sprint(rand.IntN(24)), body: body, once: true, deadline: pauseDeadline})
			}
		})
	}
	time.Sleep(contact + time.Second)
	stoppedAt := make(map[string]time.Time)
	for _, g := range w.gateways {
		if trouble {
			record("gateway %s gets SIGTERM", g.name)
			stoppedAt[g.front()] = time.Now()
			g.signal(syscall.SIGTERM)
			g.wait(grace)
			record("gateway %s has ended and starts again", g.name)
			if err := g.start(); err != nil {
				return nil, err
			}
			if !waitReady(w.gateways, 20*time.Second) {
				return nil, fmt.Errorf("gateway %s is not ready 20 s after its start", g.name)
			}
		}
		time.Sleep(contact + 2*time.Second)
	}
	close(stop)
	load.Wait()
	list := w.sent.all()
	w.finish(list)
	var found []string
	cut := 0
	for _, s := range list {
		r := w.runs.get(s.id)
		if r.cutAt.IsZero() || s.status == http.StatusOK || s.ended.Sub(s.at) >= pauseDeadline-200*time.Millisecond {
			continue
		}
		cut++
		at, ok := stoppedAt[s.gateway]
		sinceStop := r.cutAt.Sub(at)
		if ok && sinceStop > 0 && sinceStop < grace*5/6 && s.at.Sub(at) <= 3*time.Second {
			found = append(found, fmt.Sprintf("LOST: attempt %s, sent %v after the SIGTERM of gateway %s, was at work at an endpoint when its connection was cut %v after the SIGTERM; the client got status %d, %v after %v of its %v", s.id, s.at.Sub(at).Round(time.Millisecond), s.gateway, sinceStop.Round(time.Millisecond), s.status, s.err, s.ended.Sub(s.at).Round(time.Millisecond), pauseDeadline))
		}
	}
	record("%d uploads, by status %v; %d were cut while an endpoint worked on them, %d of them at a gateway that was being stopped", len(list), statuses(list), cut, len(found))
	fmt.Printf("%d uploads, by status %v; %d were cut while an endpoint worked on them, %d of them at a gateway that was being stopped\n", len(list), statuses(list), cut, len(found))
	return append(found, verdicts(list, w.runs)...), nil
}
