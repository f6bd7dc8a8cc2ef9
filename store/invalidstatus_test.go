package store_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"savorystep"
	"savorystep/store"
)

// TestClientInvalidStatus guards against a call or a registration that outlasts its
// timeout, because the body of a response with status 101 is a connection which no context
// ends, and against an era that is learned from such a response.
func TestClientInvalidStatus(t *testing.T) {
	const hangLimit = 20 * time.Second
	calls := map[string]func(*store.Client) error{
		"read": func(c *store.Client) error { _, err := c.Get(context.Background(), "a"); return err },
		"commit": func(c *store.Client) error {
			_, err := c.Commit(context.Background(), savorystep.Txn{Conditions: []savorystep.Condition{{Key: "a", Version: 3}}})
			return err
		},
		"register": func(c *store.Client) error {
			return c.Register(context.Background(), savorystep.Instance{ID: "i"})
		},
	}
	for _, status := range []string{"000 Nothing", "101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade", "600 More"} {
		for name, call := range calls {
			t.Run(name+" "+status[:3], func(t *testing.T) {
				client := newHandlerClient(t, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					t.Cleanup(func() { _ = conn.Close() })
					_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nSavorystep-Era: 7\r\nContent-Length: 0\r\n\r\n"))
				})
				result := make(chan error, 1)
				go func() { result <- call(client) }()
				select {
				case err := <-result:
					if savorystep.KindOf(err) != savorystep.KindPlatformDown {
						t.Errorf("error %v, want one of kind %s", err, savorystep.KindPlatformDown)
					}
				case <-time.After(hangLimit):
					t.Fatalf("the call has no result after %v", hangLimit)
				}
				if era, _ := client.Era(); era != 0 {
					t.Errorf("era %d is learned, want none", era)
				}
			})
		}
	}
}
