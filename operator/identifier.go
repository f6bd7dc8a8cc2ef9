package operator

import (
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxNameBytes is the longest name of a service, region or zone, as for a DNS
// label.
const maxNameBytes = 63

const (
	allowedIdentifier = "1 to 63 lower-case letters, digits and '-', beginning and ending with a letter or digit"
	allowedName       = "1 to 63 bytes of letters, digits, spaces, '-', '_' and '.', without spaces at the ends"
)

var identifierPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// isIdentifier reports whether text may name a service, region or zone.
func isIdentifier(text string) bool {
	return len(text) <= maxNameBytes && identifierPattern.MatchString(text)
}

// isName reports whether text may be a name that leads to a service. Callers
// misspell in more ways than services are named, so more characters are
// accepted than for a service.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes || !utf8.ValidString(text) || strings.TrimSpace(text) != text {
		return false
	}
	for _, r := range text {
		if !unicode.IsLetter(r) && !unicode.IsDigit(r) && !unicode.IsMark(r) && !strings.ContainsRune(" -_.", r) {
			return false
		}
	}
	return true
}
