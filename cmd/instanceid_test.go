package cmd

import (
	"testing"

	"savorystep"
	"savorystep/operator"
	"savorystep/platform"
)

// TestInstanceIDIsNewAtEachStart guards against an instance that takes over, under the id of
// its earlier process, what other instances and the store keep for that one.
func TestInstanceIDIsNewAtEachStart(t *testing.T) {
	settings, err := platform.ParseSettings([]byte(validGatewaySettings))
	if err != nil {
		t.Fatal(err)
	}
	config := instanceConfig{Settings: &operator.Settings{}}
	ids := make(map[savorystep.InstanceID]bool)
	for range 2 {
		ids[newGatewaySelf(settings).ID] = true
		ids[newSelf(config).ID] = true
	}
	if len(ids) != 4 {
		t.Errorf("%d ids after two starts of a gateway and of an instance, want 4: %v", len(ids), ids)
	}
}
