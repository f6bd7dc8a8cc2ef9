package endpoint

import (
	"math"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

const (
	// reportMemory is the time in which a report loses its weight to the mean
	// of the earlier ones: the requests that it counts end within about the
	// time of one request for a kept object.
	reportMemory = 250 * time.Millisecond
	// meanShare is the share of a report in the mean.
	meanShare = 0.1
	// meanMemory is the time in which the mean fades without reports.
	meanMemory = 5 * time.Second
)

// A Load is what an endpoint tells of its load.
type Load struct {
	Running, Queued, Slots int
}

// ParseLoad reads three counts joined by commas.
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

// A report is what is known of the requests of other instances at an endpoint.
type report struct {
	at time.Time
	// last is the count of the last report, mean that of all.
	last, mean float64
}

// note takes a load of which own requests are this instance's.
func (r *report) note(now time.Time, load Load, own savorystep.Slots) {
	r.last = max(0, float64(load.Running+load.Queued-int(own)))
	if r.at.IsZero() {
		r.mean = r.last
	}
	r.mean += meanShare * (r.last - r.mean)
	r.at = now
}

// others estimates the requests of other instances at the endpoint.
func (r *report) others(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	age := float64(now.Sub(r.at))
	mean := r.mean * math.Exp(-age/float64(meanMemory))
	return mean + (r.last-mean)*math.Exp(-age/float64(reportMemory))
}
