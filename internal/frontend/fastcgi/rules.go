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

// Rules is the rules that requests meet, or none.
type Rules struct {
	table       *match.Table
	slotByParam map[string]int
}

// NewRules returns the rules of a table; nil where it is empty.
func NewRules(t *match.Table) *Rules {
	if t == nil || t.Len() == 0 {
		return nil
	}
	r := &Rules{table: t, slotByParam: map[string]int{}}
	for i, name := range t.Slots() {
		r.slotByParam[name] = i
	}
	return r
}

// Counts is what became of each rule so far.
func (r *Rules) Counts() []match.Count {
	if r == nil {
		return nil
	}
	return r.table.Counts()
}

// Use has requests that come from now on meet these rules; nil is none. Those that are taken keep what they met.
func (s *Server) Use(r *Rules) { s.rules = r }

// Rules is the rules in use.
func (s *Server) Rules() *Rules { return s.rules }

const classPath = "/rpc/"

// decide has the rules decide what is theirs to decide: the class, by the path that stands for it, and what goes
// along with the call.
func (s *Server) applyRules(f *fields, c *conn) (affinity, route string) {
	class, under := strings.CutPrefix(f.path, classPath)
	if !under {
		class = ""
	}
	var d dispatch.Call
	_ = parseSpec(f.spec, &d) // a bad one is rejected after this, whatever rules make of it
	ms, _ := strconv.ParseUint(f.budgetMS, 10, 31)
	size, _ := strconv.Atoi(f.contentLength)
	q := match.Request{
		Class: class, Handler: f.function, Path: f.path, Method: f.method, OnceKey: f.idempotencyKey, ID: f.id, Client: c.clientAddress(),
		Budget: time.Duration(ms) * time.Millisecond, Body: max(size, 0), Memory: d.MemoryMB, Lanes: d.Concurrency, Local: time.Now(),
		Params: f.ruleParams,
	}
	got := s.rules.table.Match(&q)
	for _, failed := range got.Failed {
		// The reason may hold what the client sent: as a message it would get around the thinning out.
		name, reason, _ := strings.Cut(failed, ": ")
		s.rulesLog.Warn(s.loop.Now(), "rule failed: "+name, errors.New(reason))
	}
	if got.Class != "" {
		f.path = classPath + got.Class
	}
	if len(got.Rules) > 0 {
		s.rulesLog.Log.WithField("id", f.id).WithField("rules", got.Rules).WithField("class", got.Class).
			WithField("route", got.Route).WithField("labels", got.Labels).Debug("rules matched")
	}
	return got.Key, got.Route
}

// address is the client's IP address.
func (c *conn) clientAddress() string {
	if c.clientIP == "" && c.socket != nil {
		if a, err := netip.ParseAddrPort(c.socket.RemoteAddr().String()); err == nil {
			c.clientIP = a.Addr().Unmap().String()
		}
	}
	return c.clientIP
}
