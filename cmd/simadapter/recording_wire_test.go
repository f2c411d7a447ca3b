package main

// Values in the simulator's lines, named after their counterparts in package routing. They are repeated here instead of
// imported from internal/simwire, so that an accidental change there shows up as a difference from the recording.

// Reply messages: one for each action of a Router, and one for the failure of an instance.
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

// wireOutcomes lists all outcomes. The order must not change, because outcomes are drawn by index.
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

// Start types. A response encodes the start type and the number of requests in flight for the function in one number:
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
	wireRetryFlag = 2 // the client has marked the request as a retry
)

// wireAbsent denotes an absent value.
const wireAbsent = "-"
