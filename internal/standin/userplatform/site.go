package userplatform

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CallerHeaders returns the headers of a client's request: its id, its API key and
// those that the engine routes require.
func CallerHeaders(id, key string) http.Header {
	return http.Header{
		"Request-Id": {id}, "Deadline-Ms": {"20000"}, "Authorization": {"Bearer " + key}, "Model": {"m"}, "Token-Count": {"300,4000"},
	}
}

// SetPrompt sets the parts of the prompt of a client's request, if there are any.
func SetPrompt(h http.Header, parts string) {
	if parts != "" {
		h.Set("Prompt-Prefix", parts)
	}
}

// SetLimits sets the time that a client gives its request, and the number of tokens that it
// expects.
func SetLimits(h http.Header, limit time.Duration, tokens int) {
	h.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	h.Set("Length-Hint", strconv.Itoa(tokens))
}

// Config returns a platform configuration with four routes on one host: streams
// that can be resumed or not, and safe and unsafe calls.
func Config(version int64, keys ...string) []byte {
	quoted := make([]string, len(keys))
	for i, k := range keys {
		quoted[i] = strconv.Quote(k)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"draft","host":"site.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":1800,"priority":1,"service":"engines","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":180},
{"name":"check","host":"site.example","pathPrefix":"/check/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":0,"service":"engines","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":180},
{"name":"book","host":"site.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1},
{"name":"look","host":"site.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2}],
"services":[
{"name":"engines","healthPath":"/health","maxConns":100,"coldStartS":1.0,"coldPerS":22,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":34149,"kvTokenBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"handleS":5.0,"models":[{"name":"m"}]}},
{"name":"desk","healthPath":"/health","maxConns":100,"coldStartS":1.0,"coldPerS":22,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"acme","apiKeys":[%s],"priority":1}]}`, version, strings.Join(quoted, ","))
}

// Options of the servers that StartAll starts.
const (
	defaultEvents         = 200
	defaultEventInterval  = 20 * time.Millisecond
	defaultProcessingTime = 20 * time.Millisecond
)

// DefaultTokens is the number of tokens of a run at the engines that StartAll starts, with the
// stride of Config.
const DefaultTokens = 4 * defaultEvents

// StartAll writes a configuration to the store and starts engines and plain servers.
func (f *Fleet) StartAll(engines, desks int) error {
	f.store.Put("op/config", Config(1, "key-of-acme"))
	for i := range engines {
		o := ServerOptions{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Zone: "z", Model: "m", Slots: 24,
			Events: defaultEvents, EventInterval: defaultEventInterval,
		}
		if _, err := f.Start(o); err != nil {
			return err
		}
	}
	for i := range desks {
		o := ServerOptions{ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: "z", Slots: 6, ProcessingTime: defaultProcessingTime}
		if _, err := f.Start(o); err != nil {
			return err
		}
	}
	return nil
}

// Settings are the values of an entry VM's settings file on the platform.
type Settings struct {
	VM, FrontAddress, ReadyAddress, ControlAddress, StoreAddress string
	// MetricsPort is 0 for no metrics.
	MetricsPort            int
	MemoryMB, GraceSeconds int
	// MaxFDs is 0 for defaultMaxFDs.
	MaxFDs               int
	Drain, Apply, Revoke time.Duration
}

// defaultMaxFDs is the limit on the descriptors of an entry VM.
const defaultMaxFDs = 1000

// YAML returns the content of the settings file.
func (s Settings) YAML() string {
	return fmt.Sprintf(`nodeName: %q
zone: "z"
region: "r"
ip: "127.0.0.1"
listen: {front: %q, ready: %q, control: %q}
portRange: %s
limits: {cpuShare: 1.0, memoryMb: %d, maxFds: %d}
bounds: {drainMs: %d, graceS: %d, configApplyMs: %d, failClosed: true, revokeMs: %d, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 129, coldOver: %g, coldSlack: %d}
platform: {address: %q, ttlMinMs: 1000}
`, s.VM, s.FrontAddress, s.ReadyAddress, s.ControlAddress, s.portRange(), s.MemoryMB, cmp.Or(s.MaxFDs, defaultMaxFDs), s.Drain.Milliseconds(), s.GraceSeconds, s.Apply.Milliseconds(),
		s.Revoke.Milliseconds(), ColdOver, ColdSlack, s.StoreAddress)
}

// portRange returns the range of the port for metrics as a YAML list.
func (s Settings) portRange() string {
	if s.MetricsPort == 0 {
		return "[]"
	}
	return fmt.Sprintf("[%d, %d]", s.MetricsPort, s.MetricsPort)
}

// Signed reports whether a response has a backend server's signature.
func Signed(h http.Header) bool { return h.Get("Response-Signature") != "" }
