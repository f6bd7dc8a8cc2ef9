package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"savorystep/platform"
	"savorystep/platform/platformtest"
)

var names = platform.HeaderNames()

// A run is what the endpoints did with one attempt.
type run struct {
	count int
	// status and signature are those of the last answer that an endpoint gave after it
	// ran the attempt.
	status    int
	signature string
	bodySum   uint32
	// cutAt is when the connection of the request ended while an endpoint worked on it.
	cutAt time.Time
}

// runs holds the runs of all attempts at all endpoints.
type runLog struct {
	mu   sync.Mutex
	byID map[string]*run
}

func (l *runLog) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID[id] == nil {
		l.byID[id] = &run{}
	}
	l.byID[id].count++
}

func (l *runLog) end(id string, status int, signature string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byID[id]
	r.status, r.signature, r.bodySum = status, signature, crc32.ChecksumIEEE(body)
}

func (l *runLog) cut(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id].cutAt = time.Now()
}

func (l *runLog) get(id string) run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.byID[id]; r != nil {
		return *r
	}
	return run{}
}

// An endpointConfig describes an endpoint.
type endpointConfig struct {
	base, service, zone string
	slots, queue        int
	work                time.Duration
	// errorShare is the share of runs that end with a status of 500.
	errorShare float64
	// streams is true if the endpoint begins its answer before it has read a long body,
	// and states no length: the answer ends with the connection.
	streams bool
	// pieces is the number of pieces in which the endpoint reads and works on a body, with
	// work between them. 0 reads the body at once.
	pieces int
}

// An endpoint is a server of the users' platform. It speaks HTTP/1.1 on plain
// connections, so that each byte of its answers is known.
type endpoint struct {
	endpointConfig

	id    string
	store *platformtest.Store
	runs  *runLog
	// crashes is called at the start of a run. If it returns true, the process ends: its
	// connections and its listener are closed at once.
	crashes func(id string, r *http.Request) bool
	// crashesLate is true if the process ends only when it has sent a part of its answer.
	crashesLate bool

	mu       sync.Mutex
	listener net.Listener
	address  string
	conns    map[net.Conn]bool
	running  int
	waiting  int
	slotFree *sync.Cond
	stopped  bool
	born     int64
	sequence int
	// garbling is true while the endpoint sends second answers, late and cut.
	garbling bool
	// boots counts the starts. Each has an id of its own.
	boots int
	// spoiled counts the second answers.
	spoiled int
}

const (
	// beat is the time between two reports of an endpoint.
	beat = 1500 * time.Millisecond
	// keepAlive is how long an endpoint keeps an idle connection.
	keepAlive = 10 * time.Second
	// garbleShare is the share of the answers of a garbling endpoint that it sends a
	// second time, late. The site file has 0.03.
	garbleShare = 0.03
)

// start starts an endpoint, at its former address if it had one.
func (e *endpoint) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := (&net.ListenConfig{Control: e.setWindow}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	e.listener, e.address = listener, listener.Addr().String()
	e.conns, e.stopped, e.running, e.waiting = make(map[net.Conn]bool), false, 0, 0
	e.slotFree = sync.NewCond(&e.mu)
	e.born, e.sequence = time.Now().UnixMilli(), 0
	e.boots++
	e.id = fmt.Sprintf("%s-%d", e.base, e.boots)
	go e.serve(listener, e.born)
	go e.report(e.born)
	return nil
}

// crash ends the process of an endpoint: its address refuses connections, and its open
// connections are reset.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.slotFree.Broadcast()
}

// isCurrent reports whether the incarnation that began at born runs.
func (e *endpoint) isCurrent(born int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stopped && e.born == born
}

// report writes the entry of the endpoint until its incarnation ends.
func (e *endpoint) report(born int64) {
	for e.isCurrent(born) {
		e.mu.Lock()
		e.sequence++
		row := endpointRow(e, born)
		e.mu.Unlock()
		e.store.Put(serversTable, e.id, row)
		time.Sleep(beat)
	}
}

