package main

import (
	"fmt"
	"strings"
)

// A siteProfile varies the settings object and the conditions of one simulated instance.
type siteProfile struct {
	balancers, rank  int
	attempts         int
	cancel, probes   bool
	retryAfter       bool
	secondCopies     bool
	subscribed       bool // the worker list comes only to subscribers
	whenAbsent       string
	mayLoad          bool
	loadsAnyway      float64 // with loadRatio and loadWindowMs, the ration of loads
	loadRatio        float64
	loadWindowMs     int
	coldMs, tipMs    int
	coldShare        float64
	tipMultiple      float64
	idleLifeMs       int
	weights          string
	tenants          string
	lateWorth        float64
	workers          int
	functions        int
	callsPerSecond   int
	faultsPerMinute  int
	restartsPerMin   int
	stepMs           int  // mean time between two rounds
	startCold        bool // all workers have just started
	reportEverything bool
}

// settings returns the settings object as the simulator writes it.
func (p siteProfile) settings() string {
	discovery := "pushed"
	if p.subscribed {
		discovery = "on_request"
	}
	class := func(name, effect, scope string, aim, limit, span int, worth float64, stream bool) string {
		return fmt.Sprintf(`{"name":%q,"aimMs":%d,"hardLimitMs":%d,"worth":%g,"lateWorth":%g,"effect":%q,`+
			`"dedupScope":%q,"memorySpanMs":%d,"stream":%t}`, name, aim, limit, worth, p.lateWorth, effect, scope, span,
			stream)
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
		p.balancers, p.rank, p.attempts, p.cancel, p.probes, p.retryAfter, p.secondCopies, classes, p.tenants,
		discovery, p.weights, p.idleLifeMs, p.loadRatio, p.loadWindowMs, p.loadsAnyway, p.mayLoad, p.whenAbsent,
		p.coldMs, p.coldShare, p.tipMs, p.tipMultiple)
}

// siteProfiles are the instances that the recording plays, in their order.
func siteProfiles() []siteProfile {
	base := siteProfile{
		balancers: 1, attempts: 4, cancel: true, probes: true, retryAfter: true, secondCopies: true,
		whenAbsent: "load", coldMs: 6000, tipMs: 2000, coldShare: 0.25, tipMultiple: 3, idleLifeMs: 9000,
		weights: "silent", lateWorth: 0.2, workers: 8, functions: 12, callsPerSecond: 60, faultsPerMinute: 20,
		restartsPerMin: 6, stepMs: 12, reportEverything: true,
	}
	vary := func(change func(p *siteProfile)) siteProfile {
		p := base
		change(&p)
		return p
	}
	return []siteProfile{
		base,
		vary(func(p *siteProfile) { p.secondCopies, p.callsPerSecond = false, 90 }),
		vary(func(p *siteProfile) {
			p.whenAbsent, p.mayLoad, p.loadsAnyway, p.loadRatio, p.loadWindowMs = "miss", true, 3, 0.05, 2000
		}),
		vary(func(p *siteProfile) { p.subscribed, p.cancel, p.secondCopies, p.workers = true, false, false, 5 }),
		vary(func(p *siteProfile) { p.balancers, p.rank, p.workers, p.weights = 300, 17, 20, "rough" }),
		vary(func(p *siteProfile) {
			p.tenants = `{"share":0.5,"quotaPerS":12},{"share":0.3,"quotaPerS":4},{"share":0.2,"quotaPerS":0.5}`
			p.callsPerSecond, p.balancers, p.workers = 120, 2, 4
		}),
		vary(func(p *siteProfile) { p.startCold, p.coldMs, p.restartsPerMin, p.balancers = true, 9000, 20, 4 }),
		vary(func(p *siteProfile) {
			p.whenAbsent, p.mayLoad, p.subscribed, p.weights, p.idleLifeMs = "miss", true, true, "exact", 1500
			p.loadWindowMs = 0
		}),
		vary(func(p *siteProfile) { p.faultsPerMinute, p.callsPerSecond, p.workers, p.lateWorth = 60, 100, 6, 1 }),
		vary(func(p *siteProfile) { p.idleLifeMs, p.functions, p.stepMs, p.balancers = 700, 40, 40, 12 }),
		vary(func(p *siteProfile) {
			p.tipMultiple, p.tipMs, p.startCold, p.attempts, p.retryAfter = 0, 0, true, 1, false
		}),
		vary(func(p *siteProfile) { p.workers, p.callsPerSecond, p.functions, p.faultsPerMinute = 2, 150, 3, 30 }),
		vary(func(p *siteProfile) {
			p.workers, p.functions, p.callsPerSecond, p.balancers, p.faultsPerMinute = 14, 4, 160, 40, 40
		}),
		vary(func(p *siteProfile) { p.attempts, p.secondCopies, p.stepMs, p.reportEverything = 2, false, 25, false }),
		vary(func(p *siteProfile) {
			p.balancers, p.rank, p.subscribed, p.startCold, p.tipMs, p.weights = 60, 3, true, true, 600, "rough"
		}),
		vary(func(p *siteProfile) { // pressed workers that many schedulers share
			p.balancers, p.rank, p.workers, p.callsPerSecond, p.functions, p.weights = 300, 299, 5, 200, 30, "rough"
		}),
	}
}
