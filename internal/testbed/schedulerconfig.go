package testbed

import (
	"encoding/json"
	"fmt"
)

// SchedulerConfig is the configuration file that the platform writes for a scheduler.
type SchedulerConfig struct {
	Bulletin string          `json:"bulletin"` // address of the list service
	Known    json.RawMessage `json:"known"`    // endpoint list at the start, as EndpointFeed returns it
	Limits   SchedulerLimits `json:"limits"`
	Listen   string          `json:"listen"` // address for the front
	Name     string          `json:"name"`
	Seed     string          `json:"seed"`     // 16 hexadecimal digits
	Settings json.RawMessage `json:"settings"` // as PlatformSettings.JSON returns it
}

// SchedulerLimits is what the platform lets a scheduler use.
type SchedulerLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// PlatformSettings is the platform's settings of a scheduler, as far as they differ between the schedulers of the testbed
// and of the program's tests.
type PlatformSettings struct {
	Schedulers         int // number of schedulers
	Rank               int // of this scheduler among them
	IdleCloseMillis    int // idle time after which a connection to a worker is closed
	InstanceIdleMillis int // idle time after which a worker unloads an instance of a function
}

// platformSettingsFormat is the text of PlatformSettings, with a verb for each of its fields in their order.
const platformSettingsFormat = `{"balancers":%d,"rank":%d,"az":0,"tickMs":4,"dcs":["here"],"shapes":["std"],
 "ceilings":{"attemptsCap":4,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":500,
  "multiplex":100,"idleCloseMs":%d,"connectTimeoutMs":250},
 "classes":[
  {"name":"consulta","aimMs":750,"hardLimitMs":3000,"worth":1,"lateWorth":0.1,"effect":"read_like"},
  {"name":"registro-horas","aimMs":600,"hardLimitMs":2500,"worth":3,"lateWorth":0.2,
   "effect":"idempotency_key","dedupScope":"all","memorySpanMs":2500},
  {"name":"certificado","aimMs":750,"hardLimitMs":2500,"worth":2,"lateWorth":0.3,"effect":"non_idempotent"}],
 "familyInfo":{"idleLifeMs":%d,"saysCompany":true,"whenAbsent":"load"},
 "report":{"fields":["util"],"how":"piggyback"},
 "safety":{"answerSlackMs":16,"coldMs":17000,"coldShare":0.25,"overloadForMs":2000,"stopSendingWithinMs":1000,
  "tipMultiple":3}}`

// JSON returns the settings as the settings object of a SchedulerConfig.
func (s PlatformSettings) JSON() []byte {
	return fmt.Appendf(nil, platformSettingsFormat, s.Schedulers, s.Rank, s.IdleCloseMillis, s.InstanceIdleMillis)
}

// fleetSettings returns the platform's settings of a scheduler of a fleet, real or virtual.
func fleetSettings(schedulers, rank int) PlatformSettings {
	return PlatformSettings{
		Schedulers:         schedulers,
		Rank:               rank,
		IdleCloseMillis:    15_000,
		InstanceIdleMillis: 30_000,
	}
}