// serve accepts connections.
func (e *endpoint) serve(listener net.Listener, born int64) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.stopped {
			e.mu.Unlock()
			_ = c.Close()
			return
		}
		e.conns[c] = true
		e.mu.Unlock()
		go e.serveConn(c, born)
	}
}

// An answer is a status with its header and body.
type answer struct {
	status int
	header [][2]string
	body   []byte
	// isCut is true if the process ends when it has written half of the body.
	isCut bool
}

// bytes returns the answer as it is sent. The fields that each answer of a server has
// come first, as usual.
func (a *answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n",
		a.status, http.StatusText(a.status), time.Now().UTC().Format(http.TimeFormat), len(a.body), int(keepAlive.Seconds()))
	for _, field := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", field[0], field[1])
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// headLength returns the length of the head of an answer.
func headLength(data []byte) int {
	return bytes.Index(data, []byte("\r\n\r\n"))
}

// serveConn serves the requests of a connection, one at a time.
func (e *endpoint) serveConn(c net.Conn, born int64) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	// late is what is left to send of a second answer.
	var late []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(keepAlive))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if e.streams && r.URL.Path != healthPath {
			e.stream(c, r, born)
			return
		}
		a := e.handle(r, born)
		if a == nil {
			return
		}
		data := a.bytes()
		// The extra answer arrives at the point where the next one is expected.
		if len(late) > 0 {
			record("endpoint %s sends %d bytes of a second answer before that to %s: %q", e.id, len(late), r.Header.Get(names.AttemptID), late)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		if a.isCut {
			_, _ = c.Write(data[:len(data)-len(a.body)/2])
			// The first half arrives before the process ends.
			time.Sleep(5 * time.Millisecond)
			e.crash()
			return
		}
		if _, err := c.Write(data); err != nil {
			return
		}
		e.mu.Lock()
		if e.garbling && rand.Float64() < garbleShare {
			e.spoiled++
			late = data[:1+rand.IntN(headLength(data))]
		}
		e.mu.Unlock()
	}
}

// handle answers a request. It returns nil if the connection ends without an answer.
func (e *endpoint) handle(r *http.Request, born int64) *answer {
	id := r.Header.Get(names.AttemptID)
	if r.URL.Path == healthPath {
		return &answer{status: http.StatusOK, header: [][2]string{{names.EndpointID, e.id}}}
	}
	echo := [2]string{names.AttemptID, id}
	if expected := r.Header.Get(names.ExpectedEndpoint); expected != "" && expected != e.id {
		return &answer{status: http.StatusMisdirectedRequest, header: [][2]string{echo, {names.NotExecuted, "1"}}}
	}
	if !e.takeSlot() {
		_, _ = io.Copy(io.Discard, r.Body)
		return &answer{status: http.StatusServiceUnavailable, header: [][2]string{echo, {names.NotExecuted, "1"}, {names.Load, e.load()}}}
	}
	defer e.freeSlot()
	e.runs.begin(id)
	isCrash := e.crashes != nil && e.crashes(e.id, r)
	if isCrash && !e.crashesLate {
		go e.crash()
		return nil
	}
	work := time.Duration((0.7 + 0.6*rand.Float64()) * float64(e.work))
	for range e.pieces {
		time.Sleep(work / time.Duration(e.pieces))
		if _, err := io.CopyN(io.Discard, r.Body, r.ContentLength/int64(e.pieces)); err != nil {
			e.runs.cut(id)
			record("endpoint %s works on attempt %s, and its connection ends: %v", e.id, id, err)
			return nil
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	if e.pieces == 0 {
		time.Sleep(work)
	}
	status := http.StatusOK
	if rand.Float64() < e.errorShare {
		status = http.StatusInternalServerError
	}
	reply := []byte(fmt.Sprintf("endpoint %s ran %s %s of %d bytes as attempt %s with status %d\n", e.id, r.Method, r.URL.RequestURI(), len(body), id, status))
	signature := fmt.Sprintf("%s.%x.%d", id, crc32.ChecksumIEEE(reply), status)
	if !e.isCurrent(born) {
		return nil
	}
	e.runs.end(id, status, signature, reply)
	load := e.load()
	return &answer{status: status, body: reply, header: [][2]string{echo, {names.Signature, signature}, {names.Load, load}}, isCut: isCrash}
}

// takeSlot waits for a slot. It returns false if the queue is full.
func (e *endpoint) takeSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots && e.waiting >= e.queue {
		return false
	}
	e.waiting++
	for e.running >= e.slots && !e.stopped {
		e.slotFree.Wait()
	}
	e.waiting--
	e.running++
	return true
}

func (e *endpoint) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.slotFree.Signal()
}

