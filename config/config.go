// Package config reads the daemon's configuration: JSON with comments, checked
// as a whole, unknown fields rejected.
package config

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time span written as a Go duration string, such as "250ms".
type Duration time.Duration

// UnmarshalJSON parses a duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, `duration must be a string with a unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Wrap(err, `duration must have a unit, such as "250ms"`)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Config is the configuration of one VM.
type Config struct {
	// VMID is the VM's id in the VM list.
	VMID string `json:"vm_id" validate:"required,max=64"`
	// Zone is the availability zone.
	Zone string `json:"zone" validate:"required"`
	// Region is the region of the availability zone.
	Region string `json:"region" validate:"required"`

	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Bundle   Bundle   `json:"bundle"`
	TLS      TLS      `json:"tls"`
	Limits   Limits   `json:"limits"`
	Timeouts Timeouts `json:"timeouts"`
	Claims   Claims   `json:"claims"`
	Peers    Peers    `json:"peers"`
	Dispatch Dispatch `json:"dispatch"`
	Log      Log      `json:"log"`
	Trace    Trace    `json:"trace"`

	TraceRecorder TraceRecorder `json:"trace_recorder"`
}

// Listen holds the addresses, as IP:port.
type Listen struct {
	// HTTP serves callers.
	HTTP string `json:"http" validate:"required,tcp_addr"`
	// Peer serves other entry VMs.
	Peer string `json:"peer" validate:"required,tcp_addr"`
	// Admin serves /metrics and /status to operators. Empty serves neither.
	Admin string `json:"admin,omitempty" validate:"omitempty,tcp_addr"`
}

// Platform locates the platform's services.
type Platform struct {
	// KV is the base URL of the key-value service.
	KV string `json:"kv" validate:"required,url"`
	// KVTimeout bounds one call. Default 2s.
	KVTimeout Duration `json:"kv_timeout,omitempty" validate:"gte=0"`
	// VMList is the base URL of the VM list.
	VMList string `json:"vm_list" validate:"required,url"`
	// VMListInterval is the time between the starts of two reads of the VM list. Default 1s.
	VMListInterval Duration `json:"vm_list_interval,omitempty" validate:"gte=0"`
	// VMListCallLimit is the time after which a read of the VM list without an
	// answer is overtaken by another. A read ends after three limits. Default 700ms.
	VMListCallLimit Duration `json:"vm_list_call_limit,omitempty" validate:"gte=0"`
}

// Bundle controls how a bundle is accepted.
type Bundle struct {
	// PublicKeys lists the Ed25519 keys, in hex, that may sign bundles. With
	// an empty list signatures are not checked.
	PublicKeys []string `json:"public_keys,omitempty" validate:"dive,hexadecimal,len=64"`
	// FallbackInterval is the mean time between fallback reads of the head. Default 30s.
	FallbackInterval Duration `json:"fallback_interval,omitempty" validate:"gte=0"`
}

// TLS names PEM files. Callers get TLS when CertFile and KeyFile are set; VMs
// authenticate each other when CAFile is set as well.
type TLS struct {
	CertFile string `json:"cert_file,omitempty" validate:"required_with=KeyFile CAFile"`
	KeyFile  string `json:"key_file,omitempty" validate:"required_with=CertFile CAFile"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Limits bounds what a caller can make a VM hold.
type Limits struct {
	// BodyBytes bounds a request body. Default 1 MiB.
	BodyBytes int64 `json:"body_bytes,omitempty" validate:"gte=0,lte=67108864"`
	// HeaderBytes bounds the request header. Default 32 KiB.
	HeaderBytes int `json:"header_bytes,omitempty" validate:"gte=0,lte=1048576"`
	// AnswerBytes bounds an answer that is not streamed. Default 8 MiB.
	AnswerBytes int64 `json:"answer_bytes,omitempty" validate:"gte=0"`
	// QueuedPerOrganisation bounds waiting requests of one organisation. Default 256.
	QueuedPerOrganisation int `json:"queued_per_organisation,omitempty" validate:"gte=0"`
	// Queued bounds waiting requests of the VM. Default 4096.
	Queued int `json:"queued,omitempty" validate:"gte=0"`
	// RetryRatio is the retry budget as retries for each first attempt. Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty" validate:"gte=0,lte=1"`
}

