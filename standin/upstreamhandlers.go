package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"savorystep"
)

// maxBodyBytes bounds the response body that /size/{bytes} may request.
const maxBodyBytes = 1 << 30

var errShed = errors.New("request shed")

// routes returns the handler of all paths.
func (u *Upstream) routes() http.Handler {
	router := chi.NewRouter()
	router.Get("/load", u.serveLoad)
	router.Get("/runs", u.serveRuns)
	router.Post("/faults", u.serveFaults)
	router.HandleFunc("/size/{bytes}", func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.Atoi(chi.URLParam(r, "bytes"))
		if err != nil || size < 0 || size > maxBodyBytes {
			http.Error(w, "size out of range", http.StatusBadRequest)
			return
		}
		u.serveRequest(w, r, size, 0)
	})
	router.HandleFunc("/slow/{ms}", func(w http.ResponseWriter, r *http.Request) {
		millis, err := strconv.Atoi(chi.URLParam(r, "ms"))
		if err != nil || millis < 0 {
			http.Error(w, "time out of range", http.StatusBadRequest)
			return
		}
		u.serveRequest(w, r, 0, time.Duration(millis)*time.Millisecond)
	})
	router.HandleFunc("/run/{micros}", func(w http.ResponseWriter, r *http.Request) {
		micros, err := strconv.Atoi(chi.URLParam(r, "micros"))
		if err != nil || micros < 0 {
			http.Error(w, "time out of range", http.StatusBadRequest)
			return
		}
		u.serveRequest(w, r, 0, time.Duration(micros)*time.Microsecond)
	})
	router.HandleFunc("/crash", func(_ http.ResponseWriter, r *http.Request) {
		u.startRun(r)
		u.Crash()
	})
	router.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) { u.serveRequest(w, r, 0, 0) })
	return router
}

// serveLoad responds with the load page, subject to the faults of the page.
func (u *Upstream) serveLoad(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	faults := u.faults
	load := u.loadHistory.loadAt(time.Duration(faults.LoadPageLagMillis)*time.Millisecond, u.load())
	u.mu.Unlock()
	if faults.HangLoadPage {
		<-r.Context().Done()
		return
	}
	if faults.FakeBusySlots {
		load.Busy = faults.ReportedBusySlots
	}
	load.Draining = load.Draining || faults.FakeDrain
	if faults.InvertHealth {
		load.Healthy = !load.Healthy
	}
	writeJSON(w, load)
}

// serveRuns responds with the counters.
func (u *Upstream) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, u.Stats())
}

