package operator

import (
	"fmt"
	"strconv"
	"strings"
)

// byteUnits are the units of sizes. Longer names come first because all of them end in
// "B".
var byteUnits = []struct {
	name  string
	bytes int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"GB", 1e9},
	{"MB", 1e6},
	{"KB", 1e3},
	{"B", 1},
}

// parseBytes parses a size with its unit, for example "64KiB", and returns it in bytes.
func parseBytes(text string) (int64, error) {
	for _, unit := range byteUnits {
		number, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/unit.bytes {
			return 0, fmt.Errorf("%q is not a non-negative integer with a byte unit, or too large", text)
		}
		return n * unit.bytes, nil
	}
	return 0, fmt.Errorf("%q has no bytes unit", text)
}

// formatBytes formats a size in bytes exactly, with the first unit of byteUnits that
// divides it.
func formatBytes(n int64) string {
	for _, unit := range byteUnits {
		if n >= unit.bytes && n%unit.bytes == 0 {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}
