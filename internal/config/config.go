// Package config reads a scheduler's configuration: the file that ROUTER_CONFIG names.
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

// Config is what a scheduler is told at its start.
type Config struct {
	Name             string
	Listen           string // where clients connect
	DiscoveryAddress string // where the list of workers is asked for
	KnownEndpoints   []byte // the events of the list so far, as the bulletin would answer; nil if none
	Seed             uint64
	MemoryMB         int
	MaxSockets       int
	Deployment       deployment.Settings
}

type file struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Bulletin string          `json:"bulletin"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Limits that hold where none are told.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64
)

// Read reads a configuration file. A name or an address to listen on that is given here goes before the file's.
func Read(path, name, listen string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, DiscoveryAddress: f.Bulletin, KnownEndpoints: f.Known,
		MemoryMB: int(f.Limits.MemoryMB), MaxSockets: f.Limits.Sockets,
	}
	if name != "" {
		c.Name = name
	}
	if listen != "" {
		c.Listen = listen
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.MaxSockets == 0 {
		c.MaxSockets = defaultSockets
	}
	if err := c.fill(&f); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func (c *Config) fill(f *file) (err error) {
	for what, addr := range map[string]string{"listen": c.Listen, "bulletin": c.DiscoveryAddress} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if c.MaxSockets < leastSockets || c.MemoryMB < 0 {
		return fmt.Errorf("limits: %d sockets, %d MB of memory: at least %d sockets are needed",
			c.MaxSockets, c.MemoryMB, leastSockets)
	}
	if len(f.Settings) == 0 {
		return errors.New("no settings")
	}
	if c.Deployment, err = deployment.Parse(f.Settings); err != nil {
		return err
	}
	for i, name := range c.Deployment.ClassNames {
		if !isName(name) || slices.Contains(c.Deployment.ClassNames[:i], name) {
			return fmt.Errorf("settings: class %d: name %q is not one, or another's too", i, name)
		}
	}
	if c.Deployment.PipelineDepth < 1 || c.Deployment.ConnectTimeout <= 0 || c.Deployment.IdleCloseAfter <= 0 {
		return errors.New("settings: ceilings: multiplex, connectTimeoutMs and idleCloseMs must be above 0")
	}
	return nil
}

// isName reports whether a class's name can stand in a path, and in a list of fields.
func isName(s string) bool {
	return s != "" && len(s) <= 64 && !strings.ContainsFunc(s, func(c rune) bool {
		return c <= ' ' || c >= 0x7f || strings.ContainsRune(",=/?", c)
	})
}
