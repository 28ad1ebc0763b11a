package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"github.com/vanillaarch/vanillaarch/internal/jsonc"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Violation is one validation error, located by its path in the file.
type Violation = jsonc.Violation

// InvalidError lists all validation errors of a configuration.
type InvalidError struct{ Violations []Violation }

func (e *InvalidError) Error() string { return jsonc.Describe("configuration", e.Violations) }

// Load reads and validates a file. Violations are reported as an *InvalidError.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return Parse(data)
}

// Parse decodes JSON with comments, applies defaults and validates the result.
// Violations are reported as an *InvalidError that lists all of them.
func Parse(data []byte) (*Config, error) {
	std, violations := jsonc.Standardize(data)
	if violations != nil {
		return nil, &InvalidError{Violations: violations}
	}
	var c Config
	violations, decoded := jsonc.Decode(std, &c)
	if !decoded {
		return nil, &InvalidError{Violations: violations}
	}
	c.ApplyDefaults()
	violations = append(violations, c.Validate()...)
	if len(violations) > 0 {
		return nil, &InvalidError{Violations: violations}
	}
	return &c, nil
}

// Validate returns all validation errors of the configuration, or nil.
func (c *Config) Validate() []Violation {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	var violations []Violation
	if err := v.Struct(c); err != nil {
		fields, ok := errors.Into[validator.ValidationErrors](err)
		if !ok {
			return []Violation{{Path: "$", Message: err.Error()}}
		}
		for _, f := range fields {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			violations = append(violations, Violation{Path: path, Message: violationMessage(f)})
		}
	}
	return append(violations, c.validateCrossField()...)
}

// MaxVMListDelay bounds the time until a change of the VM list is read while one
// call hangs. Of the 3 s after which a backend server that is leaving must get no
// new work, it leaves 0.5 s to notify the other VMs.
const MaxVMListDelay = Duration(2500 * time.Millisecond)

// validateCrossField returns errors of fields that depend on other fields or packages.
func (c *Config) validateCrossField() []Violation {
	var violations []Violation
	if c.Peers.SuspectAfter/2 < c.Peers.HeartbeatInterval { // Doubling the interval could overflow.
		violations = append(violations, Violation{
			Path:    "peers.suspect_after",
			Message: "must be at least twice peers.heartbeat_interval, or one lost heartbeat makes a peer suspect",
		})
	}
	if c.Platform.VMListCallLimit > (MaxVMListDelay-c.Platform.VMListInterval)/2 {
		violations = append(violations, Violation{
			Path: "platform.vm_list_call_limit",
			Message: fmt.Sprintf("twice the limit plus platform.vm_list_interval must be at most %s, "+
				"or backend servers that are leaving get new work for too long", MaxVMListDelay.Std()),
		})
	}
	if c.Timeouts.ServerPause.Std() < serverstate.MaxPauseMin || c.Timeouts.ServerPause.Std() > serverstate.MaxPauseMax {
		violations = append(violations, Violation{
			Path:    "timeouts.server_pause",
			Message: fmt.Sprintf("must be from %s to %s, is %s", serverstate.MaxPauseMin, serverstate.MaxPauseMax, c.Timeouts.ServerPause.Std()),
		})
	}
	if c.Claims.ClockTolerance >= c.Claims.Retention {
		violations = append(violations, Violation{
			Path:    "claims.clock_tolerance",
			Message: "must be below claims.retention, or every key counts as expired",
		})
	}
	return violations
}

func violationMessage(f validator.FieldError) string {
	value := f.Value()
	if d, ok := value.(Duration); ok {
		value = d.Std()
	}
	switch f.Tag() {
	case "required":
		return "is required"
	case "required_with":
		return "is required with " + f.Param()
	case "tcp_addr":
		return fmt.Sprintf("must be IP:port, is %q", value)
	case "url":
		return fmt.Sprintf("must be a URL, is %q", value)
	case "unique":
		return "must not repeat " + f.Param()
	case "gte":
		return fmt.Sprintf("must be at least %s, is %v", f.Param(), value)
	case "lte":
		return fmt.Sprintf("must be at most %s, is %v", f.Param(), value)
	case "oneof":
		return fmt.Sprintf("must be one of %s, is %q", f.Param(), value)
	default:
		return fmt.Sprintf("must satisfy %s=%s, is %v", f.Tag(), f.Param(), value)
	}
}
