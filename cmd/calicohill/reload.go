package main

import (
	"errors"
	"reflect"

	"calicohill/internal/config"
	"calicohill/internal/config/operatorfile"
)

// reloadedConfig is a configuration that was read by a reload and is valid.
type reloadedConfig struct {
	platform *config.Config
	operator *operatorfile.Settings
	rules    operatorfile.Compiled
}

// reload reads the configuration again and takes it into use. Only the endpoint list service's address is taken from
// the platform's file: requests in flight and learned state stay. A configuration that can't be used changes nothing,
// so that a mistake in a file does not end a working scheduler. It must not be called on the loop, since it reads files.
func (s *scheduler) reload() {
	next, err := s.readAgain()
	var faults operatorfile.ParseErrors
	if errors.As(err, &faults) {
		for _, fault := range faults {
			s.log.WithError(fault).Error("operator's file reload failed, keeping the running configuration")
		}
		return
	}
	if err == nil {
		err = s.applyOffLoop(next)
	}
	if err != nil {
		s.log.WithError(err).Error("configuration reload failed, keeping the running configuration")
		return
	}
	s.statusFile.Store(&next.operator.Log.Status)
	s.loop.Post(func() {
		s.watcher.SetAddress(next.platform.DiscoveryAddress)
		s.useRules(next.rules)
	})
	s.log.WithField("bulletin", next.platform.DiscoveryAddress).Info("configuration reloaded")
}

// readAgain reads and checks the configuration. The rules are compiled for the request classes that the scheduler
// runs with, since those of the new platform's file are not taken into use.
func (s *scheduler) readAgain() (*reloadedConfig, error) {
	platform, operator, err := s.sources.read()
	if err != nil {
		return nil, err
	}
	rules, err := operator.Compile(ruleClasses(&s.platform.Deployment))
	if err != nil {
		return nil, err
	}
	return &reloadedConfig{platform: platform, operator: operator, rules: rules}, nil
}

// applyOffLoop takes into use what does not belong to the loop, gossip and logging. If it fails, nothing has changed:
// gossip is checked before it is applied, and the logging settings were checked when the file was read.
func (s *scheduler) applyOffLoop(next *reloadedConfig) error {
	if !reflect.DeepEqual(s.operator.State, next.operator.State) {
		s.log.Warn("a change of the section state takes effect at the next restart only")
	}
	if err := s.reloadPeers(next.operator.Gossip); err != nil {
		return err
	}
	return s.loggers.Apply(next.operator.Log.Settings)
}

// reloadPeers takes new gossip settings into use; nil if there are none.
func (s *scheduler) reloadPeers(settings *operatorfile.Gossip) error {
	if (s.peers == nil) != (settings == nil) {
		s.log.Warn("gossip can only be switched on or off by a restart")
		return nil
	}
	if s.peers == nil {
		return nil
	}
	apply, err := s.peers.Prepare(*settings)
	if err != nil {
		return err
	}
	return apply()
}
