package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"savorystep/platform"
)

// The ports of each gateway on its own loopback address.
const (
	frontPort, readyPort, controlPort, directoryPort, metricsPort = 8641, 8640, 8649, 8644, 9464
)

// A gateway is a process of the deploy file's role with its settings file.
type gateway struct {
	name, ip, settingsFile, binary string
	log                            *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// asked is true if this program has ended the process.
	asked bool
}

// freeAddresses returns n loopback addresses on which all ports of a gateway are free.
func freeAddresses(n int) []string {
	var addresses []string
	for i := 0; i < 250 && len(addresses) < n; i++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%120, os.Getpid()/120%250, i+2)
		isFree := true
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				isFree = false
				break
			}
			_ = listener.Close()
		}
		if isFree {
			addresses = append(addresses, ip)
		}
	}
	return addresses
}

// newGateway writes the settings of a gateway. zones maps all zones to their regions.
func newGateway(dir, binary, ip, zone, store string, zones, seeds []string) (*gateway, error) {
	name := "edge-" + zone + "-" + ip[strings.LastIndex(ip, ".")+1:]
	g := &gateway{name: name, ip: ip, binary: binary, settingsFile: filepath.Join(dir, name+".conf")}
	var b strings.Builder
	fmt.Fprintf(&b, "node=%s\nrole=gateway\nmachineClass=edge\nip=%s\nzone=%s\nregion=%s\n", name, ip, zone, regionOf(zone))
	for _, z := range zones {
		fmt.Fprintf(&b, "zones.%s=%s\n", z, regionOf(z))
	}
	fmt.Fprintf(&b, "listen.front=%[1]s:%[2]d\nlisten.ready=%[1]s:%[3]d\nlisten.control=%[1]s:%[4]d\nlisten.directory=%[1]s:%[5]d\n", ip, frontPort, readyPort, controlPort, directoryPort)
	fmt.Fprintf(&b, "portRange=7620,7635\nseeds=%s\nbootstrap=false\n", strings.Join(seeds, ","))
	fmt.Fprintf(&b, "limits.memoryMb=284\nlimits.maxFds=4100\nheartbeat=1500ms\n")
	fmt.Fprintf(&b, "bounds=seedLag=3s,reuseDelay=2s,contact=4000ms,ack=4000ms,catchUp=4s,drain=2500ms,grace=6s,lossSlack=200ms,config=2500ms,downgradeSlack=250ms,maxSkew=6000ms,retryRatio=0.2,retryWindow=10s,retrySlack=56,warmupExcess=1.5,warmupSlack=5,evacuate=5000ms,recover=15s,ttl_max=5s,maxShift=0.15\n")
	fmt.Fprintf(&b, "platform.address=%s\nplatform.form=table\nplatform.history=20s\n", store)
	if err := os.WriteFile(g.settingsFile, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	g.log = log
	return g, err
}

// regionOf returns the region of a zone, whose name is that of the region and a letter.
func regionOf(zone string) string {
	return strings.SplitN(zone, "-", 2)[0]
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	cmd := exec.Command(g.binary, "gateway", "--metrics", fmt.Sprint(metricsPort))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+g.settingsFile)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited, g.asked = cmd, exited, false
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		g.mu.Lock()
		asked := g.asked
		g.mu.Unlock()
		if !asked {
			record("gateway %s ended by itself: %v", g.name, err)
			ownEnds.Add(1)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		g.asked = true
	}
	_ = g.cmd.Process.Signal(s)
}

// wait waits until the process has ended, and kills it after a time.
func (g *gateway) wait(limit time.Duration) {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(limit):
		g.signal(syscall.SIGKILL)
		<-exited
	}
}

// isReady returns the result of the platform's readiness check.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", g.ip, readyPort, wire.ReadyPath))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// front returns the address for callers.
func (g *gateway) front() string {
	return fmt.Sprintf("%s:%d", g.ip, frontPort)
}

// waitReady waits until all gateways are ready.
func waitReady(gateways []*gateway, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, g := range gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
