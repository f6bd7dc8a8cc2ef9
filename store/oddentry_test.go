package store_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestOddEndpointEntries guards against an instance that ends, or that stops following the
// endpoints, because of one odd entry among them. The entry names no endpoint to use, the
// others hold.
func TestOddEndpointEntries(t *testing.T) {
	const valid = `{"id":"e","service":"s","state":"live","address":"10.0.0.1:80","slots":3}`
	replace := func(part, other string) string { return strings.Replace(valid, part, other, 1) }
	odd := map[string]string{
		"no service":                   `{"id":"e","state":"live"}`,
		"no id":                        replace(`"id":"e",`, ``),
		"state that isn't named":       replace(`"live"`, `"gone"`),
		"deeply nested":                strings.Repeat("[", 60_000) + strings.Repeat("]", 60_000),
		"deeply nested in a field":     replace(`3`, strings.Repeat(`{"a":`, 20_000)+"1"+strings.Repeat("}", 20_000)),
		"slots past the type":          replace(`3}`, `99999999999999999999}`),
		"slots at the end of the type": replace(`3}`, `9223372036854775807}`),
		"slots below zero":             replace(`3}`, `-1}`),
		"slots with an exponent":       replace(`3}`, `1e400}`),
		"slots as a text":              replace(`3}`, `"3"}`),
		"connections past the type":    replace(`3}`, `3,"connections":99999999999999999999}`),
		"start past the type":          replace(`3}`, `3,"born":1e30}`),
		"address of another type":      replace(`"10.0.0.1:80"`, `{"a":["]",",","\\\"]"]}`),
		"a text with brackets":         `"],[\"{"`,
		"a number":                     "7",
		"nothing":                      "",
		"no JSON":                      "\x00\xff",
	}
	for name, entry := range odd {
		t.Run(name, func(t *testing.T) {
			client := newHandlerClient(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, " [ "+replace(`"e"`, `"first"`)+","+entry+",\n"+replace(`"e"`, `"last"`)+" ] ")
			})
			endpoints, err := client.Endpoints(t.Context())
			if err != nil || len(endpoints) != 2 || endpoints[0].ID != "first" || endpoints[1].ID != "last" {
				t.Errorf("endpoints %+v, error %v, want first and last", endpoints, err)
			}
		})
	}
	for _, empty := range []string{"[]", " [ \n] ", "null"} {
		client := newHandlerClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, empty) })
		if endpoints, err := client.Endpoints(t.Context()); err != nil || len(endpoints) != 0 {
			t.Errorf("after %q: endpoints %+v, error %v, want none", empty, endpoints, err)
		}
	}
}
