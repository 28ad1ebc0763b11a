package kv

// CallKind is what a call asks of the service.
type CallKind string

// Kinds of calls. A listing of several pages is several calls.
const (
	CallRead       CallKind = "read"
	CallList       CallKind = "list"
	CallWatch      CallKind = "watch"
	CallWrite      CallKind = "write"
	CallGrantLease CallKind = "grant_lease"
	CallRenewLease CallKind = "renew_lease"
	CallEndLease   CallKind = "end_lease"
)

// CallKinds returns all kinds.
func CallKinds() []CallKind {
	return []CallKind{CallRead, CallList, CallWatch, CallWrite, CallGrantLease, CallRenewLease, CallEndLease}
}

// Observer is told of each call when it has ended. A call that failed or was
// refused has an error. It must not block.
type Observer func(kind CallKind, err error)

// Observable tells an observer of its calls.
type Observable interface {
	// Observe sets the observer. It must be called before the first call.
	Observe(Observer)
}
