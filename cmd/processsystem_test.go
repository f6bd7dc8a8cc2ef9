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

// buildBinary builds the program once for all tests and returns the path of the
// binary.
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

// A process is a started process of the program with its output. The result of
// Wait is sent to exited.
type process struct {
	cmd    *exec.Cmd
	output *lockedBuffer
	exited chan error
}

// A lockedBuffer is a buffer that is safe for concurrent use.
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

// startProcess starts the program with the given arguments. It is killed at the
// end of the test if it is still running.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	binary, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: exec.CommandContext(context.WithoutCancel(t.Context()), binary, args...), output: &lockedBuffer{}, exited: make(chan error, 1)}
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if t.Failed() {
			t.Logf("%s:\n%s", strings.Join(args, " "), p.output.String())
		}
	})
	return p
}

// signal sends a signal. It does nothing if the process has ended.
func (p *process) signal(sig os.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

// A processSystem is a platform, entries and upstreams that run as separate
// processes. The entries and their settings have the same indexes.
type processSystem struct {
	t                 *testing.T
	platform          *process
	platformAddress   savorystep.Address
	entries           []*process
	settings          []operator.InstanceSettings
	upstreams         map[savorystep.EndpointID]*process
	upstreamAddresses map[savorystep.EndpointID]savorystep.Address
}

// allocatedAddresses is how many addresses newAddresses has returned.
var allocatedAddresses atomic.Uint32

// newAddresses returns addresses with loopback IP addresses that depend on the ID
// of the test process. Ports that the kernel picks on 127.0.0.1 are not used,
// because an outgoing connection could take one before the started process listens
// on it.
func newAddresses(t *testing.T, count int) []savorystep.Address {
	t.Helper()
	const firstPort, hostsPerPort = 7001, 254
	pid := os.Getpid()
	addresses := make([]savorystep.Address, 0, count)
	for range count {
		n := allocatedAddresses.Add(1)
		ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&0x7f), byte(pid), byte(1 + (n-1)%hostsPerPort)})
		addresses = append(addresses, savorystep.Address(netip.AddrPortFrom(ip, uint16(firstPort+(n-1)/hostsPerPort)).String()))
	}
	return addresses
}

