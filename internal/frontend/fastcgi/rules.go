package fastcgi

import (
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/rules/match"
)

// Rules are the operators' rules that decide on requests.
type Rules struct {
	table       *match.Table
	slotByParam map[string]int // where a request's fields hold the parameters that rules read
}

// NewRules returns the rules of a table, or nil if it has none.
func NewRules(table *match.Table) *Rules {
	if table == nil || table.Len() == 0 {
		return nil
	}
	rules := &Rules{table: table, slotByParam: map[string]int{}}
	for slot, name := range table.Slots() {
		rules.slotByParam[name] = slot
	}
	return rules
}

// Counts returns how often each rule was evaluated so far, and with which result; nil for nil rules.
func (r *Rules) Counts() []match.RuleCounts {
	if r == nil {
		return nil
	}
	return r.table.Counts()
}

// paramSlots is where parameters that rules read go; nil for nil rules.
func (r *Rules) paramSlots() map[string]int {
	if r == nil {
		return nil
	}
	return r.slotByParam
}

// SetRules sets the rules for requests whose parameters are complete from now on; nil means none. Earlier requests
// keep what was decided for them.
func (s *Server) SetRules(rules *Rules) { s.rules = rules }

// Rules returns the rules in use; nil if there are none.
func (s *Server) Rules() *Rules { return s.rules }

// decision is what rules decided for a request beside its class.
type decision struct {
	affinity string // "" if no rule set it
	route    string // "" if no rule set it
}

// applyRules evaluates the rules for a request. The class that they choose replaces the one in the request's path.
func (s *Server) applyRules(request *fields, conn *conn) decision {
	if s.rules == nil {
		return decision{}
	}
	result := s.rules.table.Match(matchRequest(request, conn.clientAddress()))
	for _, failed := range result.Failed {
		// The reason may hold what the client sent: within the message it would get around the rate limit.
		name, reason, _ := strings.Cut(failed, ": ")
		s.rulesLog.Warn(s.loop.Now(), "rule failed: "+name, errors.New(reason))
	}
	if result.Class != "" {
		request.path = classPath + result.Class
	}
	if len(result.Rules) > 0 {
		s.rulesLog.Log.WithField("id", request.id).WithField("rules", result.Rules).WithField("class", result.Class).
			WithField("route", result.Route).WithField("labels", result.Labels).Debug("rules matched")
	}
	return decision{affinity: result.Key, route: result.Route}
}

// matchRequest is a request as rules see it. It has not been validated: a malformed field has its zero value here, or
// what could be read of it, and has the request rejected later, whatever rules decide.
func matchRequest(request *fields, clientAddress string) *match.Request {
	class, underClassPath := strings.CutPrefix(request.path, classPath)
	if !underClassPath {
		class = ""
	}
	var spec dispatch.Call
	_ = parseSpec(request.spec, &spec)
	budget, _ := request.budget()
	contentLen, _ := strconv.Atoi(request.contentLength)
	return &match.Request{
		Class:          class,
		Handler:        request.function,
		Path:           request.path,
		Method:         request.method,
		IdempotencyKey: request.idempotencyKey,
		ID:             request.id,
		Client:         clientAddress,
		TimeLeft:       budget,
		BodyBytes:      max(contentLen, 0),
		MemoryMB:       spec.MemoryMB,
		Concurrency:    spec.Concurrency,
		LocalTime:      time.Now(),
		Params:         request.ruleParams,
	}
}

// clientAddress returns the client's IP address; "" if it is not known.
func (c *conn) clientAddress() string {
	if c.clientIP == "" && c.socket != nil {
		if address, err := netip.ParseAddrPort(c.socket.RemoteAddr().String()); err == nil {
			c.clientIP = address.Addr().Unmap().String()
		}
	}
	return c.clientIP
}
