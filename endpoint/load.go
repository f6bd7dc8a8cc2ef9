package endpoint

import (
	"math"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

const (
	// lastReportDecay is the time constant with which the estimate moves from the
	// last report to the mean of all reports. The requests counted in a report end
	// after about the time of one request for a cached object.
	lastReportDecay = 250 * time.Millisecond
	// meanWeight is the weight of a report in the moving mean.
	meanWeight = 0.1
	// meanDecay is the time constant with which the mean decays without reports.
	meanDecay = 5 * time.Second
)

// A Load is the load that an endpoint reports with a response: its running and
// queued requests and its slots.
type Load struct {
	Running, Queued, Slots int
}

// ParseLoad parses the running requests, queued requests and slots, separated by
// commas. It returns false if the text is not three non-negative integers.
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return Load{}, false
	}
	var counts [3]int
	for i, part := range parts {
		count, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || count < 0 {
			return Load{}, false
		}
		counts[i] = count
	}
	return Load{Running: counts[0], Queued: counts[1], Slots: counts[2]}, true
}

// A foreignLoad estimates the requests of other instances at an endpoint from the
// reports of its load.
type foreignLoad struct {
	reportedAt time.Time
	// last is the count of the last report, mean the moving mean of all.
	last, mean float64
}

// record adds a reported load. The requests of this instance in flight at the
// endpoint are subtracted from it.
func (f *foreignLoad) record(now time.Time, load Load, inFlight savorystep.Slots) {
	f.last = max(0, float64(load.Running+load.Queued-int(inFlight)))
	if f.reportedAt.IsZero() {
		f.mean = f.last
	}
	f.mean += meanWeight * (f.last - f.mean)
	f.reportedAt = now
}

// estimate returns the estimated requests of other instances at the endpoint.
func (f *foreignLoad) estimate(now time.Time) float64 {
	if f.reportedAt.IsZero() {
		return 0
	}
	age := float64(now.Sub(f.reportedAt))
	mean := f.mean * math.Exp(-age/float64(meanDecay))
	return mean + (f.last-mean)*math.Exp(-age/float64(lastReportDecay))
}
