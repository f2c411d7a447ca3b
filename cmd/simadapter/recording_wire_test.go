package main

// Values of the simulator's lines, named after what they stand for in package routing. They are written out here, not
// taken from internal/simwire, so that a changed value there shows as a difference from the recording.

// Replies: one for each action of a Router, and that an instance failed.
const (
	wireSend           = "try"
	wireCancel         = "recall"
	wireReject         = "say_no"
	wireFail           = "surrender"
	wireSetTimer       = "arm"
	wireProbe          = "ping"
	wireLoad           = "pin_up"
	wireUnload         = "unmount"
	wireSubscribe      = "observe"
	wireFetchList      = "resolve"
	wireInstanceFailed = "give_in"
)

// Outcomes of attempts, probes and loads.
const (
	wireServed          = "delivered"
	wireErrored         = "app_error"
	wireShed            = "shed"
	wireTimedOut        = "expired"
	wireConnectFailed   = "dial_failed"
	wireConnectionReset = "dropped"
	wireCanceled        = "revoked"
	wireNotSent         = "unused"
	wireNotLoaded       = "empty"
)

// wireOutcomes has all outcomes; draws from it depend on their order.
var wireOutcomes = []string{
	wireServed, wireErrored, wireShed, wireTimedOut, wireConnectFailed, wireConnectionReset, wireCanceled, wireNotSent,
	wireNotLoaded,
}

// States of a worker.
const (
	wireGone = iota
	wireReady
	wireDraining
)

// Kinds of an endpoint list.
const (
	wireListChanges = iota
	wireListFull
	wireListCached
	wireListFailed
)

// Start types. An answer has its start type and the number of requests in flight for the function in one number:
// startType + wireStartInfoRadix*inFlight.
const (
	wireStartUnknown = iota
	wireWarmStart
	wireColdStart
	wireJoinedColdStart
	wireLoadFailed

	wireStartInfoRadix = 8
)

// Flags of a request.
const (
	wireNoFlags   = 0
	wireRetryFlag = 2 // its client marked it as a retry
)

// wireUnknown stands for a value that is not known.
const wireUnknown = "-"
