package pki

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// The kinds of blocks in files.
const (
	pemPrivateKey     = "PRIVATE KEY"
	pemCertificate    = "CERTIFICATE"
	pemRevocationList = "X509 CRL"
)

const maxFileBytes = 1 << 20

// WriteFile writes a key with its certificate to a new file of mode 0600. A file that is there is left alone.
func WriteFile(path string, key ed25519.PrivateKey, cert *x509.Certificate) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	text := append(pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der}), EncodeCert(cert)...)
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Close())
}

// EncodeCert is a certificate as it stands in a file.
func EncodeCert(cert *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: cert.Raw})
}

// EncodeList is a list of revoked certificates as it stands in a file.
func EncodeList(list *x509.RevocationList) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemRevocationList, Bytes: list.Raw})
}

// ReadKey reads the file that WriteFile wrote. One that others may read or write is refused.
func ReadKey(path string) (ed25519.PrivateKey, *x509.Certificate, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, nil, fmt.Errorf("%s: mode %04o lets others at the key: 0600 is needed", path, info.Mode().Perm())
	}
	blocks, err := readPEMFile(path)
	if err != nil {
		return nil, nil, err
	}
	var key ed25519.PrivateKey
	var cert *x509.Certificate
	for _, b := range blocks {
		switch b.Type {
		case pemPrivateKey:
			any, err := x509.ParsePKCS8PrivateKey(b.Bytes)
			if err != nil {
				return nil, nil, fmt.Errorf("%s: %w", path, err)
			}
			var ok bool
			if key, ok = any.(ed25519.PrivateKey); !ok {
				return nil, nil, fmt.Errorf("%s: the key is not of Ed25519", path)
			}
		case pemCertificate:
			if cert, err = x509.ParseCertificate(b.Bytes); err != nil {
				return nil, nil, fmt.Errorf("%s: %w", path, err)
			}
		}
	}
	if key == nil || cert == nil {
		return nil, nil, fmt.Errorf("%s: a key and its certificate are needed", path)
	}
	if public, ok := cert.PublicKey.(ed25519.PublicKey); !ok || !public.Equal(key.Public()) {
		return nil, nil, fmt.Errorf("%s: the certificate is not that of the key", path)
	}
	return key, cert, nil
}

// ReadCert reads the first certificate of a file.
func ReadCert(path string) (*x509.Certificate, error) {
	blocks, err := readPEMFile(path)
	if err != nil {
		return nil, err
	}
	for _, b := range blocks {
		if b.Type == pemCertificate {
			c, err := x509.ParseCertificate(b.Bytes)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			return c, nil
		}
	}
	return nil, fmt.Errorf("%s: no certificate in it", path)
}

// ReadList reads a list of revoked certificates; nil if there is no such file and missing may be.
func ReadList(path string, missing bool) (*x509.RevocationList, error) {
	blocks, err := readPEMFile(path)
	if missing && errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(blocks) != 1 || blocks[0].Type != pemRevocationList {
		return nil, fmt.Errorf("%s: not a list of revoked certificates", path)
	}
	l, err := x509.ParseRevocationList(blocks[0].Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return l, nil
}

func readPEMFile(path string) ([]*pem.Block, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: not a file of up to %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var blocks []*pem.Block
	for b, rest := pem.Decode(text); b != nil; b, rest = pem.Decode(rest) {
		blocks = append(blocks, b)
	}
	return blocks, nil
}
