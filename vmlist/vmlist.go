// Package vmlist reads the platform's list of live and leaving VMs. The list
// covers the entry VMs and the backend servers. It is eventually consistent: it
// may name VMs that are gone and miss VMs that have just started.
package vmlist

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

// maxListBytes bounds the size of a list response. 13,000 entries take about 4 MB.
const maxListBytes = 16 << 20

// Role is the kind of process that runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is the lifecycle state of a VM as reported by the platform.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	// StateEvacuated is that of a live backend server in an availability zone that the operator
	// evacuates. Package control sets it; lists of the platform do not contain it.
	StateEvacuated State = "evacuated"
)

// VM is a list entry that describes one VM.
type VM struct {
	ID     string `json:"id"`
	Role   Role   `json:"role"`
	State  State  `json:"state"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Address is the HTTP address, as IP:port.
	Address string `json:"address"`
	// PeerAddress is the address for messages between entry VMs, as IP:port.
	PeerAddress string `json:"peer_address,omitempty"`
	// AdminAddress is the address for operators, as IP:port.
	AdminAddress string `json:"admin_address,omitempty"`
	// Models lists the models that an engine has loaded, as "name" or
	// "name@version". An engine with a versioned model receives requests only
	// while the active bundle names that version.
	Models []string `json:"models,omitempty"`
	// Services lists the services that a non-engine backend server provides.
	Services []string `json:"services,omitempty"`
	// Slots is the number of requests that a backend server processes concurrently, 0 if unknown.
	Slots int `json:"slots,omitempty"`
	// CPU is the share of a CPU core assigned to an entry VM, 0 if unknown.
	CPU float64 `json:"cpu,omitempty"`
	// Incarnation distinguishes restarts under the same id; a later start has a higher value.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Era is the era of the store in which an entry VM has announced itself.
	Era int64 `json:"era,omitempty"`
	// SoftwareVersion is the version of the software of a backend server, "" if it is not known.
	SoftwareVersion SoftwareVersion `json:"software_version,omitempty"`
	// Cold is set while the entry of a backend server says that the server is cold.
	Cold *Cold `json:"cold,omitempty"`
	// ChecksFencing reports whether the backend server rejects orders with a stale fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ChecksIssuer reports whether the backend server verifies the issuer of an order.
	ChecksIssuer bool `json:"checks_issuer,omitempty"`
}

// Cold is what the entry of a backend server says of the time for which the server still
// takes few requests after its start.
type Cold struct {
	// RemainingMS is the remaining time in milliseconds when the entry was written.
	RemainingMS int64 `json:"remaining_ms"`
	// Revision is the revision of the entry. It distinguishes two cold periods of the same
	// length.
	Revision int64 `json:"revision,omitempty"`
	// Invalid is set if the entry holds a value that is no time. RemainingMS is 0 then.
	Invalid bool `json:"invalid,omitempty"`
}

// SoftwareVersion names a version of the software of backend servers, as opposed to that of model
// weights or of the configuration. Versions have no order.
type SoftwareVersion string

// Is reports whether two versions are known and the same. An unknown version is no version, not
// even another unknown one.
func (v SoftwareVersion) Is(other SoftwareVersion) bool { return v != "" && v == other }

// MayBe reports whether the listed VM may be the start of its id with an incarnation.
// Incarnation 0, on either side, is unknown and may be any.
func (vm VM) MayBe(incarnation int64) bool {
	return incarnation == vm.Incarnation || incarnation == 0 || vm.Incarnation == 0
}

// ServiceName returns the name of the first service of a backend server, or its id if it has
// none. What VMs agree on for a server and its replicas is keyed by it.
func (vm VM) ServiceName() string {
	if len(vm.Services) == 0 {
		return vm.ID
	}
	return vm.Services[0]
}

// List is a version of the VM list. A higher revision is newer.
type List struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
}

// UnavailableError reports that the VM list could not be fetched or decoded.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("vm list unavailable: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError reports an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Client fetches the list over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the VM list service at the base URL. Dialing
// and the whole request are each limited to timeout.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{
		Timeout:   timeout,
		Transport: httphead.Transport{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext}},
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Fetch returns the current list, or nil if its revision is still the known one.
func (c *Client) Fetch(ctx context.Context, known int64) (*List, error) {
	u := c.base + "/v1/vms?known=" + strconv.FormatInt(known, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, errors.Wrap(err, "vm list request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, nil
	default:
		return nil, &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return Decode(data)
}

// minCPUFraction is the fraction of the largest CPU share that LargestByCPU requires.
const minCPUFraction = 0.5

// LargestByCPU returns the VMs with at least half of the largest CPU share, in
// input order. Duties that one VM performs for a whole region are left to them.
func LargestByCPU(vms []VM) []VM {
	largest := 0.0
	for i := range vms {
		largest = max(largest, vms[i].CPU)
	}
	selected := make([]VM, 0, len(vms))
	for _, vm := range vms {
		if vm.CPU >= minCPUFraction*largest {
			selected = append(selected, vm)
		}
	}
	return selected
}
