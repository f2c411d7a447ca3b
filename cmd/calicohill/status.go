package main

import (
	"encoding/json"
	"time"

	"calicohill/internal/rules/match"

	"github.com/sirupsen/logrus"
)

// ruleStatus is the content of the status file.
type ruleStatus struct {
	At    time.Time          `json:"at"` // UTC
	Rules []match.RuleCounts `json:"rules"`
}

// reportStatus logs the resource usage and the counts of each rule, and writes the counts to the status file if the
// operator's file configures one. It reads the counts on the event loop and writes them on another goroutine, since the loop must not wait for the
// disk.
func (s *scheduler) reportStatus() {
	s.loop.Post(func() {
		s.reportUsage()
		counts := s.server.Rules().Counts()
		go reportRules(s.loggers.Component("rules"), counts, *s.statusFile.Load())
	})
}

// reportRules logs the counts of each rule and, if path is not empty, writes them to that file.
func reportRules(log *logrus.Entry, counts []match.RuleCounts, path string) {
	if path != "" {
		status := ruleStatus{At: time.Now().UTC(), Rules: counts}
		if err := writeStatus(path, status); err != nil {
			log.WithError(err).Error("status file write failed")
		}
	}
	for _, count := range counts {
		log.WithFields(logrus.Fields{
			"rule": count.Rule, "tried": count.Tried, "matched": count.Matched, "failed": count.Failed, "cost": count.Cost,
		}).Info("rule counts")
	}
}

// writeStatus replaces the content of the status file.
func writeStatus(path string, status ruleStatus) error {
	text, err := json.Marshal(status)
	if err != nil {
		return err
	}
	return replaceFile(path, append(text, '\n'))
}
