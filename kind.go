package savorystep

// A Kind is an error kind. The set of kinds is part of the public interface.
type Kind uint8

// The error kinds, in alphabetical order after KindNone, which means success.
const (
	KindNone Kind = iota
	KindBadRequest
	KindCapReached
	KindDeadlineExceeded
	KindInProgress
	KindInternal
	KindKeyConflict
	KindNoUpstream
	KindNotFound
	KindNotReady
	KindOutcomeUnknown
	KindOverloaded
	KindPlatformDown
	KindQuarantined
	KindTooLarge
	KindUnauthorized
	KindUnknownName
	KindUpstreamFailed
	KindVersionConflict
	kindCount
)

// String returns the value of the Savorystep-Kind header for the kind.
func (k Kind) String() string {
	return k.Info().Name
}

// Info returns the properties of the kind. A value outside of the list has those of
// KindInternal.
func (k Kind) Info() KindInfo {
	if k >= kindCount {
		k = KindInternal
	}
	return kindInfos[k]
}

// ParseKind returns the kind with the given name and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for k := KindNone; k < kindCount; k++ {
		if kindInfos[k].Name == name {
			return k, true
		}
	}
	return KindNone, false
}