// Timeouts bounds waiting.
type Timeouts struct {
	// Queue bounds the wait for a grant. Default 30s.
	Queue Duration `json:"queue,omitempty" validate:"gte=0"`
	// FirstToken bounds the wait for the first token after a grant. Default 20s.
	FirstToken Duration `json:"first_token,omitempty" validate:"gte=0"`
	// StreamIdle is the greatest wait for the next token before a resume; it is
	// shorter on a fast engine. Default 3s.
	StreamIdle Duration `json:"stream_idle,omitempty" validate:"gte=0"`
	// Body bounds the time in which a caller sends the body of a request. Default 30s.
	Body Duration `json:"body,omitempty" validate:"gte=0"`
	// DrainNotice is the time between a failing /readyz and the refusal of new work. Default 5s.
	DrainNotice Duration `json:"drain_notice,omitempty" validate:"gte=0"`
	// Drain bounds the wait for running streams after the notice. Default 20m.
	Drain Duration `json:"drain,omitempty" validate:"gte=0"`
}

// Claims controls at-most-once calls.
type Claims struct {
	// Retention is how long a claim protects against a repeat. Default 24h.
	Retention Duration `json:"retention,omitempty" validate:"gte=0"`
	// ClockTolerance is the accepted clock difference to callers. Default 5m.
	ClockTolerance Duration `json:"clock_tolerance,omitempty" validate:"gte=0"`
}

// Peers controls messages between VMs.
type Peers struct {
	// Fanout is the number of peers that a VM sends heartbeats to. Default 4.
	Fanout int `json:"fanout,omitempty" validate:"gte=0,lte=64"`
	// HeartbeatInterval is the time between heartbeats. Default 500ms.
	HeartbeatInterval Duration `json:"heartbeat_interval,omitempty" validate:"gte=0"`
	// SuspectAfter is the silence after which a peer is suspect. Default 2s.
	SuspectAfter Duration `json:"suspect_after,omitempty" validate:"gte=0"`
	// Seeds lists entry VMs that a starting VM asks for the VM list and the
	// bundle. They are used only until a first VM list is known. Default none.
	Seeds []Seed `json:"seeds,omitempty" validate:"max=64,unique=VMID,dive"`
}

// Seed locates an entry VM.
type Seed struct {
	// VMID is the VM's id in the VM list. With TLS its certificate must carry the id.
	VMID string `json:"vm_id" validate:"required,max=64"`
	// Address is the VM's address for other entry VMs, as IP:port.
	Address string `json:"address" validate:"required,tcp_addr"`
}

// Dispatch controls admission to engines.
type Dispatch struct {
	// BypassAfter is the silence of a dispatcher after which it is bypassed. Default 250ms.
	BypassAfter Duration `json:"bypass_after,omitempty" validate:"gte=0"`
	// LocalStreams bounds the streams for each engine that a VM starts while it
	// bypasses a dispatcher. Default 2.
	LocalStreams int `json:"local_streams,omitempty" validate:"gte=0"`
	// EngineStreams bounds the streams of one engine, in addition to what its
	// memory is expected to hold. Default 256.
	EngineStreams int `json:"engine_streams,omitempty" validate:"gte=0"`
	// GroupSize is the largest number of backend servers of one dispatcher. Default 32.
	GroupSize int `json:"group_size,omitempty" validate:"gte=0"`
}

// Log controls log lines.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Trace controls the export of spans.
type Trace struct {
	// File receives spans as JSON lines; "stdout" is allowed. Empty exports none.
	File string `json:"file,omitempty"`
	// Ratio is the sampled fraction of requests without a sampled parent. Default 1.
	Ratio float64 `json:"ratio,omitempty" validate:"gte=0,lte=1"`
}

// TraceRecorder writes the requests of this VM in the format of package replay.
type TraceRecorder struct {
	// File is created; an existing file is an error. Empty records nothing.
	File string `json:"file,omitempty"`
	// Model is the model whose requests are recorded.
	Model string `json:"model,omitempty" validate:"required_with=File"`
}
