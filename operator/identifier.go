package operator

import (
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxNameBytes bounds the name of a service, region or zone. It is the limit of a DNS
// label.
const maxNameBytes = 63

const (
	allowedIdentifier = "1 to 63 lower-case letters, digits and '-', beginning and ending with a letter or digit"
	allowedName       = "1 to 63 bytes of letters, digits, spaces, '-', '_' and '.', without spaces at the ends"
)

var identifierPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// isIdentifier reports whether text is valid as the name of a service, region or zone.
func isIdentifier(text string) bool {
	return len(text) <= maxNameBytes && identifierPattern.MatchString(text)
}

// isName reports whether text is valid as an alias of a service. More characters are
// accepted than in the name of a service, because aliases include the misspellings that
// callers send.
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
