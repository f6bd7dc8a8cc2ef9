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

// maxAnswer bounds the body of /size/{bytes}.
const maxAnswer = 1 << 30

var errShed = errors.New("the request was shed")

// routes returns the handler of all paths.
func (u *Upstream) routes() http.Handler {
	router := chi.NewRouter()
	router.Get("/load", u.serveLoad)
	router.Get("/runs", u.serveRuns)
	router.Post("/faults", u.serveFaults)
	router.HandleFunc("/size/{bytes}", func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.Atoi(chi.URLParam(r, "bytes"))
		if err != nil || size < 0 || size > maxAnswer {
			http.Error(w, "the size is out of range", http.StatusBadRequest)
			return
		}
		u.run(w, r, size, 0)
	})
	router.HandleFunc("/slow/{ms}", func(w http.ResponseWriter, r *http.Request) {
		millis, err := strconv.Atoi(chi.URLParam(r, "ms"))
		if err != nil || millis < 0 {
			http.Error(w, "the time is out of range", http.StatusBadRequest)
			return
		}
		u.run(w, r, 0, time.Duration(millis)*time.Millisecond)
	})
	router.HandleFunc("/run/{micros}", func(w http.ResponseWriter, r *http.Request) {
		micros, err := strconv.Atoi(chi.URLParam(r, "micros"))
		if err != nil || micros < 0 {
			http.Error(w, "the time is out of range", http.StatusBadRequest)
			return
		}
		u.run(w, r, 0, time.Duration(micros)*time.Microsecond)
	})
	router.HandleFunc("/crash", func(_ http.ResponseWriter, r *http.Request) {
		u.count(r)
		u.Crash()
	})
	router.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) { u.run(w, r, 0, 0) })
	return router
}

// serveLoad answers with the load page.
func (u *Upstream) serveLoad(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	faults := u.faults
	load := u.history.at(time.Duration(faults.LoadPageLagMillis)*time.Millisecond, u.load())
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

// serveRuns answers with the counts of what ran.
func (u *Upstream) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, u.Stats())
}

// serveFaults replaces the faults.
func (u *Upstream) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults UpstreamFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The connection that brings the faults still carries the answer to them,
	// but no further request.
	spared, _ := r.Context().Value(connKey{}).(*upstreamConn)
	u.setFaults(faults, spared)
	if faults.Silent {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusNoContent)
}

// run runs one request: it takes a slot, reads the body, works and answers. A
// size of 0 answers with the first line only.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request, size int, extra time.Duration) {
	if !u.travelIn(r) {
		return
	}
	ctx, cancel := u.workContext(r)
	defer cancel()
	if err := u.takeSlot(ctx, r); err != nil {
		u.countShed()
		w.Header().Set(savorystep.HeaderShed, "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer, service, ok := u.count(r)
	if !ok {
		<-u.slots
		u.Crash()
		return
	}
	u.observe(r, true)
	err := u.work(ctx, r, &answer, service+extra)
	u.observe(r, false)
	<-u.slots
	if err != nil {
		u.countCancelled()
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	time.Sleep(u.config.Latency)
	u.answer(w, answer, size)
}

// observe tells the observer that a request begins or ends to run.
func (u *Upstream) observe(r *http.Request, running bool) {
	if u.config.Observe != nil {
		u.config.Observe(r, running)
	}
}

// travelIn adds the latency of the way in and reports whether the caller is
// still there.
func (u *Upstream) travelIn(r *http.Request) bool {
	delay := u.config.Latency
	if conn, ok := r.Context().Value(connKey{}).(*upstreamConn); ok && conn.used.CompareAndSwap(false, true) {
		delay += u.config.ConnectCost
	}
	return savorystep.Sleep(r.Context(), delay)
}

// workContext returns the context that ends the work on a request. Requests
// with a key and methods that are not idempotent are never interrupted once
// they run.
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

// takeSlot waits for a slot and returns an error if the request is shed.
func (u *Upstream) takeSlot(ctx context.Context, r *http.Request) error {
	u.mu.Lock()
	if u.faults.Shed || r.Header.Get(savorystep.HeaderDeadline) == "0" {
		u.mu.Unlock()
		return errShed
	}
	select {
	case u.slots <- struct{}{}:
		u.mu.Unlock()
		return nil
	default:
	}
	if u.waiting >= u.config.QueueCapacity {
		u.mu.Unlock()
		return errShed
	}
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errShed
	case <-r.Context().Done():
		return errShed
	}
}

// count counts a run and draws its service time. It returns false if the
// request crashes the endpoint.
func (u *Upstream) count(r *http.Request) (UpstreamResponse, time.Duration, bool) {
	id := savorystep.RequestID(r.Header.Get(savorystep.HeaderRequest))
	u.mu.Lock()
	defer u.mu.Unlock()
	service := u.serviceTime()
	u.runs.Total++
	u.runs.RunsByRequest[id]++
	if key := savorystep.IdempotencyKey(r.Header.Get(savorystep.HeaderKey)); key != "" {
		u.runs.RunsByKey[key]++
	}
	if u.faults.Drain {
		u.runs.RunsAfterDrain++
		u.runs.LastRunAfterDrainMillis = time.Since(u.drained).Milliseconds()
	}
	crash := (u.faults.CrashRequestID != "" && u.faults.CrashRequestID == id) ||
		(u.faults.CrashPath != "" && u.faults.CrashPath == r.URL.Path)
	return UpstreamResponse{
		Request:  id,
		Service:  u.config.Service,
		Endpoint: u.config.ID,
		Path:     r.URL.Path,
		Query:    r.URL.RawQuery,
		RunCount: u.runs.RunsByRequest[id],
	}, service, !crash
}

func (u *Upstream) countShed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs.Shed++
}

func (u *Upstream) countCancelled() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs.Cancelled++
}

// work reads the body and spends the service time.
func (u *Upstream) work(ctx context.Context, r *http.Request, answer *UpstreamResponse, service time.Duration) error {
	hash := sha256.New()
	length, err := io.Copy(hash, r.Body)
	if err != nil {
		return fmt.Errorf("read the body: %w", err)
	}
	answer.Length = length
	answer.SHA256 = hex.EncodeToString(hash.Sum(nil))
	if err := u.held(ctx); err != nil {
		return err
	}
	if !savorystep.Sleep(ctx, service) {
		return ctx.Err()
	}
	return nil
}

// answer writes the first line of the answer and fills the body up to the
// size. With the fault Truncate it ends the connection after half of it.
func (u *Upstream) answer(w http.ResponseWriter, answer UpstreamResponse, size int) {
	line, err := json.Marshal(answer)
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
	fill(w, string(answer.Request), sent-len(line))
	if truncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// fill writes n bytes that depend on the request, so that a mix-up of answers
// shows.
func fill(w io.Writer, request string, n int) {
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
