package ratelimit

// String returns the name of a reason, for the log.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "granted"
	case ReasonNoPermit:
		return "no permit"
	case ReasonQueue:
		return "queue too long"
	case ReasonDisplaced:
		return "displaced by more urgent requests"
	case ReasonTimeout:
		return "waited too long"
	case ReasonOwner:
		return "owner does not answer"
	case ReasonFull:
		return "queue full"
	default:
		return "unknown"
	}
}
