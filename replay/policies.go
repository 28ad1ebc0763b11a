package replay

import (
	"fmt"
	"slices"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// BaselinePolicy is the name of the policy that others are compared to.
const BaselinePolicy = "baseline"

// Policies maps a name to the constructor of a policy.
var Policies = map[string]func() dispatch.Policy{
	BaselinePolicy: func() dispatch.Policy { return dispatch.NewBaseline() },
	"central-fifo": func() dispatch.Policy { return newCentralFIFO() },
	"fair":         func() dispatch.Policy { return dispatch.NewFair(dispatch.FairOptions{}) },
}

// UnknownPolicyError reports a name that is not in Policies.
type UnknownPolicyError struct{ Name string }

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("unknown policy %q; known: %v", e.Name, PolicyNames())
}

// PolicyNames returns the sorted names of all policies.
func PolicyNames() []string {
	names := make([]string, 0, len(Policies))
	for name := range Policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NewPolicy returns a policy by name, or an *UnknownPolicyError.
func NewPolicy(name string) (dispatch.Policy, error) {
	construct, ok := Policies[name]
	if !ok {
		return nil, &UnknownPolicyError{Name: name}
	}
	return construct(), nil
}
