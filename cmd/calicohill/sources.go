package main

import (
	"errors"
	"fmt"
	"os"

	"calicohill/internal/config"
	"calicohill/internal/config/deployment"
	"calicohill/internal/config/operatorfile"
	"calicohill/internal/discovery"
	"calicohill/internal/rules/match"
	"calicohill/routing"

	"github.com/spf13/cobra"
)

// configSources holds the sources of a scheduler's configuration. A flag overrides its environment variable, and both
// override the platform's file.
type configSources struct {
	platformFile string
	name         string // name of the scheduler; "" to use the name in the platform's file
	listen       string // host:port for clients; "" to use the address in the platform's file
	operatorFile string // "" if there is none
}

// addFlags defines the flags for the sources. Their defaults are the values of the environment variables.
func (s *configSources) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&s.platformFile, "config", os.Getenv("ROUTER_CONFIG"), "the platform's configuration `FILE` (variable ROUTER_CONFIG)")
	flags.StringVar(&s.name, "name", os.Getenv("ROUTER_NAME"), "`NAME` of this scheduler, instead of the one in the platform's file (variable ROUTER_NAME)")
	flags.StringVar(&s.listen, "listen", os.Getenv("ROUTER_LISTEN"), "`ADDRESS` to listen on for clients, instead of the one in the platform's file (variable ROUTER_LISTEN)")
	flags.StringVar(&s.operatorFile, "operator", os.Getenv("CALICOHILL_OPERATOR"), "the operator's `FILE`: logging, snapshots, gossip and rules (variable CALICOHILL_OPERATOR)")
}

// read reads and validates the platform's file and the operator's file. Without an operator's file it returns the
// default settings. Startup and reload reject the same files: although a reload applies only part of the platform's
// file, it must not accept a file that makes the next start fail.
func (s *configSources) read() (*config.Config, *operatorfile.Settings, error) {
	if s.platformFile == "" {
		return nil, nil, errors.New("no configuration: set ROUTER_CONFIG or --config")
	}
	platform, err := config.Read(s.platformFile, s.name, s.listen)
	if err != nil {
		return nil, nil, err
	}
	if _, err := routing.New(platform.Deployment.Settings, platform.Seed); err != nil {
		return nil, nil, fmt.Errorf("configuration %s: settings: %w", s.platformFile, err)
	}
	zones, workerKinds := platform.Deployment.Zones, platform.Deployment.WorkerKinds
	if err := discovery.ValidateKnown(platform.KnownEndpoints, zones, workerKinds); err != nil {
		return nil, nil, fmt.Errorf("configuration %s: %w", s.platformFile, err)
	}
	if s.operatorFile == "" {
		return platform, operatorfile.Defaults(), nil
	}
	operator, err := operatorfile.Read(s.operatorFile)
	return platform, operator, err
}

// ruleClasses converts the request classes to the type that the rule compiler uses.
func ruleClasses(settings *deployment.Settings) []match.Class {
	classes := make([]match.Class, len(settings.Classes))
	for i, class := range settings.Classes {
		classes[i] = match.Class{Name: settings.ClassNames[i], Idempotency: class.Idempotency}
	}
	return classes
}
