package kv

import "fmt"

// Era counts how often the service has come back from a copy of its state. Writes after the
// copy are lost then, leases too, and their revisions are given out again: neither revisions
// nor leases of different eras can be compared. A service without eras is in era 0.
type Era int64

// NoEra stands for the era of a call without an answer.
const NoEra Era = -1

// EraError reports an answer of another era than expected. Its content is not used.
type EraError struct{ Want, Got Era }

func (e *EraError) Error() string {
	return fmt.Sprintf("kv: answer of era %d, not of era %d", e.Got, e.Want)
}

// Position is a revision of the service in an era.
type Position struct {
	Era      Era
	Revision int64
}

// Before reports whether a position was reached before another one.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}
