// Package platform generates the platform's file for a scheduler: its configuration, including its settings.
package platform

import (
	"encoding/json"
	"fmt"
)

// Config is the configuration file that the platform writes for a scheduler.
type Config struct {
	ListService string          `json:"bulletin"` // address of the list service
	Known       json.RawMessage `json:"known"`    // endpoint list at the start, as standin.EndpointFeed returns it
	Limits      Limits          `json:"limits"`
	Listen      string          `json:"listen"` // address on which it accepts connections from the front
	Name        string          `json:"name"`
	Seed        string          `json:"seed"`     // 16 hexadecimal digits
	Settings    json.RawMessage `json:"settings"` // as Settings.JSON returns it
}

// Limits is the resource limits of a scheduler.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Settings is the platform's settings of a scheduler that differ between the testbed and the program's tests. All other
// settings are constant.
type Settings struct {
	Schedulers         int  // number of schedulers
	Rank               int  // rank of this scheduler
	IdleCloseMillis    int  // idle time after which a connection to a worker is closed
	InstanceIdleMillis int  // idle time after which a worker unloads an instance of a function
	HealthChecks       bool // schedulers may send health checks to workers
}

// settingsFormat is the format string of Settings.JSON.
const settingsFormat = `{"balancers":%d,"rank":%d,"az":0,"tickMs":4,"dcs":["here"],"shapes":["std"],
 "ceilings":{"attemptsCap":4,"cancel":true,"probes":%t,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":500,
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

// JSON returns the value of Config.Settings.
func (s Settings) JSON() []byte {
	return fmt.Appendf(nil, settingsFormat, s.Schedulers, s.Rank, s.HealthChecks, s.IdleCloseMillis, s.InstanceIdleMillis)
}

// MaxGossipMessagesPerSecond is the limit on the messages that a member sends, as the operator's file sets it by default.
const MaxGossipMessagesPerSecond = 20

// FleetSettings returns the platform's settings of a scheduler of a fleet, real or virtual.
func FleetSettings(schedulers, rank int) Settings {
	return Settings{
		Schedulers:         schedulers,
		Rank:               rank,
		IdleCloseMillis:    15_000,
		InstanceIdleMillis: 30_000,
		HealthChecks:       true,
	}
}
