package endpoint

import (
	"strconv"
	"strings"
	"time"

	"savorystep"
)

const (
	// reportFresh is how long a report of load counts in full. An endpoint with
	// 10 to 20 requests a second answers each of ten instances about that often.
	reportFresh = time.Second
	// reportLifetime is when a report counts for nothing. Requests take 0.2 to
	// 0.8 s, so by then all that were counted have ended.
	reportLifetime = 3 * time.Second
)

// A Load is what an endpoint tells of its load.
type Load struct {
	Running, Waiting, Slots int
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
	return Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}, true
}

// A report is a load together with when it was heard.
type report struct {
	load Load
	at   time.Time
	// own is how many of the counted requests were this instance's.
	own savorystep.Slots
}

// others estimates the requests of other instances at the endpoint. An old
// report fades.
func (r report) others(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.at.IsZero() || age >= reportLifetime {
		return 0
	}
	count := max(0, float64(r.load.Running+r.load.Waiting-int(r.own)))
	if age <= reportFresh {
		return count
	}
	return count * float64(reportLifetime-age) / float64(reportLifetime-reportFresh)
}
