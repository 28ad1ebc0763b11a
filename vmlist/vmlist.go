// Package vmlist reads the platform's list of live and leaving VMs. The list
// covers the entry VMs and the backend servers, and lags behind reality.
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
)

// maxListBytes bounds the size of a list. 13,000 entries take about 4 MB.
const maxListBytes = 16 << 20

// Role says what runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is the platform's view of a VM.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list.
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
	// "name@version". An engine with a version gets work only while the bundle in
	// force names that version.
	Models []string `json:"models,omitempty"`
	// Services lists the services that a plain backend server offers.
	Services []string `json:"services,omitempty"`
	// Slots is the number of requests that a backend server works on at once, 0 if it is not known.
	Slots int `json:"slots,omitempty"`
	// CPU is the part of a core that an entry VM has, 0 if it is not known.
	CPU float64 `json:"cpu,omitempty"`
	// Incarnation tells two starts under the same id apart; a later start has a higher one.
	Incarnation int64 `json:"incarnation,omitempty"`
	// ChecksFencing says that the backend server refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ChecksIssuer says that the backend server verifies who gives it an order.
	ChecksIssuer bool `json:"checks_issuer,omitempty"`
}

// List is a version of the VM list. A higher revision is newer.
type List struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
}

// UnavailableError reports that the VM list could not be read.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("vm list unavailable: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError reports an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Client reads the list over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the VM list at base.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext},
	}}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Fetch returns the current list, or nil if its revision is still known.
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

// minCPUFraction is the part of the largest CPU share from which a VM counts as strong.
const minCPUFraction = 0.5

// LargestByCPU returns the VMs with at least half of the largest CPU share, in
// their order. What one VM does for a whole region is left to them.
func LargestByCPU(vms []VM) []VM {
	largest := 0.0
	for i := range vms {
		largest = max(largest, vms[i].CPU)
	}
	strong := make([]VM, 0, len(vms))
	for _, vm := range vms {
		if vm.CPU >= minCPUFraction*largest {
			strong = append(strong, vm)
		}
	}
	return strong
}
