package kv

// CallKind is the operation that a call to the service performs.
type CallKind string

// Kinds of calls. Listing several pages counts as several calls.
const (
	CallRead       CallKind = "read"
	CallList       CallKind = "list"
	CallWatch      CallKind = "watch"
	CallWrite      CallKind = "write"
	CallGrantLease CallKind = "grant_lease"
	CallRenewLease CallKind = "renew_lease"
	CallEndLease   CallKind = "end_lease"
)

// CallKinds returns all kinds of calls.
func CallKinds() []CallKind {
	return []CallKind{CallRead, CallList, CallWatch, CallWrite, CallGrantLease, CallRenewLease, CallEndLease}
}

// Observer is called after each call to the service, before the call returns. era is the era
// of the answer, NoEra if there was none. err is set if the call failed or the service
// rejected it. An Observer must not block.
type Observer func(kind CallKind, era Era, err error)

// Observable is implemented by clients that report their calls to an Observer.
type Observable interface {
	// Observe sets the observer. It must be called before the first call.
	Observe(Observer)
}
