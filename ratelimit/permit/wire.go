package permit

import (
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Limits on what is accepted from peers.
const (
	// maxMessageEntries bounds the entries of each list of a message.
	maxMessageEntries = 1024
	// maxWireDuration bounds durations, so that sums of them do not overflow.
	maxWireDuration = time.Hour
)

func encode(m ratelimit.Message) *peerpb.Envelope {
	out := &peerpb.RateLimit{
		Limits: encodeLimits(m.Limits), Complete: m.Complete, Pull: m.Pull, Waiting: m.Waiting, Withdrawn: m.Withdraw,
		Returned: m.Return, Queued: m.Queued, Unknown: m.Unknown,
	}
	if m.Ask != nil {
		out.Request = encodeAsk(m.Ask)
	}
	if m.Reply != nil {
		out.Reply = encodeReply(m.Reply)
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_RateLimit{RateLimit: out}}
}

func encodeLimits(limits []ratelimit.Limit) []*peerpb.ServerLimit {
	out := make([]*peerpb.ServerLimit, len(limits))
	for i, l := range limits {
		out[i] = &peerpb.ServerLimit{
			Id: l.Server.ID, Incarnation: l.Server.Incarnation, Named: l.Named, Rate: float64(l.Rate), Version: l.Version,
		}
	}
	return out
}

func encodeServer(s serverstate.Server) *peerpb.LimitedServer {
	return &peerpb.LimitedServer{Id: s.ID, Incarnation: s.Incarnation}
}

func encodeAsk(a *ratelimit.Ask) *peerpb.PermitRequest {
	r := a.Request
	out := &peerpb.PermitRequest{
		Sequence: r.Sequence, Service: r.Service, Priority: uint32(max(r.Priority, 0)), Organisation: r.Organisation,
		AimWaitUs: microseconds(r.AimWait), MaxWaitUs: microseconds(r.MaxWait), Urgent: r.Urgent, Attempt: a.Attempt,
		Limits: encodeLimits(a.Limits),
	}
	for _, s := range r.Servers {
		out.Servers = append(out.Servers, encodeServer(s))
	}
	return out
}

func encodeReply(r *ratelimit.Reply) *peerpb.PermitReply {
	d := r.Decision
	out := &peerpb.PermitReply{
		Sequence: d.Sequence, Granted: d.Granted, Server: encodeServer(d.Server), ExpiresInUs: microseconds(d.ExpiresIn),
		RetryAfterUs: microseconds(d.RetryAfter), Reason: uint32(d.Reason), Attempt: r.Attempt, HeldUs: r.Held.Microseconds(),
	}
	for _, a := range d.AskAgain {
		out.Avoided = append(out.Avoided, &peerpb.AvoidedServer{Server: encodeServer(a.Server), ForUs: microseconds(a.For)})
	}
	return out
}

func microseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Microsecond) }

func decode(in *peerpb.RateLimit) ratelimit.Message {
	m := ratelimit.Message{
		Limits: decodeLimits(in.GetLimits()), Complete: in.GetComplete(), Pull: in.GetPull(), Waiting: bounded(in.GetWaiting()),
		Withdraw: bounded(in.GetWithdrawn()), Return: bounded(in.GetReturned()), Queued: bounded(in.GetQueued()),
		Unknown: bounded(in.GetUnknown()),
	}
	if r := in.GetRequest(); r != nil {
		m.Ask = decodeAsk(r)
	}
	if r := in.GetReply(); r != nil {
		m.Reply = decodeReply(r)
	}
	return m
}

func bounded[T any](list []T) []T { return list[:min(len(list), maxMessageEntries)] }

func decodeLimits(in []*peerpb.ServerLimit) []ratelimit.Limit {
	in = bounded(in)
	out := make([]ratelimit.Limit, len(in))
	for i, l := range in {
		out[i] = ratelimit.Limit{
			Server: serverstate.Server{ID: l.GetId(), Incarnation: l.GetIncarnation()}, Named: l.GetNamed(),
			Rate: ratelimit.Rate(l.GetRate()), Version: l.GetVersion(),
		}
	}
	return out
}

func decodeServer(in *peerpb.LimitedServer) serverstate.Server {
	return serverstate.Server{ID: in.GetId(), Incarnation: in.GetIncarnation()}
}

func decodeAsk(in *peerpb.PermitRequest) *ratelimit.Ask {
	a := &ratelimit.Ask{Attempt: in.GetAttempt(), Limits: decodeLimits(in.GetLimits()), Request: ratelimit.Request{
		Sequence: in.GetSequence(), Service: in.GetService(), Priority: int(in.GetPriority()), Organisation: in.GetOrganisation(),
		AimWait: duration(in.GetAimWaitUs()), MaxWait: duration(in.GetMaxWaitUs()), Urgent: in.GetUrgent(),
	}}
	for _, s := range bounded(in.GetServers()) {
		a.Request.Servers = append(a.Request.Servers, decodeServer(s))
	}
	return a
}

func decodeReply(in *peerpb.PermitReply) *ratelimit.Reply {
	r := &ratelimit.Reply{Attempt: in.GetAttempt(), Held: signedDuration(in.GetHeldUs()), Decision: ratelimit.Decision{
		Sequence: in.GetSequence(), Granted: in.GetGranted(), Server: decodeServer(in.GetServer()),
		ExpiresIn: duration(in.GetExpiresInUs()), RetryAfter: duration(in.GetRetryAfterUs()), Reason: ratelimit.Reason(in.GetReason()),
	}}
	for _, a := range bounded(in.GetAvoided()) {
		r.Decision.AskAgain = append(r.Decision.AskAgain, ratelimit.Avoid{Server: decodeServer(a.GetServer()), For: duration(a.GetForUs())})
	}
	return r
}

func signedDuration(us int64) time.Duration {
	limit := int64(maxWireDuration / time.Microsecond)
	return time.Duration(min(max(us, -limit), limit)) * time.Microsecond
}

func duration(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxWireDuration/time.Microsecond))) * time.Microsecond
}
