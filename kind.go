package savorystep

// A Kind is one entry of the closed list of error kinds.
type Kind uint8

// The error kinds, in alphabetical order.
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

// String returns the name of the kind as it stands in the Savorystep-Kind
// header.
func (k Kind) String() string {
	return k.Info().Name
}

// Info returns the answer that the kind maps to. An unknown kind maps to the
// answer of KindInternal.
func (k Kind) Info() KindInfo {
	if k >= kindCount {
		k = KindInternal
	}
	return kindInfos[k]
}

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, bool) {
	for k := KindNone; k < kindCount; k++ {
		if kindInfos[k].Name == name {
			return k, true
		}
	}
	return KindNone, false
}
