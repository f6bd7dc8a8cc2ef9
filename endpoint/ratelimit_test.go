package endpoint_test

import (
	"testing"

	"savorystep"
	"savorystep/endpoint"
)

// TestParseRateLimit guards against limits that are read as another number of
// requests per second, or as one that is negative or not finite.
func TestParseRateLimit(t *testing.T) {
	for _, test := range []struct {
		text string
		want savorystep.RequestsPerSecond
	}{{text: "4.4", want: 4.4}, {text: " 12 ", want: 12}, {text: "0", want: 0}, {text: "0.25", want: 0.25}} {
		if got, ok := endpoint.ParseRateLimit(test.text); !ok || got != test.want {
			t.Errorf("ParseRateLimit(%q) = %v, %v, want %v", test.text, got, ok, test.want)
		}
	}
	for _, text := range []string{"", "many", "-1", "NaN", "Inf", "1e999", "4.4, 5"} {
		if got, ok := endpoint.ParseRateLimit(text); ok {
			t.Errorf("ParseRateLimit(%q) = %v, want no limit", text, got)
		}
	}
}
