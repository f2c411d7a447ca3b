package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/testbed/platform"
)

// Configure writes the platform's file, the key file and the operator's file of an instance.
func (in *Instance) Configure() error {
	fleet := in.fleet
	rank, _ := strconv.Atoi(in.Name[1:]) // names have the form n0, n1, ...
	listAddress, err := fleet.List.Address(in.Name)
	if err != nil {
		return err
	}
	text, err := json.Marshal(platform.Config{
		ListService: listAddress,
		Known:       json.RawMessage(fleet.initialEvents(in.Name)),
		Limits:      platform.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Listen:      in.Addr,
		Name:        in.Name,
		Seed:        fmt.Sprintf("%016x", rank+1),
		Settings:    platform.FleetSettings(max(fleet.ConfiguredSchedulers, len(fleet.Instances)), rank).JSON(),
	})
	if err != nil {
		return err
	}
	in.configPath = filepath.Join(fleet.Dir, in.Name+".json")
	in.operatorPath = filepath.Join(fleet.Dir, in.Name+".conf")
	if err := os.WriteFile(in.configPath, text, 0o600); err != nil {
		return err
	}
	if err := in.WriteNewKey(fleet.Authority); err != nil {
		return err
	}
	return in.WriteOperatorFile(in.OperatorFile(""))
}

// WriteNewKey writes a new key file for an instance, with a certificate from the given authority.
func (in *Instance) WriteNewKey(authority *pki.Authority) error {
	member, err := authority.Issue(in.Name, time.Now().Add(-time.Hour), 12*time.Hour)
	if err != nil {
		return err
	}
	in.KeyPath = filepath.Join(in.fleet.Dir, in.Name+".key")
	if err := os.Remove(in.KeyPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return pki.WriteKeyFile(in.KeyPath, member.Key, member.Cert)
}

// OperatorFile returns the text of an operator's file for an instance. extraLines are appended to its gossip section.
func (in *Instance) OperatorFile(extraLines string) string {
	text := "log\n  format json\n"
	if in.fleet.SnapshotsEnabled {
		text += "state\n  snapshot " + in.operatorPath + ".list\n  fleet lab\n"
	}
	if !in.fleet.GossipEnabled {
		return text
	}
	text += fmt.Sprintf("gossip\n  listen %s\n  fleet lab\n  key %s\n  authority fleet.crt\n", in.GossipAddr, in.KeyPath)
	gossipAddr := func(gossip string) string { return gossip }
	if hub := in.fleet.hub; hub != nil {
		gossipAddr = hub.Addr
		text += "  advertise " + hub.Addr(in.GossipAddr) + "\n"
	}
	for _, seed := range in.fleet.Instances[:min(maxSeeds, len(in.fleet.Instances))] {
		text += "  seed " + gossipAddr(seed.GossipAddr) + "\n"
	}
	return text + extraLines
}

// WriteOperatorFile replaces the contents of the operator's file.
func (in *Instance) WriteOperatorFile(text string) error {
	return os.WriteFile(in.operatorPath, []byte(text), 0o600)
}

// Duplicate returns a second instance with the same name and files. It is not started.
func (in *Instance) Duplicate() *Instance {
	return &Instance{
		Name:         in.Name,
		Addr:         in.Addr,
		GossipAddr:   in.GossipAddr,
		KeyPath:      in.KeyPath,
		Log:          &Log{},
		fleet:        in.fleet,
		configPath:   in.configPath,
		operatorPath: in.operatorPath,
	}
}

// Move assigns new addresses to an instance and writes new configuration files. The instance keeps its name and key.
func (in *Instance) Move() error {
	var err error
	if in.Addr, err = in.fleet.freeAddress("tcp"); err != nil {
		return err
	}
	if in.GossipAddr, err = in.fleet.freeAddress("udp"); err != nil {
		return err
	}
	text, err := os.ReadFile(in.configPath)
	if err != nil {
		return err
	}
	var config platform.Config
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	config.Listen = in.Addr
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	in.configPath += ".moved"
	in.operatorPath += ".moved"
	if err := os.WriteFile(in.configPath, text, 0o600); err != nil {
		return err
	}
	return in.WriteOperatorFile(in.OperatorFile(""))
}
