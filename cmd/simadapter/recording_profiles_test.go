package main

import (
	"fmt"
	"strings"
)

// streamingClass is the index of the class with streamed responses. It is the last of classCount classes.
const (
	streamingClass = 5
	classCount     = 6
)

// instanceProfile contains the settings and the load parameters of one simulated instance. The settings are named as in
// routing.Settings. The method settings maps them to the simulator's keys.
type instanceProfile struct {
	schedulers, rank     int
	maxAttempts          int
	cancelAllowed        bool
	probeAllowed         bool
	honorsRetryAfter     bool
	hedgingAllowed       bool
	subscriptionRequired bool   // the worker list is sent only to subscribers
	whenNotLoaded        string // behavior of a worker without the function: "load" or "miss"
	loadAllowed          bool
	loadBudgetBase       float64 // load budget, with loadBudgetPerRequest and loadBudgetWindowMs
	loadBudgetPerRequest float64
	loadBudgetWindowMs   int
	slowStartMs          int
	slowStartFraction    float64
	overloadMs           int
	overloadMultiple     float64
	keepAliveMs          int
	weights              string // accuracy of the reported worker weights: "silent", "rough" or "exact"
	tenants              string // as JSON; empty if there are none
	lateValue            float64

	workers           int
	functions         int
	requestsPerSecond int
	faultsPerMinute   int
	restartsPerMinute int
	stepMs            int  // mean time between rounds
	startCold         bool // all workers start at the beginning
	frequentReports   bool // twice as many responses include a load report
}

// settings returns the settings as JSON in the simulator's format.
func (p instanceProfile) settings() string {
	discovery := "pushed"
	if p.subscriptionRequired {
		discovery = "on_request"
	}
	class := func(
		name, idempotency, scope string, objectiveMs, deadlineMs, windowMs int, weight float64, stream bool,
	) string {
		return fmt.Sprintf(`{"name":%q,"aimMs":%d,"hardLimitMs":%d,"worth":%g,"lateWorth":%g,"effect":%q,`+
			`"dedupScope":%q,"memorySpanMs":%d,"stream":%t}`, name, objectiveMs, deadlineMs, weight, p.lateValue,
			idempotency, scope, windowMs, stream)
	}
	classes := strings.Join([]string{
		class("lookup", "read_like", "all", 500, 2000, 0, 1, false),
		class("post", "non_idempotent", "all", 600, 2500, 0, 2, false),
		class("put-all", "idempotency_key", "all", 500, 2500, 2500, 3, false),
		class("put-zone", "idempotency_key", "zone", 400, 2000, 1200, 2, false),
		class("put-cell", "idempotency_key", "cell", 700, 3000, 900, 2, false),
		class("follow", "read_like", "all", 300, 4000, 0, 1, true),
	}, ",")
	return fmt.Sprintf(`{"balancers":%d,"rank":%d,"az":0,"tickMs":4,"ceilings":{"attemptsCap":%d,"openCap":900,`+
		`"cancel":%t,"probes":%t,"retryAfter":%t,"secondCopies":%t,"maxRetryAfterMs":500},"classes":[%s],`+
		`"tenants":[%s],"overShareWorth":0.1,"callers":{"marksRetry":true},"discovery":%q,"weights":%q,`+
		`"familyInfo":{"answerWithinMs":10000,"idleLifeMs":%d,"idlePrice":0.15,"loadRatio":%g,"loadWindowMs":%d,`+
		`"loadsAnyway":%g,"mayLoad":%t,"ramMbByKind":[4096,8192],"saysCompany":true,"saysWarm":true,"whenAbsent":%q},`+
		`"fees":{"crossZone":0.01,"lateFail":0.027,"origin":0.03,"probe":0.008,"waste":0.025},`+
		`"report":{"how":"piggyback"},"safety":{"answerSlackMs":16,"askWithinMs":10000,"coldMs":%d,"coldShare":%g,`+
		`"overloadForMs":%d,"stopSendingWithinMs":1000,"tipMultiple":%g}}`,
		p.schedulers, p.rank, p.maxAttempts, p.cancelAllowed, p.probeAllowed, p.honorsRetryAfter, p.hedgingAllowed,
		classes, p.tenants, discovery, p.weights, p.keepAliveMs, p.loadBudgetPerRequest, p.loadBudgetWindowMs,
		p.loadBudgetBase, p.loadAllowed, p.whenNotLoaded,
		p.slowStartMs, p.slowStartFraction, p.overloadMs, p.overloadMultiple)
}