// startProcessSystem starts a platform, entries in up to three regions and
// upstreams of the given services, and waits until all entries are ready.
func startProcessSystem(t *testing.T, entries int, services []savorystep.Service, endpointsPerService int) *processSystem {
	t.Helper()
	addresses := newAddresses(t, 1)
	p := &processSystem{
		t:                 t,
		platformAddress:   addresses[0],
		upstreams:         make(map[savorystep.EndpointID]*process),
		upstreamAddresses: make(map[savorystep.EndpointID]savorystep.Address),
	}
	p.platform = startProcess(t, "standin", "platform", "--listen", string(p.platformAddress))
	p.await("the platform responds", func() bool { return p.checkGet("http://"+string(p.platformAddress)+"/stats") == nil })
	regions := []savorystep.Region{"recife", "natal", "fortaleza"}
	for i := range endpointsPerService * len(services) {
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

// startUpstream starts the process of one endpoint.
func (p *processSystem) startUpstream(id savorystep.EndpointID, service savorystep.Service, region savorystep.Region) {
	p.t.Helper()
	address := newAddresses(p.t, 1)[0]
	p.upstreamAddresses[id] = address
	p.upstreams[id] = startProcess(p.t, "standin", "upstream",
		"--listen", string(address), "--platform", string(p.platformAddress), "--id", string(id),
		"--service", string(service), "--region", string(region), "--zone", string(region)+"-a", "--mean", "5ms", "--slots", "6")
}

// awaitUpstreams waits until all endpoints are registered, so that the first
// endpoint list that an entry reads is complete.
func (p *processSystem) awaitUpstreams() {
	p.t.Helper()
	for id, upstream := range p.upstreams {
		p.await("start of endpoint "+string(id), func() bool { return strings.Contains(upstream.output.String(), "listens on") })
	}
}

// startEntry starts an entry that shares a secret with the other entries.
func (p *processSystem) startEntry(region savorystep.Region) {
	p.t.Helper()
	p.startEntryWithSecret(region, "process-test-secret")
}

// startEntryWithSecret starts an entry with the given peer secret. Its seeds are
// the entries that were started before.
func (p *processSystem) startEntryWithSecret(region savorystep.Region, secret string) {
	p.t.Helper()
	addresses := newAddresses(p.t, 3)
	settings := operator.InstanceSettings{
		Region: region, Zone: savorystep.Zone(region) + "-a", CallerAddress: addresses[0], OperatorAddress: addresses[1], PeerAddress: addresses[2],
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
`, settings.Region, settings.Zone, settings.CallerAddress, settings.OperatorAddress, settings.PeerAddress, p.platformAddress, secret, seedsLine(seeds))
	path := filepath.Join(p.t.TempDir(), "entry.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.settings = append(p.settings, settings)
	p.entries = append(p.entries, startProcess(p.t, "serve", "--config", path))
}

// seedsLine returns the line of the settings file with the seeds, empty if there
// are none.
func seedsLine(seeds []string) string {
	if len(seeds) == 0 {
		return ""
	}
	return "seeds = " + strings.Join(seeds, ", ")
}

// awaitReady waits until an entry reports that it is ready.
func (p *processSystem) awaitReady(i int) {
	p.t.Helper()
	p.await(fmt.Sprintf("readiness of entry %d", i), func() bool {
		return p.checkGet("http://"+string(p.settings[i].OperatorAddress)+"/readyz") == nil
	})
}

// await waits until a condition holds. The time-out of 60 s is far above the usual
// duration, so that it does not expire on a busy machine.
func (p *processSystem) await(subject string, condition func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			p.t.Fatalf("%s: the condition did not hold within 60 s", subject)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkGet sends a GET request and returns an error unless the status is below 300.
func (p *processSystem) checkGet(url string) error {
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

// setFaults sets the faults, given as JSON, of the stand-in at an address.
func (p *processSystem) setFaults(address savorystep.Address, faults string) {
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
		p.t.Fatalf("set faults %s: %s: %s", faults, response.Status, body)
	}
}

// applyAndWait applies a record and waits until it is in force on all entries.
func (p *processSystem) applyAndWait(record savorystep.Record) {
	p.t.Helper()
	client := p.operatorClient()
	outcome, err := client.Apply(p.t.Context(), operator.ApplyRequest{
		ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID()},
		Record:     &record,
	})
	if err != nil {
		p.t.Fatal(err)
	}
	progress, err := client.WaitForRevision(p.t.Context(), outcome.Revision, 60*time.Second)
	if err != nil || !progress.Done {
		p.t.Fatalf("revision %d is not in force on all entries within 60 s: progress %+v, error %v", outcome.Revision, progress, err)
	}
}

// operatorClient returns an operators' client of all entries.
func (p *processSystem) operatorClient() *operator.Client {
	servers := make([]string, 0, len(p.settings))
	for _, settings := range p.settings {
		servers = append(servers, string(settings.OperatorAddress))
	}
	return operator.NewClient(operator.ClientConfig{Servers: servers, Token: "process-test-token"})
}

// entryClient returns a client that sends requests through the entries from a
// region.
func (p *processSystem) entryClient(region savorystep.Region) *entry.Client {
	seeds := make([]savorystep.Address, 0, len(p.settings))
	for _, settings := range p.settings {
		seeds = append(seeds, settings.CallerAddress)
	}
	client := entry.NewClient(entry.ClientConfig{Clock: savorystep.SystemClock{}, Origin: string(region), SeedAddresses: seeds})
	p.t.Cleanup(client.Close)
	return client
}
