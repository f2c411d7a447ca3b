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

// Rules holds the operators' rules that are applied to requests.
type Rules struct {
	table       *match.Table
	slotByParam map[string]int // index in fields.ruleParams of each parameter that rules read
}

// NewRules returns the rules of a table, or nil if the table is nil or empty.
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

// Counts returns the number of evaluations of each rule by result. It returns nil if r is nil.
func (r *Rules) Counts() []match.RuleCounts {
	if r == nil {
		return nil
	}
	return r.table.Counts()
}

// paramSlots returns slotByParam, or nil if r is nil.
func (r *Rules) paramSlots() map[string]int {
	if r == nil {
		return nil
	}
	return r.slotByParam
}

// SetRules sets the rules for requests whose parameters are completed from now on. Earlier requests keep the decisions
// of the previous rules. Nil means no rules.
func (s *Server) SetRules(rules *Rules) { s.rules = rules }

// Rules returns the rules in use, or nil if there are none.
func (s *Server) Rules() *Rules { return s.rules }

// decision holds the affinity key and the route that rules set for a request.
type decision struct {
	affinity string // "" if no rule set it
	route    string // "" if no rule set it
}

// applyRules evaluates the rules for a request. If they set a class, it replaces the class in the request's path.
func (s *Server) applyRules(request *fields, conn *conn) decision {
	if s.rules == nil {
		return decision{}
	}
	result := s.rules.table.Match(toMatchRequest(request, conn.clientAddress()))
	for _, failed := range result.Failed {
		// The reason may contain client input. As part of the message it would bypass the rate limit for each message.
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

// toMatchRequest converts a request to the input of rules. The request has not been validated: a malformed field is
// zero or partially parsed here, and the request is rejected later regardless of the rules.
func toMatchRequest(request *fields, clientAddress string) *match.Request {
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

// clientAddress returns the client's IP address, or "" if it is unknown.
func (c *conn) clientAddress() string {
	if c.clientIP == "" && c.socket != nil {
		if address, err := netip.ParseAddrPort(c.socket.RemoteAddr().String()); err == nil {
			c.clientIP = address.Addr().Unmap().String()
		}
	}
	return c.clientIP
}
