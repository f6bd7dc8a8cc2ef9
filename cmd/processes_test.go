package cmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/entry"
	"savorystep/operator"
)

// buildBinary builds the program once for all tests.
var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "savorystep")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "savorystep")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", binary, "savorystep/cmd/savorystep")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

// A process is a running process of the program.
type process struct {
	cmd   *exec.Cmd
	out   *lockedBuffer
	ended chan error
}

// A lockedBuffer is a buffer that several goroutines use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// startProcess starts the program with the given arguments. It is killed at
// the end of the test if it still runs.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	binary, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: exec.CommandContext(context.WithoutCancel(t.Context()), binary, args...), out: &lockedBuffer{}, ended: make(chan error, 1)}
	p.cmd.Stdout = p.out
	p.cmd.Stderr = p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if t.Failed() {
			t.Logf("%s:\n%s", strings.Join(args, " "), p.out.String())
		}
	})
	return p
}

// signal sends a signal; it does nothing once the process has ended.
func (p *process) signal(sig os.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

// processes is a system of separate processes.
type processes struct {
	t         *testing.T
	platform  *process
	address   savorystep.Address
	entries   []*process
	settings  []operator.InstanceSettings
	upstreams map[savorystep.EndpointID]*process
	addresses map[savorystep.EndpointID]savorystep.Address
}

// addressCount counts the addresses that were given out.
var addressCount atomic.Uint32

// newAddresses returns addresses on loopback numbers of their own. Ports picked
// by the kernel on 127.0.0.1 could be taken by an outgoing connection before a
// process listens on them.
func newAddresses(t *testing.T, count int) []savorystep.Address {
	t.Helper()
	const port, numbers = 7001, 254
	pid := os.Getpid()
	addresses := make([]savorystep.Address, 0, count)
	for range count {
		n := addressCount.Add(1)
		number := netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&0x7f), byte(pid), byte(1 + (n-1)%numbers)})
		addresses = append(addresses, savorystep.Address(netip.AddrPortFrom(number, uint16(port+(n-1)/numbers)).String()))
	}
	return addresses
}

// startProcesses starts a platform, entries in three regions and upstreams of
// the given services, and waits until all entries are ready.
func startProcesses(t *testing.T, entries int, services []savorystep.Service, perService int) *processes {
	t.Helper()
	free := newAddresses(t, 1)
	p := &processes{
		t:         t,
		address:   free[0],
		upstreams: make(map[savorystep.EndpointID]*process),
		addresses: make(map[savorystep.EndpointID]savorystep.Address),
	}
	p.platform = startProcess(t, "standin", "platform", "--listen", string(p.address))
	p.await("the platform", func() bool { return p.get("http://"+string(p.address)+"/stats") == nil })
	regions := []savorystep.Region{"recife", "natal", "fortaleza"}
	for i := range perService * len(services) {
		service := services[i%len(services)]
		p.startUpstream(savorystep.EndpointID(fmt.Sprintf("%s-%d", service, i/len(services))), service, regions[i%3])
	}
	p.awaitUpstreams()
	for i := range entries {
		p.startEntry(regions[i%3])
	}
	for i := range p.entries {
		p.awaitReady(i)
	}
	return p
}

// startUpstream starts one endpoint.
func (p *processes) startUpstream(id savorystep.EndpointID, service savorystep.Service, region savorystep.Region) {
	p.t.Helper()
	address := newAddresses(p.t, 1)[0]
	p.addresses[id] = address
	p.upstreams[id] = startProcess(p.t, "standin", "upstream",
		"--listen", string(address), "--platform", string(p.address), "--id", string(id),
		"--service", string(service), "--region", string(region), "--zone", string(region)+"-a", "--mean", "5ms", "--slots", "6")
}

// awaitUpstreams waits until all endpoints are registered, so that the first
// list that an entry reads has them.
func (p *processes) awaitUpstreams() {
	p.t.Helper()
	for id, upstream := range p.upstreams {
		p.await("endpoint "+string(id), func() bool { return strings.Contains(upstream.out.String(), "listens on") })
	}
}

