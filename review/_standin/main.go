// Command _standin plays the cases of the review: it starts gateways as processes, with
// the command of the deploy file, and stand-ins of the store, endpoints and clients on
// loopback addresses. It exits with 1 if a rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"savorystep/platform/platformtest"
)

var (
	ownEnds    atomic.Int32
	recordMu   sync.Mutex
	recordFile *os.File
)

// record writes a line to the record of the case.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

// A world is a small deployment.
type world struct {
	dir       string
	store     *platformtest.Store
	gateways  []*gateway
	endpoints []*endpoint
	runs      *runLog
	sent      *sentLog
	trouble   bool
}

// newWorld starts a store, endpoints and one gateway in each of the zones.
func newWorld(dir, binary string, zones []string, endpoints []endpointConfig) (*world, error) {
	w := &world{dir: dir, store: platformtest.New(), runs: &runLog{byID: make(map[string]*run)}, sent: &sentLog{}}
	w.store.HideEra(true)
	w.store.Put(operatorTable, "config", string(wire.Config))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, w.store) }()
	for _, config := range endpoints {
		e := &endpoint{endpointConfig: config, store: w.store, runs: w.runs}
		if err := e.start(); err != nil {
			return nil, err
		}
		w.endpoints = append(w.endpoints, e)
	}
	ips := freeAddresses(len(zones))
	if len(ips) < len(zones) {
		return nil, fmt.Errorf("only %d free loopback addresses", len(ips))
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, controlPort))
	}
	for i, zone := range zones {
		g, err := newGateway(dir, binary, ips[i], zone, listener.Addr().String(), zones, seeds)
		if err != nil {
			return nil, err
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	if !waitReady(w.gateways, 20*time.Second) {
		return nil, fmt.Errorf("the gateways are not ready after 20 s")
	}
	// Traffic starts 8 s after the machines do.
	time.Sleep(8 * time.Second)
	return w, nil
}

// end ends all gateways.
func (w *world) end() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGKILL)
		g.wait(time.Second)
	}
}

// finish writes all requests to the record, with what was answered and run.
func (w *world) finish(list []*sent) {
	for _, s := range list {
		r := w.runs.get(s.id)
		record("sent at %s: attempt %s to gateway %s, ended after %v with status %d, %d bytes, error %v; ran %d times, the endpoint gave status %d", s.at.Format("15:04:05.000"), s.id, s.gateway, s.ended.Sub(s.at).Round(time.Millisecond), s.status, len(s.body), s.err, r.count, r.status)
	}
}

// A play plays a case and returns the broken rules.
type play func(dir, binary string, trouble bool) ([]string, error)

var plays = map[string]play{}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	recordPath := flag.String("record", "record.txt", "file for the record")
	binary := flag.String("binary", "target/savorystep", "program of the deploy file")
	keep := flag.Bool("keep", false, "keep the folder with the logs")
	flag.Parse()
	os.Exit(runCase(*name, *trouble, *recordPath, *binary, *keep))
}

func runCase(name string, trouble bool, recordPath, binary string, keep bool) int {
	var err error
	if recordFile, err = os.Create(recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = recordFile.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err == nil {
		binary, err = filepath.Abs(binary)
	}
	p := plays[name]
	if err != nil || p == nil {
		fmt.Fprintln(os.Stderr, "unknown case or no folder:", name, err)
		return 2
	}
	if keep {
		fmt.Println("logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	record("case %s, trouble %t", name, trouble)
	// The gateways end with this process.
	time.AfterFunc(maxLength, func() {
		record("not over after %v", maxLength)
		os.Exit(2)
	})
	found, err := p(dir, binary, trouble)
	if err != nil {
		record("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, f := range found {
		record("%s", f)
	}
	if n := ownEnds.Load(); n > 0 {
		record("%d gateways ended by themselves", n)
	}
	record("%d breaks of the rule", len(found))
	fmt.Printf("%d breaks of the rule\n", len(found))
	for _, f := range found[:min(3, len(found))] {
		fmt.Println(f)
	}
	if len(found) > 0 {
		return 1
	}
	return 0
}
