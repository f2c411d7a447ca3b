package main

import (
	"runtime"
	"time"

	"github.com/sirupsen/logrus"
)

// reportUsage logs how much of each resource that peers can take is in use. It must be called on the event loop.
func (s *scheduler) reportUsage() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	dispatched := s.dispatcher.Usage()
	clients := s.server.Usage()
	agents := s.agents.Usage()
	loop := s.loop.Usage()
	phase, drainingFor := s.drainer.state()
	limits := resourceLimitsOf(s.platform)
	s.log.WithFields(logrus.Fields{
		"drain_phase":         phase,
		"draining_ms":         drainingFor.Milliseconds(),
		"heap":                memory.HeapAlloc,
		"runtime":             memory.Sys - memory.HeapReleased,
		"bound":               limits.boundedMemory(),
		"functions":           dispatched.Routing.Functions,
		"served_functions":    dispatched.Routing.ServedFunctions,
		"function_bytes":      dispatched.Routing.FunctionBytes,
		"order_bytes":         dispatched.Routing.OrderBytes,
		"placements":          dispatched.Routing.Placements,
		"requests":            dispatched.Requests,
		"attempts":            dispatched.Attempts,
		"client_conns":        clients.Conns,
		"client_requests":     clients.Requests,
		"turns":               loop.Turns,
		"turn_bytes":          loop.TurnBytes,
		"records":             clients.Records,
		"writes":              clients.Writes,
		"longest_turn_ms":     milliseconds(loop.LongestTurn),
		"longest_pass_ms":     milliseconds(loop.LongestPass),
		"longest_accept_ms":   milliseconds(loop.LongestAccept),
		"longest_wait_ms":     milliseconds(clients.LongestFirstRead),
		"received":            clients.ReceivedBytes,
		"field_bytes":         clients.FieldBytes,
		"unsent":              clients.UnsentBytes,
		"most_unsent_bytes":   clients.HighestUnsentMemory,
		"buffers":             s.buffers.InUse(),
		"request_bytes":       s.buffers.Used(),
		"most_request_bytes":  s.buffers.Highest(),
		"response_bytes":      agents.ResponseBytes,
		"most_response_bytes": agents.HighestResponseBytes,
		"agent_conns":         agents.Conns,
		"recent_agent_ends":   agents.RecentlyEnded,
	}).Info("resource usage")
}

// milliseconds returns a duration in whole milliseconds, rounded up.
func milliseconds(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
