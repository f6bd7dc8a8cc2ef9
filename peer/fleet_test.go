package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/peer"
)

// A node is an exchange of a fleet with its listener.
type node struct {
	*peer.Exchange
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	done     <-chan error
	once     sync.Once
}

// stop shuts the node down gracefully.
func (n *node) stop() {
	n.once.Do(func() {
		n.cancel()
		if err := <-n.done; err != nil {
			panic(err)
		}
		_ = n.server.Close()
	})
}

// A registry is an instance list that never contains an ended instance.
type registry struct {
	savorystep.Registry
	mu        sync.Mutex
	instances []savorystep.Instance
}

func (r *registry) add(instance savorystep.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = append(r.instances, instance)
}

func (r *registry) Instances(context.Context) ([]savorystep.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.instances), nil
}

// A fleet is a set of exchanges in one process that communicate over loopback.
type fleet struct {
	network      *network
	nodes        []*node
	configure    func(*peer.Config)
	registry     *registry
	placeCount   int
	createdNodes int
}

func newFleet(tb testing.TB, size int, configure func(*peer.Config)) *fleet {
	tb.Helper()
	f := &fleet{network: newNetwork(), registry: &registry{}, configure: configure, placeCount: 6}
	for range size {
		f.add(tb)
	}
	tb.Cleanup(f.stop)
	return f
}

// add starts another node. Its seeds are the first three nodes.
func (f *fleet) add(tb testing.TB) *node {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A listener on loopback opens at once.
	if err != nil {
		tb.Fatal(err)
	}
	address := listener.Addr().String()
	place := f.createdNodes % f.placeCount
	self := savorystep.Instance{
		ID: savorystep.InstanceID(fmt.Sprintf("entry-%04d-%s", f.createdNodes, address[len("127.0.0.1:"):])),
		Place: savorystep.Place{
			Region: savorystep.Region(fmt.Sprintf("region-%d", place/2)),
			Zone:   savorystep.Zone(fmt.Sprintf("zone-%d", place)),
		},
		State:       savorystep.StateLive,
		PeerAddress: savorystep.Address(address),
	}
	f.createdNodes++
	config := peer.Config{Self: self, Secret: "secret", Dial: f.network.dialer(address)}
	for _, other := range f.nodes[:min(3, len(f.nodes))] {
		config.Seeds = append(config.Seeds, other.Self().PeerAddress)
	}
	if f.configure != nil {
		f.configure(&config)
	}
	if config.Registry != nil {
		config.Registry = f.registry
		f.registry.add(self)
	}
	n := &node{Exchange: peer.New(config), listener: listener}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done = n.Start(ctx)
	n.server = &http.Server{Handler: n.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = n.server.Serve(listener) }()
	f.nodes = append(f.nodes, n)
	return n
}

// kill drops all traffic of a node without closing its connections, and stops
// it.
func (f *fleet) kill(n *node) {
	f.network.isolate(n.Self().PeerAddress)
	_ = n.listener.Close()
	for i, other := range f.nodes {
		if other == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			break
		}
	}
	n.stop()
}

func (f *fleet) stop() {
	var group sync.WaitGroup
	for _, n := range f.nodes {
		group.Go(n.stop)
	}
	group.Wait()
}

// eventually waits until a condition holds and returns the time it took. The
// limit is far above any time that a busy machine needs; it only ends a test
// that hangs.
func eventually(tb testing.TB, description string, condition func() bool) time.Duration {
	tb.Helper()
	const limit, step = 2 * time.Minute, 5 * time.Millisecond
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			tb.Fatalf("%s not reached within %v", description, limit)
		}
		time.Sleep(step)
	}
	return time.Since(start)
}

// waitForFullMembership waits until every node has all nodes as members.
func (f *fleet) waitForFullMembership(tb testing.TB) time.Duration {
	tb.Helper()
	return eventually(tb, "full membership", func() bool {
		for _, n := range f.nodes {
			if len(n.Members(time.Now())) != len(f.nodes) {
				return false
			}
		}
		return true
	})
}