// serveFaults replaces all faults by those in the body.
func (u *Upstream) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults UpstreamFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// This connection must stay able to carry the response. With Silent it is
	// closed after the response, so that it carries no further request.
	exempt, _ := r.Context().Value(connKey{}).(*upstreamConn)
	u.setFaults(faults, exempt)
	if faults.Silent {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveRequest runs a request: it acquires a slot, reads the body, waits for the
// service time plus extraTime and responds with a body of the given size in
// bytes. A body is at least as long as its first line.
func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request, size int, extraTime time.Duration) {
	if !u.delayRequest(r) {
		return
	}
	ctx, cancel := u.workContext(r)
	defer cancel()
	if err := u.acquireSlot(ctx, r); err != nil {
		u.countShed()
		w.Header().Set(savorystep.HeaderShed, "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	response, serviceTime, ok := u.startRun(r)
	if !ok {
		<-u.busySlots
		u.Crash()
		return
	}
	u.observe(r, true)
	err := u.work(ctx, r, &response, serviceTime+extraTime)
	u.observe(r, false)
	<-u.busySlots
	if err != nil {
		u.countCancelled()
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	time.Sleep(u.config.Latency)
	u.writeResponse(w, response, size)
}

// observe calls the function Observe of the configuration, if there is one.
func (u *Upstream) observe(r *http.Request, running bool) {
	if u.config.Observe != nil {
		u.config.Observe(r, running)
	}
}

// delayRequest waits for the latency and, for the first request on a connection,
// for the connect cost. It returns false if the caller disconnects before.
func (u *Upstream) delayRequest(r *http.Request) bool {
	delay := u.config.Latency
	if conn, ok := r.Context().Value(connKey{}).(*upstreamConn); ok && conn.connectCostPaid.CompareAndSwap(false, true) {
		delay += u.config.ConnectCost
	}
	return savorystep.Sleep(r.Context(), delay)
}

// workContext returns the context of the work on a request. It has the deadline
// of the request and ends when the caller disconnects. Requests with an
// idempotency key or with a method that isn't idempotent have neither: they are
// never interrupted once they run.
func (u *Upstream) workContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if r.Header.Get(savorystep.HeaderKey) != "" || r.Method == http.MethodPost || r.Method == http.MethodPatch {
		ctx = context.WithoutCancel(ctx)
	}
	millis, err := strconv.Atoi(r.Header.Get(savorystep.HeaderDeadline))
	if err != nil || ctx.Done() == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
}

// acquireSlot waits for a slot. It returns errShed if the request has to be shed
// because the queue is full, its deadline is 0 or has passed, the caller
// disconnected, or the fault Shed is set.
func (u *Upstream) acquireSlot(ctx context.Context, r *http.Request) error {
	u.mu.Lock()
	if u.faults.Shed || r.Header.Get(savorystep.HeaderDeadline) == "0" {
		u.mu.Unlock()
		return errShed
	}
	select {
	case u.busySlots <- struct{}{}:
		u.mu.Unlock()
		return nil
	default:
	}
	if u.queued >= u.config.QueueCapacity {
		u.mu.Unlock()
		return errShed
	}
	u.queued++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.queued--
		u.mu.Unlock()
	}()
	select {
	case u.busySlots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errShed
	case <-r.Context().Done():
		return errShed
	}
}

// startRun counts the start of a request and returns the first line of its
// response, without the fields of the body, and its service time. It returns
// false if the request crashes the endpoint.
func (u *Upstream) startRun(r *http.Request) (UpstreamResponse, time.Duration, bool) {
	id := savorystep.RequestID(r.Header.Get(savorystep.HeaderRequest))
	u.mu.Lock()
	defer u.mu.Unlock()
	serviceTime := u.serviceTime()
	u.stats.Total++
	u.stats.RunsByRequest[id]++
	if key := savorystep.IdempotencyKey(r.Header.Get(savorystep.HeaderKey)); key != "" {
		u.stats.RunsByKey[key]++
	}
	if u.faults.Drain {
		u.stats.RunsAfterDrain++
		u.stats.LastRunAfterDrainMillis = time.Since(u.drainingSince).Milliseconds()
	}
	crash := (u.faults.CrashRequestID != "" && u.faults.CrashRequestID == id) ||
		(u.faults.CrashPath != "" && u.faults.CrashPath == r.URL.Path)
	return UpstreamResponse{
		Request:  id,
		Service:  u.config.Service,
		Endpoint: u.config.ID,
		Path:     r.URL.Path,
		Query:    r.URL.RawQuery,
		RunCount: u.stats.RunsByRequest[id],
	}, serviceTime, !crash
}

func (u *Upstream) countShed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats.Shed++
}

func (u *Upstream) countCancelled() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats.Cancelled++
}

// work reads the body, adds its hash and length to response and waits for the
// service time. It returns the error of ctx if ctx ends before.
func (u *Upstream) work(ctx context.Context, r *http.Request, response *UpstreamResponse, serviceTime time.Duration) error {
	hash := sha256.New()
	length, err := io.Copy(hash, r.Body)
	if err != nil {
		return fmt.Errorf("read request body: %w", err)
	}
	response.Length = length
	response.SHA256 = hex.EncodeToString(hash.Sum(nil))
	if err := u.waitWhileHeld(ctx); err != nil {
		return err
	}
	if !savorystep.Sleep(ctx, serviceTime) {
		return ctx.Err()
	}
	return nil
}

// writeResponse writes response as the first line and fills the body up to size
// bytes. With the fault Truncate it closes the connection after half of the body.
func (u *Upstream) writeResponse(w http.ResponseWriter, response UpstreamResponse, size int) {
	line, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	line = append(line, '\n')
	size = max(size, len(line))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	u.mu.Lock()
	truncate := u.faults.Truncate
	u.mu.Unlock()
	sent := size
	if truncate {
		sent = size / 2
	}
	_, _ = w.Write(line[:min(sent, len(line))])
	writeFiller(w, string(response.Request), sent-len(line))
	if truncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// writeFiller writes n bytes that repeat the request ID, so that a test detects a
// response that belongs to another request.
func writeFiller(w io.Writer, request string, n int) {
	chunk := make([]byte, 0, 32<<10)
	for len(chunk) < cap(chunk)-len(request)-1 {
		chunk = append(chunk, request...)
		chunk = append(chunk, '.')
	}
	for n > 0 {
		part := chunk[:min(n, len(chunk))]
		if _, err := w.Write(part); err != nil {
			return
		}
		n -= len(part)
	}
}
