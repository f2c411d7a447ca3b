package main

import (
	"errors"
	"reflect"

	"calicohill/internal/config"
	"calicohill/internal/config/operatorfile"
)

// reloadedConfig is a valid configuration that a reload has read.
type reloadedConfig struct {
	platform *config.Config
	operator *operatorfile.Settings
	rules    operatorfile.Compiled
}

// reload reads the configuration again and applies it. From the platform's file it applies the endpoint list service's
// address only; requests in flight and learned state are kept. An invalid configuration changes nothing, so that a
// mistake in a file does not stop a running scheduler. reload must not be called on the event loop, since it reads
// files.
func (s *scheduler) reload() {
	reloaded, err := s.readConfig()
	var parseErrors operatorfile.ParseErrors
	if errors.As(err, &parseErrors) {
		for _, parseError := range parseErrors {
			s.log.WithError(parseError).Error("operator's file reload failed, keeping the running configuration")
		}
		return
	}
	if err == nil {
		err = s.applyOffLoop(reloaded)
	}
	if err != nil {
		s.log.WithError(err).Error("configuration reload failed, keeping the running configuration")
		return
	}
	s.statusFile.Store(&reloaded.operator.Log.Status)
	s.loop.Post(func() {
		s.watcher.SetAddress(reloaded.platform.DiscoveryAddress)
		s.applyRules(reloaded.rules)
	})
	s.log.WithField("bulletin", reloaded.platform.DiscoveryAddress).Info("configuration reloaded")
}

// readConfig reads and validates the configuration. It compiles the rules for the request classes of the running
// scheduler, since a reload does not apply the classes in the new platform's file.
func (s *scheduler) readConfig() (*reloadedConfig, error) {
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

// applyOffLoop applies the gossip and logging settings, which do not belong to the event loop. If it fails, nothing has
// changed: the gossip settings are validated before they are applied, and the logging settings were validated when the
// file was read.
func (s *scheduler) applyOffLoop(next *reloadedConfig) error {
	if !reflect.DeepEqual(s.operator.State, next.operator.State) {
		s.log.Warn("changes to section state take effect only after a restart")
	}
	if err := s.reloadPeers(next.operator.Gossip); err != nil {
		return err
	}
	return s.loggers.Apply(next.operator.Log.Settings)
}

// reloadPeers applies new gossip settings; settings is nil if the operator's file has no gossip section.
func (s *scheduler) reloadPeers(settings *operatorfile.Gossip) error {
	if (s.peers == nil) != (settings == nil) {
		s.log.Warn("enabling or disabling gossip requires a restart")
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
