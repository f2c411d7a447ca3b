// Package deployment parses the settings object that a scheduler receives from the simulator or its configuration file.
package deployment

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"calicohill/routing"
)

// Settings contains the settings of routing decisions and of the connections to workers.
type Settings struct {
	routing.Settings

	ClassNames     []string      // indexed by class number
	Zones          []string      // indexed by zone number
	WorkerKinds    []string      // indexed by worker kind
	PipelineDepth  int           // maximum number of attempts in flight on a connection to a worker
	IdleCloseAfter time.Duration // time after which an idle connection to a worker is closed
	ConnectTimeout time.Duration // for connections to workers
}

// Values of string settings.
const (
	discoveryOnRequest = "on_request" // endpoint lists are sent only to subscribers
	reportPiggyback    = "piggyback"  // load reports are part of responses
	reportPull         = "pull"       // load reports are requested by probes
	absentIsMiss       = "miss"       // a request for a function that is not loaded fails
	weightsSilent      = "silent"     // the list service reports no weights
)

// maxDuration is the maximum duration in settings.
const maxDuration = 365 * 24 * time.Hour

// Parse parses a settings object. The error identifies the invalid JSON value, class, tenant or duration. The recording
// of the simulator's adapter contains texts of these errors.
func Parse(text []byte) (Settings, error) {
	var parsed object
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	var times durationParser
	settings := Settings{
		Settings:      routingSettings(&parsed, &times),
		Zones:         parsed.Zones,
		WorkerKinds:   parsed.Kinds,
		PipelineDepth: parsed.Ceilings.Multiplex,
	}
	var err error
	if settings.Classes, err = parseClasses(&parsed, &times); err != nil {
		return Settings{}, err
	}
	for _, class := range parsed.Classes {
		settings.ClassNames = append(settings.ClassNames, class.Name)
	}
	if settings.Tenants, err = parseTenants(&parsed); err != nil {
		return Settings{}, err
	}
	settings.IdleCloseAfter = times.parse(parsed.Ceilings.IdleCloseMs)
	settings.ConnectTimeout = times.parse(parsed.Ceilings.ConnectTimeoutMs)
	if times.err != nil {
		return Settings{}, times.err
	}
	return settings, nil
}

// routingSettings returns the settings of routing decisions except classes and tenants.
func routingSettings(parsed *object, times *durationParser) routing.Settings {
	return routing.Settings{
		Schedulers:     parsed.Balancers,
		Rank:           parsed.Rank,
		Zone:           parsed.AZ,
		Tick:           times.parse(parsed.TickMs),
		OverQuotaValue: parsed.OverShareWorth,

		MaxAttempts:     parsed.Ceilings.AttemptsCap,
		MaxOpenRequests: parsed.Ceilings.OpenCap,
		HedgingAllowed:  parsed.Ceilings.SecondCopies,
		CancelAllowed:   parsed.Ceilings.Cancel,
		ProbeAllowed:    parsed.Ceilings.Probes,
		SendsRetryAfter: parsed.Ceilings.RetryAfter,
		MaxRetryAfter:   times.parse(parsed.Ceilings.MaxRetryAfterMs),

		SubscriptionRequired:  parsed.Discovery == discoveryOnRequest,
		UnsubscribedListDelay: times.parse(parsed.Safety.AskWithinMs),
		ReportsInAnswers:      parsed.Report.How == reportPiggyback,
		ReportsInProbes:       parsed.Report.How == reportPiggyback || parsed.Report.How == reportPull,

		AnswerSlack:       times.parse(parsed.Safety.AnswerSlackMs),
		DrainGrace:        times.parse(parsed.Safety.StopSendingWithinMs),
		SlowStartFraction: parsed.Safety.ColdShare,
		SlowStartDuration: times.parse(parsed.Safety.ColdMs),
		OverloadMultiple:  parsed.Safety.TipMultiple,
		OverloadDuration:  times.parse(parsed.Safety.OverloadForMs),

		InstanceKeepAlive:      times.parse(parsed.FamilyInfo.IdleLifeMs),
		LoadOnDemand:           parsed.FamilyInfo.WhenAbsent != absentIsMiss,
		AnswersReportStartType: parsed.FamilyInfo.SaysWarm,
		AnswersReportInFlight:  parsed.FamilyInfo.SaysCompany,
		LoadAllowed:            parsed.FamilyInfo.MayLoad,
		LoadBudgetBase:         parsed.FamilyInfo.LoadsAnyway,
		LoadBudgetPerRequest:   parsed.FamilyInfo.LoadRatio,
		LoadBudgetWindow:       times.parse(parsed.FamilyInfo.LoadWindowMs),
		LoadTimeout:            times.parse(parsed.FamilyInfo.AnswerWithinMs),
		WorkerMemoryMB:         parsed.FamilyInfo.RAMMbByKind,

		CostWeights: routing.CostWeights{
			WastedWork:  parsed.Fees.Waste,
			LateFailure: parsed.Fees.LateFail,
			StoreFetch:  parsed.Fees.Origin,
			CrossZone:   parsed.Fees.CrossZone,
			Probe:       parsed.Fees.Probe,
			IdleMemory:  parsed.FamilyInfo.IdlePrice,
		},
		WeightsReported:    parsed.Weights != "" && parsed.Weights != weightsSilent,
		ClientsMarkRetries: parsed.Callers.MarksRetry,
	}
}

