// Package config reads the configuration of a scheduler from the platform's JSON file, whose path is in ROUTER_CONFIG.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"calicohill/internal/config/deployment"
)

// Config is the configuration of a scheduler.
type Config struct {
	Name             string // of this scheduler
	Listen           string // host:port that clients connect to
	DiscoveryAddress string // host:port of the endpoint list service
	KnownEndpoints   []byte // initial events of the endpoint list, encoded as a response of the list service; nil if none
	Seed             uint64 // of all random number generators
	MemoryMB         int    // memory limit of the process, in MiB
	MaxSockets       int    // maximum number of open file descriptors
	Deployment       deployment.Settings
}

// file is the JSON document of the configuration file. Unknown keys are ignored because the platform writes some that a
// scheduler does not use, such as limits.cores. Errors of encoding/json contain the names of this type and its fields.
type file struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"` // hexadecimal
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	ListService string          `json:"bulletin"` // the endpoint list service
	Known       json.RawMessage `json:"known"`    // parsed by package discovery
	Settings    json.RawMessage `json:"settings"` // parsed by package deployment
}

const (
	defaultMemoryMB = 192  // if the file sets no limit
	defaultSockets  = 1024 // if the file sets no limit
	minSockets      = 64

	// maxClassNameLength is the maximum length of a class name, in bytes.
	maxClassNameLength = 64
	// reservedInClassNames are the characters that separate fields, parameters or path segments.
	reservedInClassNames = ",=/?"
)

// Read reads a configuration file. A non-empty name or listen address overrides the value in the file. The error
// contains the path of the file and the invalid value.
func Read(path, name, listen string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var parsed file
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if name != "" {
		parsed.Name = name
	}
	if listen != "" {
		parsed.Listen = listen
	}
	config, err := parsed.config()
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// config validates the file and returns its configuration with defaults applied. A limit of 0 means the default.
func (f *file) config() (*Config, error) {
	config := &Config{
		Name:             f.Name,
		Listen:           f.Listen,
		DiscoveryAddress: f.ListService,
		KnownEndpoints:   f.Known,
		MemoryMB:         int(f.Limits.MemoryMB),
		MaxSockets:       f.Limits.Sockets,
	}
	if config.MemoryMB == 0 {
		config.MemoryMB = defaultMemoryMB
	}
	if config.MaxSockets == 0 {
		config.MaxSockets = defaultSockets
	}
	if err := checkAddress("listen", config.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("bulletin", config.DiscoveryAddress); err != nil {
		return nil, err
	}
	var err error
	if config.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if config.MaxSockets < minSockets || config.MemoryMB < 0 {
		return nil, fmt.Errorf("limits: %d sockets, %d MB of memory: sockets must be at least %d, memory_mb must not be negative",
			config.MaxSockets, config.MemoryMB, minSockets)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("no settings")
	}
	if config.Deployment, err = deployment.Parse(f.Settings); err != nil {
		return nil, err
	}
	return config, checkDeployment(&config.Deployment)
}

// checkAddress returns an error if the address of a key in the file is not host:port.
func checkAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// checkDeployment validates the settings that only a scheduler requires. The settings that the simulator requires too,
// such as at least one class with a latency objective, are validated by routing.New.
func checkDeployment(settings *deployment.Settings) error {
	for i, name := range settings.ClassNames {
		if !isClassName(name) {
			return fmt.Errorf("settings: class %d: name %q is invalid: expected 1 to %d printable ASCII characters without blanks and %s",
				i, name, maxClassNameLength, reservedInClassNames)
		}
		if other := slices.Index(settings.ClassNames[:i], name); other >= 0 {
			return fmt.Errorf("settings: class %d: name %q is that of class %d already", i, name, other)
		}
	}
	if settings.PipelineDepth < 1 || settings.ConnectTimeout <= 0 || settings.IdleCloseAfter <= 0 {
		return errors.New("settings: ceilings: multiplex, connectTimeoutMs and idleCloseMs must be positive")
	}
	return nil
}

// isClassName reports whether a name can be used in a request path and in a comma-separated list of fields.
func isClassName(name string) bool {
	return name != "" && len(name) <= maxClassNameLength && !strings.ContainsFunc(name, func(char rune) bool {
		return char <= ' ' || char >= 0x7f || strings.ContainsRune(reservedInClassNames, char)
	})
}
