package transport

import (
	"crypto/rand"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/fleet/faultreport"
	"calicohill/internal/fleet/gossip"
	"calicohill/internal/fleet/pki"
)

const (
	maxMembers  = 4096
	secretBytes = 32 // length of the cookie secret
)

func newGuard(settings operatorfile.Gossip, own *pki.Member, trust *pki.Trust, epoch int64) *gossip.Guard {
	secret := make([]byte, secretBytes)
	rand.Read(secret) // never fails
	return gossip.NewGuard(gossip.GuardConfig{
		Fleet:              settings.Fleet,
		Own:                own,
		Epoch:              epoch,
		Trust:              trust,
		Secret:             secret,
		MaxChecksPerSecond: settings.MaxSignatureChecksPerSecond,
		MaxClockSkew:       settings.ClockSkew,
		Seeds:              settings.Seeds,
	})
}

func newCore(settings operatorfile.Gossip, own *pki.Member, guard *gossip.Guard, epoch int64) *gossip.Core {
	return gossip.New(gossip.Config{
		Name:                 own.Name(),
		Addr:                 settings.Advertise,
		Epoch:                epoch,
		Seeds:                settings.Seeds,
		ProbeInterval:        settings.ProbeInterval,
		ProbeTimeout:         settings.ProbeTimeout,
		SuspicionTimeout:     settings.SuspicionTimeout,
		MaxMessagesPerSecond: settings.MaxMessagesPerSecond,
		MaxMembers:           maxMembers,
		Seed:                 uint64(epoch),
		Sign:                 guard.SignRecord,
	})
}

func faultReportConfig(settings operatorfile.Gossip) faultreport.Config {
	return faultreport.Config{
		MaxByzantine:       settings.MaxByzantine,
		MaxEjectedFraction: settings.MaxEjectedFraction,
		ReportTTL:          settings.FaultReportExpiry,
	}
}