var idempotencyByName = map[string]routing.Idempotency{
	"read_like":       routing.Idempotent,
	"idempotency_key": routing.IdempotentByKey,
	"non_idempotent":  routing.NonIdempotent,
}

var deduplicationScopeByName = map[string]routing.DeduplicationScope{
	"":     routing.ScopeAll,
	"all":  routing.ScopeAll,
	"zone": routing.ScopeZone,
	"cell": routing.ScopeCell,
}

// parseClasses returns the request classes, indexed by class number.
func parseClasses(parsed *object, times *durationParser) ([]routing.Class, error) {
	var classes []routing.Class
	for i, class := range parsed.Classes {
		idempotency, ok := idempotencyByName[class.Effect]
		if !ok {
			return nil, fmt.Errorf("settings: class %d: unknown effect %q", i, class.Effect)
		}
		scope, ok := deduplicationScopeByName[class.DedupScope]
		if !ok {
			return nil, fmt.Errorf("settings: class %d: unknown dedupScope %q", i, class.DedupScope)
		}
		classes = append(classes, routing.Class{
			LatencyObjective:    times.parse(class.AimMs),
			Deadline:            times.parse(class.HardLimitMs),
			PriorityWeight:      class.Worth,
			LateValue:           class.LateWorth,
			Idempotency:         idempotency,
			DeduplicationScope:  scope,
			DeduplicationWindow: times.parse(class.MemorySpanMs),
			Streaming:           class.Stream,
		})
	}
	return classes, nil
}

// parseTenants returns the tenants, indexed by tenant number.
func parseTenants(parsed *object) ([]routing.Tenant, error) {
	var tenants []routing.Tenant
	for i, tenant := range parsed.Tenants {
		if tenant.QuotaPerS < 0 || tenant.Share < 0 {
			return nil, fmt.Errorf("settings: tenant %d: share %g, %g a second", i, tenant.Share, tenant.QuotaPerS)
		}
		tenants = append(tenants, routing.Tenant{QuotaFraction: tenant.Share, RequestsPerSecond: tenant.QuotaPerS})
	}
	return tenants, nil
}

// durationParser converts durations in milliseconds and records the first error.
type durationParser struct {
	err error
}

// parse converts a duration in milliseconds, rounded to a nanosecond.
func (p *durationParser) parse(ms float64) time.Duration {
	if p.err == nil && (ms < 0 || ms > float64(maxDuration/time.Millisecond)) {
		p.err = fmt.Errorf("settings: a time of %g ms", ms)
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