// instanceProfiles returns the profiles of the recorded instances, in start order.
func instanceProfiles() []instanceProfile {
	base := instanceProfile{
		schedulers: 1, maxAttempts: 4, cancelAllowed: true, probeAllowed: true, honorsRetryAfter: true,
		hedgingAllowed: true, whenNotLoaded: "load", slowStartMs: 6000, overloadMs: 2000, slowStartFraction: 0.25, overloadMultiple: 3,
		keepAliveMs: 9000,
		weights:     "silent", lateValue: 0.2, workers: 8, functions: 12, requestsPerSecond: 60, faultsPerMinute: 20,
		restartsPerMinute: 6, stepMs: 12, frequentReports: true,
	}
	vary := func(change func(p *instanceProfile)) instanceProfile {
		varied := base
		change(&varied)
		return varied
	}
	return []instanceProfile{
		base,
		vary(func(p *instanceProfile) { p.hedgingAllowed, p.requestsPerSecond = false, 90 }),
		vary(func(p *instanceProfile) {
			p.whenNotLoaded, p.loadAllowed, p.loadBudgetBase, p.loadBudgetPerRequest = "miss", true, 3, 0.05
			p.loadBudgetWindowMs = 2000
		}),
		vary(func(p *instanceProfile) {
			p.subscriptionRequired, p.cancelAllowed, p.hedgingAllowed, p.workers = true, false, false, 5
		}),
		vary(func(p *instanceProfile) { p.schedulers, p.rank, p.workers, p.weights = 300, 17, 20, "rough" }),
		vary(func(p *instanceProfile) {
			p.tenants = `{"share":0.5,"quotaPerS":12},{"share":0.3,"quotaPerS":4},{"share":0.2,"quotaPerS":0.5}`
			p.requestsPerSecond, p.schedulers, p.workers = 120, 2, 4
		}),
		vary(func(p *instanceProfile) {
			p.startCold, p.slowStartMs, p.restartsPerMinute, p.schedulers = true, 9000, 20, 4
		}),
		vary(func(p *instanceProfile) {
			p.whenNotLoaded, p.loadAllowed, p.subscriptionRequired, p.weights = "miss", true, true, "exact"
			p.keepAliveMs, p.loadBudgetWindowMs = 1500, 0
		}),
		vary(func(p *instanceProfile) {
			p.faultsPerMinute, p.requestsPerSecond, p.workers, p.lateValue = 60, 100, 6, 1
		}),
		vary(func(p *instanceProfile) { p.keepAliveMs, p.functions, p.stepMs, p.schedulers = 700, 40, 40, 12 }),
		vary(func(p *instanceProfile) {
			p.overloadMultiple, p.overloadMs, p.startCold, p.maxAttempts, p.honorsRetryAfter = 0, 0, true, 1, false
		}),
		vary(func(p *instanceProfile) {
			p.workers, p.requestsPerSecond, p.functions, p.faultsPerMinute = 2, 150, 3, 30
		}),
		vary(func(p *instanceProfile) {
			p.workers, p.functions, p.requestsPerSecond, p.schedulers, p.faultsPerMinute = 14, 4, 160, 40, 40
		}),
		vary(func(p *instanceProfile) {
			p.maxAttempts, p.hedgingAllowed, p.stepMs, p.frequentReports = 2, false, 25, false
		}),
		vary(func(p *instanceProfile) {
			p.schedulers, p.rank, p.overloadMs, p.weights = 60, 3, 600, "rough"
			p.subscriptionRequired, p.startCold = true, true
		}),
		vary(func(p *instanceProfile) { // workers under pressure shared by many schedulers
			p.schedulers, p.rank, p.workers, p.requestsPerSecond, p.functions, p.weights = 300, 299, 5, 200, 30, "rough"
		}),
	}
}
