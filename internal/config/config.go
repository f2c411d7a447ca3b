// Package config reads a scheduler's configuration: the platform's JSON file that ROUTER_CONFIG names.
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
	KnownEndpoints   []byte // the endpoint list's events so far, in the form of an answer of the list service; nil if none
	Seed             uint64 // of all random draws
	MemoryMB         int    // memory limit of the process, in MiB
	MaxSockets       int    // maximum number of open descriptors
	Deployment       deployment.Settings
}

// file is the configuration file. Errors of encoding/json quote the names of this type and of its fields. Keys that are
// not here are ignored: the platform writes some, like limits.cores, that a scheduler has no use for.
type file struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"` // hexadecimal
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	ListService string          `json:"bulletin"` // the endpoint list service
	Known       json.RawMessage `json:"known"`    // read by package discovery
	Settings    json.RawMessage `json:"settings"` // read by package deployment
}

const (
	defaultMemoryMB = 192  // where the file has none
	defaultSockets  = 1024 // where the file has none
	minSockets      = 64

	// maxClassNameLength is the length of the longest class name, in bytes.
	maxClassNameLength = 64
	// reservedInClassNames are characters that separate fields, parameters or segments of a path.
	reservedInClassNames = ",=/?"
)

// Read reads a configuration file. A name or a listen address that is not empty takes precedence over the file's. The
// error names the file and the value that is wrong.
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

// config returns the configuration in a file, with defaults filled in, if it is valid. A limit of 0 counts as absent.
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

// checkAddress returns an error if the address under a key of the file is not host:port.
func checkAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// checkDeployment checks the settings that a scheduler needs but the simulator does not. What both need, such as at least
// one class with a latency objective, is checked by routing.New.
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

// isClassName reports whether a name can be part of a request's path and of a comma-separated list of fields.
func isClassName(name string) bool {
	return name != "" && len(name) <= maxClassNameLength && !strings.ContainsFunc(name, func(char rune) bool {
		return char <= ' ' || char >= 0x7f || strings.ContainsRune(reservedInClassNames, char)
	})
}
