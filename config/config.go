// Package config reads and validates the daemon's configuration, which is JSON
// with comments. Unknown fields are rejected and all errors are reported at once.
package config

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a duration that is encoded as a Go duration string, such as "250ms".
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

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Config is the configuration of one VM.
type Config struct {
	// VMID is the VM's id in the VM list.
	VMID string `json:"vm_id" validate:"required,max=64"`
	// Zone is the VM's availability zone.
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

// Listen holds the listen addresses, as IP:port.
type Listen struct {
	// HTTP accepts requests of callers.
	HTTP string `json:"http" validate:"required,tcp_addr"`
	// Peer accepts connections of other entry VMs.
	Peer string `json:"peer" validate:"required,tcp_addr"`
	// Admin serves /metrics and /status to operators. Empty disables both.
	Admin string `json:"admin,omitempty" validate:"omitempty,tcp_addr"`
}

// Platform locates the platform's services.
type Platform struct {
	// KV is the base URL of the key-value service.
	KV string `json:"kv" validate:"required,url"`
	// KVTimeout bounds one call of the key-value service. Default 2s.
	KVTimeout Duration `json:"kv_timeout,omitempty" validate:"gte=0"`
	// VMList is the base URL of the VM list.
	VMList string `json:"vm_list" validate:"required,url"`
	// VMListInterval is the time between the starts of two reads of the VM list. Default 1s.
	VMListInterval Duration `json:"vm_list_interval,omitempty" validate:"gte=0"`
	// VMListCallLimit is the time after which another read of the VM list starts
	// if the previous one has no response. A read is cancelled after three times
	// this limit. Default 700ms.
	VMListCallLimit Duration `json:"vm_list_call_limit,omitempty" validate:"gte=0"`
}

// Bundle controls how bundles are verified and read.
type Bundle struct {
	// PublicKeys lists the Ed25519 public keys, in hex, that are trusted to sign
	// bundles. If the list is empty, signatures are not checked.
	PublicKeys []string `json:"public_keys,omitempty" validate:"dive,hexadecimal,len=64"`
	// FallbackInterval is the mean time between fallback reads of the head. Default 30s.
	FallbackInterval Duration `json:"fallback_interval,omitempty" validate:"gte=0"`
}

// TLS holds the paths of PEM files. Callers are served over TLS if CertFile and
// KeyFile are set; VMs authenticate each other if CAFile is set as well.
type TLS struct {
	CertFile string `json:"cert_file,omitempty" validate:"required_with=KeyFile CAFile"`
	KeyFile  string `json:"key_file,omitempty" validate:"required_with=CertFile CAFile"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Limits bounds the resources that callers can use on a VM.
type Limits struct {
	// BodyBytes bounds the size of a request body. Default 1 MiB.
	BodyBytes int64 `json:"body_bytes,omitempty" validate:"gte=0,lte=67108864"`
	// HeaderBytes bounds the size of the request header. Default 32 KiB.
	HeaderBytes int `json:"header_bytes,omitempty" validate:"gte=0,lte=1048576"`
	// AnswerBytes bounds the size of a response that is not streamed. Default 8 MiB.
	AnswerBytes int64 `json:"answer_bytes,omitempty" validate:"gte=0"`
	// QueuedPerOrganisation bounds the queued requests of one organisation. Default 256.
	QueuedPerOrganisation int `json:"queued_per_organisation,omitempty" validate:"gte=0"`
	// Queued bounds the queued requests of the VM. Default 4096.
	Queued int `json:"queued,omitempty" validate:"gte=0"`
	// MemoryBytes is the memory of the VM, from which the bounds on connections that wait for a
	// request and on requests in progress follow. Default: the memory of the machine.
	MemoryBytes int64 `json:"memory_bytes,omitempty" validate:"gte=0"`
	// Descriptors is the number of descriptors that the VM may open, from which the bound on
	// connections follows. Default: the soft limit of the process.
	Descriptors int `json:"descriptors,omitempty" validate:"gte=0"`
	// RetryRatio is the retry budget, as the number of retries per first attempt. Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty" validate:"gte=0,lte=1"`
}

// Timeouts bounds waits for callers, engines and running streams.
type Timeouts struct {
	// Queue bounds the wait for a grant. Default 30s.
	Queue Duration `json:"queue,omitempty" validate:"gte=0"`
	// FirstToken bounds the wait for the first token after a grant. Default 20s.
	FirstToken Duration `json:"first_token,omitempty" validate:"gte=0"`
	// StreamIdle is the longest wait for the next token before the stream is
	// resumed; the wait is shorter on a fast engine. Default 3s.
	StreamIdle Duration `json:"stream_idle,omitempty" validate:"gte=0"`
	// Body bounds the time that a caller takes to send a request body. Default 30s.
	Body Duration `json:"body,omitempty" validate:"gte=0"`
	// ServerPause bounds the time for which a backend server may ask a VM to send nothing,
	// from 1s to 1h. Default 10m.
	ServerPause Duration `json:"server_pause,omitempty"`
	// DrainNotice is the time from when /readyz starts to fail until new requests
	// are rejected. Default 5s.
	DrainNotice Duration `json:"drain_notice,omitempty" validate:"gte=0"`
	// Drain bounds the wait for running streams after DrainNotice. Default 20m.
	Drain Duration `json:"drain,omitempty" validate:"gte=0"`
}

// Claims controls at-most-once calls.
type Claims struct {
	// Retention is the time for which a claim prevents a repeated call. Default 24h.
	Retention Duration `json:"retention,omitempty" validate:"gte=0"`
	// ClockTolerance is the accepted clock skew between VM and caller. Default 5m.
	ClockTolerance Duration `json:"clock_tolerance,omitempty" validate:"gte=0"`
}

// Peers controls heartbeats between VMs and the peers used at start-up.
type Peers struct {
	// Fanout is the number of peers that a VM sends heartbeats to. Default 4.
	Fanout int `json:"fanout,omitempty" validate:"gte=0,lte=64"`
	// HeartbeatInterval is the time between heartbeats. Default 500ms.
	HeartbeatInterval Duration `json:"heartbeat_interval,omitempty" validate:"gte=0"`
	// SuspectAfter is the time without a message from a peer after which the
	// peer is suspected to have failed. Default 2s.
	SuspectAfter Duration `json:"suspect_after,omitempty" validate:"gte=0"`
	// Seeds lists entry VMs that a starting VM asks for the VM list and the
	// bundle. They are used only until the first VM list is read. Default none.
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
	// BypassAfter is the time without a response from a dispatcher after which it
	// is bypassed. Default 250ms.
	BypassAfter Duration `json:"bypass_after,omitempty" validate:"gte=0"`
	// LocalStreams bounds the streams that a VM starts on each engine while it
	// bypasses a dispatcher. Default 2.
	LocalStreams int `json:"local_streams,omitempty" validate:"gte=0"`
	// EngineStreams bounds the streams of one engine. The expected memory use of
	// the streams is a separate bound. Default 256.
	EngineStreams int `json:"engine_streams,omitempty" validate:"gte=0"`
	// GroupSize is the maximum number of backend servers per dispatcher. Default 32.
	GroupSize int `json:"group_size,omitempty" validate:"gte=0"`
}

// Log controls logging.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Trace controls the export of spans.
type Trace struct {
	// File is the path that spans are written to as JSON lines, or "stdout". Empty
	// disables the export.
	File string `json:"file,omitempty"`
	// Ratio is the sampled fraction of requests without a sampled parent. Default 1.
	Ratio float64 `json:"ratio,omitempty" validate:"gte=0,lte=1"`
}

// TraceRecorder controls the recording of this VM's requests in the format of
// package replay.
type TraceRecorder struct {
	// File is the path of the file to create. It must not exist. Empty disables
	// recording.
	File string `json:"file,omitempty"`
	// Model is the model whose requests are recorded.
	Model string `json:"model,omitempty" validate:"required_with=File"`
}
