package ratelimit

import "time"

// Times of the protocol.
const (
	// TickInterval is the time between calls of Node.Tick.
	TickInterval = 25 * time.Millisecond
	// takeoverHold is the time for which a new owner grants nothing. The views of two VMs
	// differ for up to two heartbeats of 500 ms, in which the earlier owner still grants.
	takeoverHold = time.Second
	// stallLimit is the time without a tick after which an owner acts as a new one. Peers
	// suspect a VM after 2 s, and no other one is the owner before that.
	stallLimit = time.Second
	// ownerTimeout is the time without an answer after which a VM does without the owner.
	// It is longer, up to maxOwnerTimeout, for an owner whose answers take long: if VMs that
	// are slow by 300 ms do without it, a server gets nearly all that the operator allows.
	ownerTimeout    = 250 * time.Millisecond
	maxOwnerTimeout = time.Second
	// uselessTime is the time for which a VM does not ask an owner whose answers take longer
	// than a permit lasts. Each permit that it gets there is lost for the others.
	uselessTime = 20 * time.Second
	// askInterval is the time between unanswered asks, so that two get lost before a VM
	// does without the owner. confirmInterval is that between confirmed ones.
	askInterval     = 100 * time.Millisecond
	confirmInterval = 200 * time.Millisecond
	// waiterTimeout is the time after which the owner drops a request that its VM no
	// longer repeats: two repeats may get lost.
	waiterTimeout = 3*confirmInterval + 50*time.Millisecond
	// decisionRetention is the time for which an owner takes permits back. Those of a VM
	// that is slow by 300 ms come back from an owner that is so too after 1.2 s; at a limit of
	// 0.1, a server got nothing for 40 s when these were lost. Tokens that come back after the
	// lifetime of a permit add to those of a later period, so that only one in
	// lateReturnInterval counts, the period of the operator.
	decisionRetention  = 3 * time.Second
	lateReturnInterval = 4 * time.Second
	// reviewInterval is the time between reviews of the bounds of waiting requests.
	reviewInterval = 100 * time.Millisecond
	// retryWithoutOwner is the time in which a silent owner is suspected and replaced.
	retryWithoutOwner = 3 * time.Second
)

// Rates and tokens.
const (
	// partitionRatio raises the part of a rate that is granted in the larger part of a
	// partition, so that a fifth of the fleet may be down without a loss of rate. The sum over
	// all parts is at most this.
	partitionRatio = 1.25
	// floorRatio is the part of a rate that all VMs together use without an owner.
	floorRatio = 0.5
	// burstTime is the time for which a bucket collects tokens beyond the first. Callers
	// come at random, and a VM asks again with a delay.
	burstTime = 0.25
	// maxDebt is the number of tokens that urgent requests may take in advance.
	maxDebt = 2
	// debtHold is the time after takeoverHold for which a new owner grants nothing in
	// advance. Owners that restart every 1.5 s otherwise exceed a limit of 0.1.
	debtHold = 3 * time.Second
	// requestCharge is what a request advances the virtual time of its organisation. It
	// limits the debt of an organisation, which flowcontrol counts in tokens, to four
	// requests.
	requestCharge = 4096
)

// Limits on what is kept and sent.
const (
	maxMessageLimits    = 512
	maxMessageSequences = 512
	maxCandidates       = 64
	maxPriority         = 15
	maxServices         = 1024
	// maxPending bounds the requests of a VM without a decision, maxWaiting those at an
	// owner for one service and priority, and maxDecided the decisions that it remembers.
	maxPending = 4096
	maxWaiting = 4096
	maxDecided = 16384
	maxAvoids  = 8192
	maxAskers  = 16384
	maxNameLen = 256
)

// Spread of asks over time.
const (
	// askersPeriod is the time over which the VMs that compete are counted.
	askersPeriod = 5 * time.Second
	// minAskRate is the number of asks a second that an owner takes even if few of them
	// get a permit.
	minAskRate = 200
	// maxAskSpread bounds how long a VM does not ask after a permit could be free, which
	// is lost time when it has become the only one with work.
	maxAskSpread = 2 * time.Second
	minAskAgain  = time.Millisecond
	// minRetrySpread is the least time over which denied callers come back.
	minRetrySpread = 100 * time.Millisecond
)

// Exchange of records.
const (
	// fanout is the number of peers to which a VM sends a record that it did not know.
	fanout = 3
	// spreadInterval is the time between two records of a server to peers. A server may
	// name another rate in each answer.
	spreadInterval = 250 * time.Millisecond
	// syncInterval is the time between two messages to a peer because its digest differs.
	syncInterval = 500 * time.Millisecond
	pullInterval = 200 * time.Millisecond
	// startGrace is the time in which a VM asks nine others for all records. If none knows
	// them, the whole fleet starts.
	startGrace = 500 * time.Millisecond
)
