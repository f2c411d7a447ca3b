package transport

import (
	"crypto/x509"
	"fmt"
	"time"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/fleet/pki"
)

// readKeys reads the files named in the settings: the key, the authorities and the revocation list. It checks that the
// certificate of the key is currently valid.
func readKeys(settings operatorfile.Gossip) (*pki.Member, *pki.Trust, error) {
	key, cert, err := pki.ReadKeyFile(settings.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("gossip: %w", err)
	}
	if cert.IsCA {
		return nil, nil, fmt.Errorf("gossip: %s is the key of an authority; a scheduler needs a member key", settings.Key)
	}
	trust, err := readTrust(settings)
	if err != nil {
		return nil, nil, fmt.Errorf("gossip: %w", err)
	}
	if err := trust.Recheck(cert, time.Now()); err != nil {
		return nil, nil, fmt.Errorf("gossip: key %s: %w", settings.Key, err)
	}
	return &pki.Member{Cert: cert, Key: key}, trust, nil
}

// readTrust reads the authorities and the revocation list named in the settings.
func readTrust(settings operatorfile.Gossip) (*pki.Trust, error) {
	var authorities []*x509.Certificate
	for _, path := range settings.Authorities {
		authority, err := pki.ReadCertificateFile(path)
		if err != nil {
			return nil, err
		}
		authorities = append(authorities, authority)
	}
	var revocations []*x509.RevocationList
	if settings.Revoked != "" {
		list, err := pki.ReadRevocationListFile(settings.Revoked, false)
		if err != nil {
			return nil, err
		}
		revocations = append(revocations, list)
	}
	return pki.NewTrust(settings.Fleet, settings.ClockSkew, authorities, revocations)
}