// startEntry starts one entry instance.
func (p *processes) startEntry(region savorystep.Region) {
	p.t.Helper()
	p.startEntryWith(region, "process-test-secret")
}

// startEntryWith starts one entry instance that shares a secret with its peers.
func (p *processes) startEntryWith(region savorystep.Region, secret string) {
	p.t.Helper()
	free := newAddresses(p.t, 3)
	settings := operator.InstanceSettings{
		Region: region, Zone: savorystep.Zone(region) + "-a", CallerAddress: free[0], OperatorAddress: free[1], PeerAddress: free[2],
	}
	seeds := make([]string, 0, len(p.settings))
	for _, other := range p.settings {
		seeds = append(seeds, string(other.PeerAddress))
	}
	text := fmt.Sprintf(`[instance]
region = %s
zone = %s
caller = %s
operator = %s
peer = %s
[platform]
address = %s
[peer]
secret = %s
%s
[operator]
token = process-test-token
[limits]
drain = 60s
body = 256MiB
`, settings.Region, settings.Zone, settings.CallerAddress, settings.OperatorAddress, settings.PeerAddress, p.address, secret, seedsLine(seeds))
	path := filepath.Join(p.t.TempDir(), "entry.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.settings = append(p.settings, settings)
	p.entries = append(p.entries, startProcess(p.t, "serve", "--config", path))
}

// seedsLine returns the seeds line of the settings.
func seedsLine(seeds []string) string {
	if len(seeds) == 0 {
		return ""
	}
	return "seeds = " + strings.Join(seeds, ", ")
}

// awaitReady waits until an entry answers callers.
func (p *processes) awaitReady(i int) {
	p.t.Helper()
	p.await(fmt.Sprintf("entry %d", i), func() bool {
		return p.get("http://"+string(p.settings[i].OperatorAddress)+"/readyz") == nil
	})
}

// await waits until a condition holds. The limit is far above what it takes,
// so that a busy machine does not miss it.
func (p *processes) await(what string, holds func() bool) {
	p.t.Helper()
	limit := time.Now().Add(60 * time.Second)
	for !holds() {
		if time.Now().After(limit) {
			p.t.Fatalf("%s did not come within 60 s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// get fetches a page and returns an error unless its status is below 300.
func (p *processes) get(url string) error {
	ctx, cancel := context.WithTimeout(p.t.Context(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer process-test-token")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.New(response.Status)
	}
	return nil
}

// fault sets the faults of a stand-in.
func (p *processes) fault(address savorystep.Address, faults string) {
	p.t.Helper()
	request, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, "http://"+string(address)+"/faults", strings.NewReader(faults))
	if err != nil {
		p.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		body, _ := io.ReadAll(response.Body)
		p.t.Fatalf("the faults %s were refused: %s", faults, body)
	}
}

// apply applies a record and waits until it is in force on all entries.
func (p *processes) apply(record savorystep.Record) {
	p.t.Helper()
	client := p.operators()
	outcome, err := client.Apply(p.t.Context(), operator.ApplyRequest{
		ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID()},
		Record:     &record,
	})
	if err != nil {
		p.t.Fatal(err)
	}
	progress, err := client.WaitForRevision(p.t.Context(), outcome.Revision, 60*time.Second)
	if err != nil || !progress.Done {
		p.t.Fatalf("revision %d is not in force: %+v, %v", outcome.Revision, progress, err)
	}
}

// operators returns an operators' client of all entries.
func (p *processes) operators() *operator.Client {
	servers := make([]string, 0, len(p.settings))
	for _, settings := range p.settings {
		servers = append(servers, string(settings.OperatorAddress))
	}
	return operator.NewClient(operator.ClientConfig{Servers: servers, Token: "process-test-token"})
}

// client returns a client of the entries.
func (p *processes) client(region savorystep.Region) *entry.Client {
	seeds := make([]savorystep.Address, 0, len(p.settings))
	for _, settings := range p.settings {
		seeds = append(seeds, settings.CallerAddress)
	}
	client := entry.NewClient(entry.ClientConfig{Clock: savorystep.SystemClock{}, Origin: string(region), SeedAddresses: seeds})
	p.t.Cleanup(client.Close)
	return client
}
