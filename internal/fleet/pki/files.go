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

// Types of PEM blocks.
const (
	pemPrivateKey     = "PRIVATE KEY"
	pemCertificate    = "CERTIFICATE"
	pemRevocationList = "X509 CRL"
)

const (
	maxFileBytes = 1 << 20

	keyFileMode     fs.FileMode = 0o600
	otherUsersPerms fs.FileMode = 0o077 // permissions of group and others, which a key file must not grant
)

// Errors for invalid file contents. Callers wrap them with the path.
var (
	errNotEd25519        = errors.New("not an Ed25519 key")
	errIncomplete        = errors.New("must contain a private key and its certificate")
	errKeyMismatch       = errors.New("the certificate does not match the private key")
	errNoCertificate     = errors.New("no certificate found")
	errNotRevocationList = errors.New("not a list of revoked certificates")
)

// WriteKeyFile writes a private key and its certificate to a new file with mode 0600. It does not overwrite an existing
// file: the error then wraps fs.ErrExist.
func WriteKeyFile(path string, key ed25519.PrivateKey, cert *x509.Certificate) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	content := pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der})
	content = append(content, EncodeCertificate(cert)...)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	return errors.Join(err, file.Close())
}

// EncodeCertificate returns the PEM encoding of a certificate.
func EncodeCertificate(cert *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: cert.Raw})
}

// EncodeRevocationList returns the PEM encoding of a revocation list.
func EncodeRevocationList(list *x509.RevocationList) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemRevocationList, Bytes: list.Raw})
}

// ReadKeyFile reads a file written by WriteKeyFile. It returns an error if group or others have any permission for the
// file, or if the key and the certificate do not match. Errors include the path.
func ReadKeyFile(path string) (ed25519.PrivateKey, *x509.Certificate, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if mode := info.Mode().Perm(); mode&otherUsersPerms != 0 {
		return nil, nil, fmt.Errorf("%s: mode %04o gives other users access to the key: 0600 is needed", path, mode)
	}
	blocks, err := readPEMFile(path)
	if err != nil {
		return nil, nil, err
	}
	key, cert, err := parseKeyBlocks(blocks)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return key, cert, nil
}

// parseKeyBlocks returns the private key and the certificate from the blocks of a key file. If there are several blocks
// of a type, the last one counts.
func parseKeyBlocks(blocks []*pem.Block) (ed25519.PrivateKey, *x509.Certificate, error) {
	var key ed25519.PrivateKey
	var cert *x509.Certificate
	for _, block := range blocks {
		var err error
		switch block.Type {
		case pemPrivateKey:
			key, err = parsePrivateKey(block.Bytes)
		case pemCertificate:
			cert, err = x509.ParseCertificate(block.Bytes)
		}
		if err != nil {
			return nil, nil, err
		}
	}
	if key == nil || cert == nil {
		return nil, nil, errIncomplete
	}
	public, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok || !public.Equal(key.Public()) {
		return nil, nil, errKeyMismatch
	}
	return key, cert, nil
}

func parsePrivateKey(der []byte) (ed25519.PrivateKey, error) {
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, err
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errNotEd25519
	}
	return key, nil
}

// ReadCertificateFile reads the first certificate in a file. Errors include the path.
func ReadCertificateFile(path string) (*x509.Certificate, error) {
	blocks, err := readPEMFile(path)
	if err != nil {
		return nil, err
	}
	for _, block := range blocks {
		if block.Type != pemCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		return cert, nil
	}
	return nil, fmt.Errorf("%s: %w", path, errNoCertificate)
}

// ReadRevocationListFile reads a revocation list from a file. If the file does not exist and optional is set, it
// returns nil and no error. Errors include the path.
func ReadRevocationListFile(path string, optional bool) (*x509.RevocationList, error) {
	blocks, err := readPEMFile(path)
	if optional && errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(blocks) != 1 || blocks[0].Type != pemRevocationList {
		return nil, fmt.Errorf("%s: %w", path, errNotRevocationList)
	}
	list, err := x509.ParseRevocationList(blocks[0].Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// readPEMFile returns the PEM blocks of a regular file of at most maxFileBytes.
func readPEMFile(path string) ([]*pem.Block, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: not a regular file of at most %d bytes", path, maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var blocks []*pem.Block
	for block, rest := pem.Decode(content); block != nil; block, rest = pem.Decode(rest) {
		blocks = append(blocks, block)
	}
	return blocks, nil
}
