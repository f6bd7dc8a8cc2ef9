package endpoint

import (
	"strconv"
	"strings"
	"time"

	"savorystep"
)

// reportLifetime is how long a report of load counts. Requests take 0.2 to
// 0.8 s, so after a second most of those that were counted have ended.
const reportLifetime = time.Second

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

// others estimates the requests of other instances at the endpoint. The report
// fades over its lifetime.
func (r report) others(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.at.IsZero() || age >= reportLifetime {
		return 0
	}
	count := float64(r.load.Running + r.load.Waiting - int(r.own))
	return max(0, count) * (1 - float64(age)/float64(reportLifetime))
}