// load returns the running and the waiting requests and the slots.
func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.Itoa(e.running) + "," + strconv.Itoa(e.waiting) + "," + strconv.Itoa(e.slots)
}

// restartAfter starts a crashed endpoint again after a time. Its entry is removed after
// three intervals of silence.
func (e *endpoint) restartAfter(downtime time.Duration) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	time.AfterFunc(3*beat, func() { e.store.Put(serversTable, id, "") })
	time.AfterFunc(downtime, func() {
		if err := e.start(); err != nil {
			record("endpoint %s does not start again: %v", id, err)
		}
	})
}

// windowBytes is the receive buffer of an endpoint that streams. The links of the platform
// have small windows, so that a peer which does not read blocks the writer.
const windowBytes = 32 << 10

// segmentBytes is the segment size of Ethernet. On the loopback device segments have 64 KB
// and the sender's buffers grow with them.
const segmentBytes = 1460

// setWindow sets the receive buffer and the segment size of the connections of an endpoint
// that streams.
func (e *endpoint) setWindow(_, _ string, raw syscall.RawConn) error {
	if !e.streams {
		return nil
	}
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		if err == nil {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// streamPieces is the number of pieces of a streamed answer, pieceBytes the size of each.
const streamPieces, pieceBytes = 8, 640

// stream answers a request with a long body: it reads the body piece by piece and sends a
// piece of its answer for each. It ends the answer with the connection.
func (e *endpoint) stream(c net.Conn, r *http.Request, born int64) {
	id := r.Header.Get(names.AttemptID)
	echo := [2]string{names.AttemptID, id}
	refuse := func(status int) {
		a := &answer{status: status, header: [][2]string{echo, {names.NotExecuted, "1"}}}
		_, _ = c.Write(a.bytes())
	}
	if r.Header.Get(names.ExpectedEndpoint) != e.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if !e.takeSlot() {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer e.freeSlot()
	e.runs.begin(id)
	var whole bytes.Buffer
	for i := range streamPieces {
		line := fmt.Sprintf("endpoint %s, attempt %s, photo %d of %d is stored\n", e.id, id, i+1, streamPieces)
		whole.WriteString(line + string(bytes.Repeat([]byte("."), pieceBytes-len(line))))
	}
	signature := fmt.Sprintf("%s.%x.%d", id, crc32.ChecksumIEEE(whole.Bytes()), http.StatusOK)
	e.runs.end(id, http.StatusOK, signature, whole.Bytes())
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nDate: %s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n%s: %s\r\n%s: %s\r\n\r\n",
		time.Now().UTC().Format(http.TimeFormat), names.AttemptID, id, names.Signature, signature); err != nil {
		return
	}
	part := r.ContentLength / streamPieces
	for i := range streamPieces {
		time.Sleep(time.Duration((0.7+0.6*rand.Float64())*float64(e.work)) / streamPieces)
		if !e.isCurrent(born) {
			return
		}
		if _, err := io.CopyN(io.Discard, r.Body, part); err != nil {
			return
		}
		if _, err := c.Write(whole.Next(pieceBytes)); err != nil {
			return
		}
		if i == streamPieces-1 {
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
}
