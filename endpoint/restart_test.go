package endpoint_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// runRestart runs a script in testdata/restart.
func runRestart(t *testing.T, name string) {
	t.Helper()
	s := &script{now: time.Unix(1000, 0)}
	datadriven.RunTest(t, filepath.Join("testdata", "restart", name), func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		return s.run(t, d)
	})
}

// TestRateLimitBeforeListed guards against a restarted endpoint whose rate limit is
// forgotten when it is listed.
func TestRateLimitBeforeListed(t *testing.T) {
	runRestart(t, "ratelimitbeforelisted")
}

// TestRequestsBeforeRemoval guards against a restarted endpoint that gets more requests than
// it has room for, because requests to its earlier incarnation end.
func TestRequestsBeforeRemoval(t *testing.T) {
	runRestart(t, "requestsbeforeremoval")
}
